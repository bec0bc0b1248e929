package registry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
)

const (
	// followPause grows from its least to its most while a member can't be
	// reached; the most keeps a restarted member from waiting long for entries.
	followPauseMin = 50 * time.Millisecond
	followPauseMax = time.Second
	// dialLeast and dialMost bound one attempt, see link.Patience.
	dialLeast = 200 * time.Millisecond
	dialMost  = time.Second
)

// FollowerOptions of a Follower.
type FollowerOptions struct {
	Registry *Registry
	Link     link.Options
	// Self is an address that is never dialled; empty for none.
	Self string
	// OnLoads receives entries' load reports, from several goroutines; nil for none.
	OnLoads func([]fleetload.Report)
	// Member makes this process receive from each member what entries report there. An
	// entry receives all load reports from one member, its home.
	Member bool
}

// Follower keeps a link to each of a changing set of members and merges what they tell
// into a registry.
//
// Load reports between an entry and the fleet go by way of its home: a member in its own
// availability zone where there is one, which exchanges them with the other members. So
// a report crosses between zones once for each member, however many entries there are.
type Follower struct {
	opt FollowerOptions

	mu     sync.Mutex
	ctx    context.Context
	work   conc.WaitGroup
	active map[string]context.CancelFunc
	conns  map[string]*member
	home   string
	// homeSince is when the home was chosen.
	homeSince time.Time
}

// member is a control member with a link.
type member struct {
	conn Conn
	// reach is how many other members it gets load reports from.
	reach int
}

// Conn is the link to a member.
type Conn interface {
	Sender
	Peer() link.Peer
}

// NewFollower makes a follower that ends with ctx.
func NewFollower(ctx context.Context, opt FollowerOptions) *Follower {
	if opt.OnLoads == nil {
		opt.OnLoads = func([]fleetload.Report) {}
	}
	return &Follower{opt: opt, ctx: ctx, active: make(map[string]context.CancelFunc), conns: make(map[string]*member)}
}

// Follow sets the addresses.
func (f *Follower) Follow(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		want[a] = a != f.opt.Self
	}
	for a, cancel := range f.active {
		if !want[a] {
			cancel()
			delete(f.active, a)
		}
	}
	for a, ok := range want {
		if ok && f.active[a] == nil && f.ctx.Err() == nil {
			f.start(a)
		}
	}
}

func (f *Follower) start(addr string) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.active[addr] = cancel
	patience := link.NewPatience(dialLeast, dialMost)
	f.work.Go(func() {
		link.Keep(ctx, followPauseMin, followPauseMax, func() bool { return f.once(ctx, addr, patience) })
	})
}

func (f *Follower) once(ctx context.Context, addr string, patience *link.Patience) bool {
	conn, err := patience.Dial(ctx, addr, f.opt.Link)
	if err != nil {
		return false
	}
	f.set(addr, conn)
	conn.Run(ctx, func(m wire.Message) { f.handle(addr, m) })
	f.unset(addr, conn)
	return true
}

func (f *Follower) handle(addr string, m wire.Message) {
	switch m := m.(type) {
	case *Records:
		f.opt.Registry.Merge(m.List)
	case *Loads:
		f.opt.OnLoads(m.List)
	case *Reach:
		f.reach(addr, m.Members)
	}
}

func (f *Follower) set(addr string, conn Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[addr] = &member{conn: conn}
	if f.opt.Member {
		f.opt.Registry.SetReach(len(f.conns))
		// A link that has ended is set anew by the next dial.
		_ = conn.Send(&Subscribe{Loads: LoadsOfEntries})
		return
	}
	if f.home == "" {
		f.moveHome(addr)
		return
	}
	_ = conn.Send(&Subscribe{Loads: LoadsNone})
}

func (f *Follower) unset(addr string, conn Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.conns[addr]; known == nil || known.conn != conn {
		return
	}
	delete(f.conns, addr)
	if f.opt.Member {
		f.opt.Registry.SetReach(len(f.conns))
		return
	}
	if f.home == addr {
		f.moveHome(f.bestHome())
	}
}

func (f *Follower) reach(addr string, members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.conns[addr]; known != nil {
		known.reach = members
	}
}

// homeLeast is how long an entry keeps its home while that has a link. After a stop of all,
// members find each other within a second, and each of them would be the best for a moment.
const homeLeast = 2 * time.Second

// improveHome moves an entry's home to a better member. The lock is held.
//
// A member that is cut off from the others misses their load reports, and they those of its
// entries. So members that reach the others go first.
func (f *Follower) improveHome(now time.Time) {
	if f.home == "" || now.Sub(f.homeSince) < homeLeast {
		return
	}
	if best := f.bestHome(); best != f.home {
		f.moveHome(best)
	}
}

// moveHome makes a member home, or none. The new one begins to relay before the old one
// ends, so that nothing is missed between; the whole list is asked for only where the old
// one may have missed something.
func (f *Follower) moveHome(addr string) {
	old, next := f.conns[f.home], f.conns[addr]
	if next != nil {
		_ = next.conn.Send(&Subscribe{Loads: LoadsAll, Whole: old == nil || !f.connected(old)})
	}
	if old != nil {
		_ = old.conn.Send(&Subscribe{Loads: LoadsNone})
	}
	f.home, f.homeSince = addr, time.Now()
}

// bestHome gives the address of the member to be home, empty without links.
func (f *Follower) bestHome() string {
	addrs := slices.Sorted(maps.Keys(f.conns))
	if len(addrs) == 0 {
		return ""
	}
	return slices.MaxFunc(addrs, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.suits(a), f.suits(b)), cmp.Compare(f.rank(a), f.rank(b)))
	})
}

// connected tells whether a member reaches at least half as many others as any does.
func (f *Follower) connected(m *member) bool {
	for _, other := range f.conns {
		if other.reach > 2*m.reach {
			return false
		}
	}
	return true
}

const (
	homeInZone = 1
	// homeConnected goes before the zone.
	homeConnected = 2
)

// suits weighs a member as home: a connected one, then one in the own zone. Equal ones
// are told apart by a hash that spreads entries.
func (f *Follower) suits(addr string) int {
	m, weight := f.conns[addr], 0
	if f.connected(m) {
		weight += homeConnected
	}
	if zone := m.conn.Peer().Zone; zone != "" && zone == f.opt.Link.Self.Zone {
		weight += homeInZone
	}
	return weight
}

func (f *Follower) rank(addr string) uint64 {
	return xxhash.Sum64String(string(f.opt.Link.Self.Instance) + "/" + addr)
}

// Report sends this entry's load to its home, which tells the others.
func (f *Follower) Report(r fleetload.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.improveHome(time.Now())
	if home := f.conns[f.home]; home != nil {
		_ = home.conn.Send(&Loads{List: []fleetload.Report{r}})
	}
}

// Wait returns once all links have ended; the follower's context must be done.
func (f *Follower) Wait() { f.work.Wait() }
