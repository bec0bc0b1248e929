package registry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/link"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
)

const (
	// The delay between two attempts to connect to an unreachable member doubles from
	// reconnectDelayMin to reconnectDelayMax. The maximum is short so that entries
	// reconnect soon to a member that has restarted.
	reconnectDelayMin = 50 * time.Millisecond
	reconnectDelayMax = time.Second
	// dialTimeoutMin and dialTimeoutMax bound the time of one dial; see link.Dialer.
	dialTimeoutMin = 200 * time.Millisecond
	dialTimeoutMax = time.Second
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Registry *Registry
	Link     link.Options
	// Self is this process's own address, which is never dialled. It is empty for a
	// process that is no member.
	Self string
	// OnLoads is called with the load reports that members send, from several goroutines
	// at once. It may be nil.
	OnLoads func([]fleetload.Report)
	// Member is set if this process is itself a control member. A member receives from
	// each other member the load reports that entries sent there. An entry receives all
	// load reports from a single member, its home.
	Member bool
	// Origins is notified of the members that keep the origins of streams. It may be nil.
	Origins OriginClient
	// OnHome is called with the address of each new home, empty for none. It must neither block
	// nor call the Follower. It may be nil.
	OnHome func(addr string)
}

// OriginClient is notified of the members that keep the origins of streams (package origins), and of
// what they send. Its methods must not block.
type OriginClient interface {
	// Members states the addresses of all members, to which links are opened.
	Members(addrs []string)
	// Joined reports a link to a member, which replaces an earlier one to the same address.
	Joined(addr string, s origins.Sender)
	// Left reports that the link to a member has ended.
	Left(addr string)
	Answered(m *origins.Answer)
}

// Follower keeps a link to each of a changing set of members and merges the records
// that they send into a registry.
//
// An entry sends and receives load reports through its home, one of the members, which
// exchanges them with the other members. Among the members that are well connected to the
// others, the home is one in the entry's own availability zone if there is one. So a
// report crosses zone boundaries once per member, however many entries there are.
type Follower struct {
	opt FollowerOptions

	mu      sync.Mutex
	ctx     context.Context
	wg      conc.WaitGroup
	cancels map[string]context.CancelFunc
	// conns holds the open links, by address.
	conns map[string]*member
	// home is the home member, nil for none. Another link to the same address is another member: it
	// has subscribed to nothing yet.
	home *member
	// homeSince is the time at which home was last set.
	homeSince time.Time
	coverage
	// lastSource is the highest Source that was given to a link.
	lastSource directory.Source
}

// member is a control member to which a link is open.
type member struct {
	addr string
	conn Conn
	// peerCount is the number of other members from which this member receives load
	// reports, as it last stated.
	peerCount int
	// keepsOrigins is set once OriginClient was notified of the member.
	keepsOrigins bool
	// source identifies the link in the registry.
	source directory.Source
	// listed is set once the member has sent a whole list.
	listed bool
	// coveredSince is the time since which the member hears of all targets, zero if it does not.
	coveredSince time.Time
}

// Conn is an open link to a member.
type Conn interface {
	Sender
	Peer() link.Peer
}

// NewFollower returns a follower without links, which runs until ctx is done.
func NewFollower(ctx context.Context, opt FollowerOptions) *Follower {
	if opt.OnLoads == nil {
		opt.OnLoads = func([]fleetload.Report) {}
	}
	if opt.OnHome == nil {
		opt.OnHome = func(string) {}
	}
	return &Follower{opt: opt, ctx: ctx, cancels: make(map[string]context.CancelFunc), conns: make(map[string]*member)}
}

// Follow replaces the set of member addresses: it closes the links to addresses that are
// not in addrs and starts to connect to new ones.
func (f *Follower) Follow(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opt.Origins != nil {
		f.opt.Origins.Members(addrs)
	}
	want := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		want[a] = a != f.opt.Self
	}
	for a, cancel := range f.cancels {
		if !want[a] {
			cancel()
			delete(f.cancels, a)
		}
	}
	for a, ok := range want {
		if ok && f.cancels[a] == nil && f.ctx.Err() == nil {
			f.start(a)
		}
	}
	f.updateCoverage()
}

func (f *Follower) start(addr string) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancels[addr] = cancel
	patience := link.NewDialer(dialTimeoutMin, dialTimeoutMax)
	f.wg.Go(func() {
		link.RunWithBackoff(ctx, reconnectDelayMin, reconnectDelayMax, func() bool { return f.connectAndReceive(ctx, addr, patience) })
	})
}

// connectAndReceive opens a link to addr and handles its messages until it ends. It reports
// whether a link was opened.
func (f *Follower) connectAndReceive(ctx context.Context, addr string, patience *link.Dialer) bool {
	conn, err := patience.Dial(ctx, addr, f.opt.Link)
	if err != nil {
		return false
	}
	m := f.addConn(ctx, addr, conn)
	conn.Run(ctx, func(msg wire.Message) { f.handle(m, msg) })
	f.removeConn(m)
	return true
}

func (f *Follower) handle(from *member, m wire.Message) {
	switch m := m.(type) {
	case *Records:
		f.opt.Registry.Receive(from.source, m)
		if m.Whole {
			f.listReceived(from)
		}
	case *Loads:
		f.opt.OnLoads(m.List)
	case *PeerCount:
		f.peerCount(from, m)
	case *origins.Answer:
		if f.opt.Origins != nil {
			f.opt.Origins.Answered(m)
		}
	}
}

