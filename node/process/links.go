package process

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/membership"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

const (
	// linkSpread is the time over which an agent's moves between entries are
	// spread by lot.
	linkSpread = 5 * time.Second
	// strandedAfter is how long an agent without any link waits before it dials
	// its seeds again: all entries it knew may have been replaced meanwhile.
	strandedAfter = 10 * time.Second
)

// linkKeeperSettings are what a linkKeeper works with.
type linkKeeperSettings struct {
	seeds  []string
	spread time.Duration
	// dial holds a link until it or ctx ends; up is told the link, and nil at
	// its end.
	dial func(ctx context.Context, addr string, up func(*link.Conn))
	// retire returns when nothing depends on a link any more.
	retire func(ctx context.Context, conn *link.Conn)
}

// linkKeeper holds an agent's links. It begins with the seeds, learns from them
// which few entries it is to link to, and moves there: an entry of a large fleet
// could not hold a link to every agent.
type linkKeeper struct {
	set  linkKeeperSettings
	work conc.WaitGroup
	news chan []wire.EntryInfo

	mu   sync.Mutex
	held map[string]*heldLink // by address
	// wanted are the addresses of the newest list's choice; nil before the first
	// list. A move that was planned from an older list and has become wrong by
	// the time it is due is left out.
	wanted map[string]bool
}

// heldLink is one address that is kept dialled.
type heldLink struct {
	entry  membership.Entry
	cancel context.CancelFunc
	conn   *link.Conn // nil while down
}

func newLinkKeeper(set linkKeeperSettings) *linkKeeper {
	return &linkKeeper{set: set, news: make(chan []wire.EntryInfo, 1), held: make(map[string]*heldLink)}
}

// learn takes the list of entries to link to. Only the newest one counts.
func (k *linkKeeper) learn(list []wire.EntryInfo) {
	select {
	case <-k.news:
	default:
	}
	select {
	case k.news <- list:
	default:
	}
}

// run keeps the links until ctx is done.
func (k *linkKeeper) run(ctx context.Context) {
	defer k.work.Wait()
	k.openSeeds(ctx)
	t := time.NewTicker(strandedAfter)
	defer t.Stop()
	stranded := false
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-k.news:
			k.follow(ctx, list)
		case <-t.C:
			if k.up() > 0 {
				stranded = false
				continue
			}
			if stranded {
				k.openSeeds(ctx)
			}
			stranded = true
		}
	}
}

func (k *linkKeeper) openSeeds(ctx context.Context) {
	for _, addr := range k.set.seeds {
		k.open(ctx, addr, membership.Entry{Instance: api.InstanceID(addr)})
	}
}

func (k *linkKeeper) up() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.upLocked()
}

// follow moves from the links that are held to those that the list gives.
func (k *linkKeeper) follow(ctx context.Context, list []wire.EntryInfo) {
	if len(list) == 0 {
		return
	}
	addr := make(map[membership.Entry]string, len(list))
	wanted := make([]membership.Entry, len(list))
	for i, e := range list {
		wanted[i] = membership.Entry{Instance: e.Instance, Zone: e.Zone}
		addr[wanted[i]] = e.Addr
	}
	held := k.name(list, addr)
	k.want(wanted, addr)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, m := range membership.Plan(held, wanted, k.set.spread, rng) {
		k.move(ctx, m, addr[m.Entry])
	}
}

func (k *linkKeeper) want(wanted []membership.Entry, addr map[membership.Entry]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = make(map[string]bool, len(wanted))
	for _, e := range wanted {
		k.wanted[addr[e]] = true
	}
}

// name gives the held links by the names of the list, and adds to addr the
// addresses of those that are not in it.
func (k *linkKeeper) name(list []wire.EntryInfo, addr map[membership.Entry]string) []membership.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range list {
		if h := k.held[e.Addr]; h != nil {
			h.entry = membership.Entry{Instance: e.Instance, Zone: e.Zone}
		}
	}
	out := make([]membership.Entry, 0, len(k.held))
	for a, h := range k.held {
		out = append(out, h.entry)
		addr[h.entry] = a
	}
	return out
}

// move carries out one move when it is due.
func (k *linkKeeper) move(ctx context.Context, m membership.LinkChange, addr string) {
	k.work.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.After):
		}
		if m.Open != k.isWanted(addr) {
			return
		}
		if m.Open {
			k.open(ctx, addr, m.Entry)
			return
		}
		k.shut(ctx, addr)
	})
}

func (k *linkKeeper) isWanted(addr string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wanted[addr]
}

// open keeps an address dialled, unless it is already.
func (k *linkKeeper) open(ctx context.Context, addr string, e membership.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &heldLink{entry: e, cancel: cancel}
	k.held[addr] = h
	k.work.Go(func() {
		redial(ctx, func() { k.set.dial(ctx, addr, func(c *link.Conn) { k.note(h, c) }) })
	})
}

func (k *linkKeeper) note(h *heldLink, c *link.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.conn = c
}

// shut gives a link up once nothing depends on it, but never the last one that
// is up: what the list says may be older than what this agent sees.
func (k *linkKeeper) shut(ctx context.Context, addr string) {
	k.mu.Lock()
	h := k.held[addr]
	if h == nil || h.conn != nil && k.upLocked() == 1 {
		k.mu.Unlock()
		return
	}
	delete(k.held, addr)
	conn := h.conn
	k.mu.Unlock()
	if conn != nil {
		k.set.retire(ctx, conn)
	}
	h.cancel()
}

func (k *linkKeeper) upLocked() int {
	n := 0
	for _, h := range k.held {
		if h.conn != nil {
			n++
		}
	}
	return n
}
