package registry

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
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

// Follower keeps a link to each of a changing set of addresses and merges what
// they tell into a registry.
type Follower struct {
	reg  *Registry
	opt  link.Options
	self string

	mu     sync.Mutex
	ctx    context.Context
	work   conc.WaitGroup
	active map[string]context.CancelFunc
	conns  map[string]*link.Conn
	// onLoads is told other entries' loads.
	onLoads func([]fleetload.Report)
}

// NewFollower makes a follower that ends with ctx. It never dials self. onLoads
// may be nil; it is called from several goroutines.
func NewFollower(ctx context.Context, reg *Registry, opt link.Options, self string, onLoads func([]fleetload.Report)) *Follower {
	if onLoads == nil {
		onLoads = func([]fleetload.Report) {}
	}
	return &Follower{
		reg: reg, opt: opt, self: self, ctx: ctx, onLoads: onLoads,
		active: make(map[string]context.CancelFunc), conns: make(map[string]*link.Conn),
	}
}

// Follow sets the addresses.
func (f *Follower) Follow(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		want[a] = a != f.self
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
	conn, err := patience.Dial(ctx, addr, f.opt)
	if err != nil {
		return false
	}
	_ = conn.Send(&Subscribe{})
	f.set(addr, conn)
	conn.Run(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *Records:
			f.reg.Merge(m.List)
		case *Loads:
			f.onLoads(m.List)
		}
	})
	f.unset(addr, conn)
	return true
}

func (f *Follower) set(addr string, conn *link.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[addr] = conn
}

func (f *Follower) unset(addr string, conn *link.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[addr] == conn {
		delete(f.conns, addr)
	}
}

// Report sends this entry's load to one member, which tells all others.
func (f *Follower) Report(r fleetload.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := ""
	for addr := range f.conns {
		if first == "" || addr < first {
			first = addr
		}
	}
	if first != "" {
		_ = f.conns[first].Send(&Loads{List: []fleetload.Report{r}})
	}
}

// Wait returns once all links have ended; the follower's context must be done.
func (f *Follower) Wait() { f.work.Wait() }