// addConn adds an open link to the member at addr and subscribes to it. It replaces another link to the
// same address: after Follow has removed an address and added it again, the first link may end later than
// the second one is opened. A link is not added if its ctx is done, which then has been replaced itself.
func (f *Follower) addConn(ctx context.Context, addr string, conn Conn) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSource++
	m := &member{addr: addr, conn: conn, source: f.lastSource}
	if ctx.Err() != nil {
		return m
	}
	if replaced := f.conns[addr]; replaced != nil {
		f.forget(replaced)
	}
	f.conns[addr] = m
	f.opt.Registry.Connected(m.source)
	if f.opt.Member {
		f.opt.Registry.SetPeerCount(len(f.conns))
		f.updateCoverage()
		// Send fails only on a link that has ended; the next dial subscribes again.
		_ = conn.Send(&Subscribe{Loads: LoadsFromEntries})
		return m
	}
	if f.home == nil {
		f.moveHome(m)
		return m
	}
	_ = conn.Send(&Subscribe{Loads: LoadsNone})
	return m
}

// removeConn removes a link that has ended, unless another one has replaced it.
func (f *Follower) removeConn(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[m.addr] != m {
		return
	}
	f.forget(m)
	if f.opt.Member {
		f.opt.Registry.SetPeerCount(len(f.conns))
	}
	f.updateCoverage()
}

// forget removes a link and moves the home if it was there. f.mu must be held.
func (f *Follower) forget(m *member) {
	if m.keepsOrigins {
		f.opt.Origins.Left(m.addr)
	}
	delete(f.conns, m.addr)
	f.opt.Registry.Disconnected(m.source)
	if f.home == m {
		f.home = nil
		f.opt.Registry.SetHome(0)
		f.moveHome(f.bestHome())
	}
}

// peerCount handles a PeerCount message of a member. A link that is not open any more may still deliver one.
func (f *Follower) peerCount(from *member, m *PeerCount) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[from.addr] != from {
		return
	}
	from.peerCount = m.Members
	from.coveredSince = time.Time{}
	if m.Covers {
		from.coveredSince = time.Now().Add(-m.Covered)
	}
	f.updateCoverage()
	if m.KeepsOrigins && !from.keepsOrigins && f.opt.Origins != nil {
		from.keepsOrigins = true
		f.opt.Origins.Joined(from.addr, from.conn)
	}
}

// minHomeDuration is the least time for which an entry keeps a home whose link is up. After
// a restart of the whole fleet the members connect to each other within about a second, and
// until then each of them in turn may look best.
const minHomeDuration = 2 * time.Second

// reconsiderHome moves the home to the best member once minHomeDuration has passed. f.mu
// must be held.
//
// A member that has lost its links to the other members misses their load reports, and the
// others miss the reports of its entries. Members that reach the others are therefore
// preferred.
func (f *Follower) reconsiderHome(now time.Time) {
	if f.home == nil || now.Sub(f.homeSince) < minHomeDuration {
		return
	}
	if best := f.bestHome(); best != f.home {
		f.moveHome(best)
	}
}

// moveHome makes next the home; nil leaves the entry without one. f.mu must be held.
//
// The subscription to the new home begins before the one to the old home ends, so that no
// change is lost in between. All records are requested again only if there was no old
// home or if it was not well connected and may have missed changes.
func (f *Follower) moveHome(next *member) {
	old := f.home
	f.home, f.homeSince = next, time.Now()
	if next != nil {
		whole := old == nil || !f.wellConnected(old)
		f.homeMoved(old, next, whole)
		_ = next.conn.Send(&Subscribe{Loads: LoadsAll, Whole: whole})
		f.opt.OnHome(next.addr)
		f.updateCoverage()
	} else {
		f.homeMoved(old, nil, false)
		f.opt.OnHome("")
	}
	if old != nil {
		_ = old.conn.Send(&Subscribe{Loads: LoadsNone})
	}
}

// bestHome returns the member that should be home, or nil if no link is open. f.mu must be held.
func (f *Follower) bestHome() *member {
	members := slices.Collect(maps.Values(f.conns))
	if len(members) == 0 {
		return nil
	}
	return slices.MaxFunc(members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(f.homeScore(a), f.homeScore(b)), cmp.Compare(f.homeTieBreak(a.addr), f.homeTieBreak(b.addr)), strings.Compare(a.addr, b.addr))
	})
}

// wellConnected reports whether m receives load reports from at least half as many members
// as any other linked member does. f.mu must be held.
func (f *Follower) wellConnected(m *member) bool {
	for _, other := range f.conns {
		if other.peerCount > 2*m.peerCount {
			return false
		}
	}
	return true
}

const (
	homeScoreZone = 1
	// homeScoreConnected outweighs homeScoreZone.
	homeScoreConnected = 2
)

// homeScore returns the preference for a member as home: well-connected members
// first, then members in this process's availability zone. Between members of equal score
// homeTieBreak decides.
func (f *Follower) homeScore(m *member) int {
	score := 0
	if f.wellConnected(m) {
		score += homeScoreConnected
	}
	if zone := m.conn.Peer().Zone; zone != "" && zone == f.opt.Link.Self.Zone {
		score += homeScoreZone
	}
	return score
}

// homeTieBreak returns a hash of this instance and addr. It spreads the entries evenly over
// members of equal score.
func (f *Follower) homeTieBreak(addr string) uint64 {
	return xxhash.Sum64String(string(f.opt.Link.Self.Instance) + "/" + addr)
}

// Report sends a load report of this entry to its home, which forwards it to the other
// members and entries. Without a home the report is dropped.
func (f *Follower) Report(r fleetload.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reconsiderHome(time.Now())
	if f.home != nil {
		_ = f.home.conn.Send(&Loads{List: []fleetload.Report{r}})
	}
}

// Wait blocks until all links have ended. Cancel the context given to NewFollower first.
func (f *Follower) Wait() { f.wg.Wait() }
