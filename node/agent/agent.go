package agent

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/order"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

// Config of an agent. Zero values take the defaults below.
type Config struct {
	Target      api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	Models      []api.ModelID
	Services    []api.ServiceID
	Capacity    int // engine memory in tokens
	// Links is the number of entries to link to, 0 for all.
	Links int
	// Unacked bounds the bytes of one stream that wait for the caller.
	Unacked int
	// Replay bounds the acknowledged bytes kept of one stream, and ReplayTime
	// how long they are kept after the end.
	Replay     int
	ReplayTime time.Duration
	// Live is the configuration in force, whose replay window, replay time and
	// bounds of admission go before those given here; nil follows none.
	Live *fleetconfig.Live
	// Queue bounds the queue whatever the configuration says; zero leaves it to
	// the configuration.
	Queue int
	// Grace is how long a running request is kept going without a link.
	Grace time.Duration
	// TombstoneTime is how long a key stays forbidden.
	TombstoneTime time.Duration
	// Tick is the pace of admission and sweeping.
	Tick time.Duration
	// LoadEvery is the pace of load reports.
	LoadEvery time.Duration
	// CallSlots bounds plain calls in progress.
	CallSlots int
	Clock     Clock
	Observer  Observer
}

// Defaults of Config.
const (
	DefaultUnacked       = 32 << 10
	DefaultReplay        = 64 << 10
	DefaultReplayTime    = 2 * time.Minute
	DefaultGrace         = 30 * time.Second
	DefaultTombstoneTime = 10 * time.Minute
	DefaultTick          = 20 * time.Millisecond
	DefaultLoadEvery     = 250 * time.Millisecond
	DefaultCallSlots     = 256
)

// Observer hears what the agent decides, for metrics and events. Its methods
// may be called from several goroutines.
type Observer interface {
	Accepted(key wire.Key)
	Refused(key wire.Key, reason api.Reason)
	Ended(key wire.Key, outcome api.Outcome, reason api.Reason)
	// LoadFailed is told when the target's load reports begin to fail, not of
	// each one that does.
	LoadFailed(err error)
}

type noObserver struct{}

func (noObserver) Accepted(wire.Key)                       {}
func (noObserver) Refused(wire.Key, api.Reason)            {}
func (noObserver) Ended(wire.Key, api.Outcome, api.Reason) {}
func (noObserver) LoadFailed(error)                        {}

func (c Config) withDefaults() Config {
	c.Unacked = cmp.Or(c.Unacked, DefaultUnacked)
	c.Replay = cmp.Or(c.Replay, DefaultReplay)
	c.ReplayTime = cmp.Or(c.ReplayTime, DefaultReplayTime)
	c.Grace = cmp.Or(c.Grace, DefaultGrace)
	c.TombstoneTime = cmp.Or(c.TombstoneTime, DefaultTombstoneTime)
	c.Tick = cmp.Or(c.Tick, DefaultTick)
	c.LoadEvery = cmp.Or(c.LoadEvery, DefaultLoadEvery)
	c.CallSlots = cmp.Or(c.CallSlots, DefaultCallSlots)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	return c
}

// Agent serves one target. Make it with New, give it links with Attach, and run
// it with Run.
type Agent struct {
	cfg    Config
	target Target
	work   conc.WaitGroup
	seq    atomic.Uint64
	born   time.Time

	mu         sync.Mutex
	admit      Admitter
	sessions   map[wire.Key]*session
	latest     map[api.RequestID]wire.Key
	tombstones map[wire.Key]time.Time
	links      map[sender]*reporting
	applied    *fleetconfig.Snapshot // nil before the first
	replay     int
	replayTime time.Duration
	calls      int
	leaving    bool
	orders     orders
	// preemptions is the engine's count at its last report.
	preemptions uint64
}

// New makes an agent in front of target.
func New(cfg Config, target Target, admit Admitter) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:        cfg,
		born:       cfg.Clock(),
		target:     target,
		admit:      admit,
		replay:     cfg.Replay,
		replayTime: cfg.ReplayTime,
		sessions:   make(map[wire.Key]*session),
		latest:     make(map[api.RequestID]wire.Key),
		tombstones: make(map[wire.Key]time.Time),
		links:      make(map[sender]*reporting),
		orders:     orders{gate: order.NewGate(cfg.Incarnation)},
	}
}

// Run paces admission and sweeps until ctx is done, then waits for the work in
// progress to end. Cancel the work with Abort.
func (a *Agent) Run(ctx context.Context) {
	t := time.NewTicker(a.cfg.Tick)
	defer t.Stop()
	if len(a.cfg.Models) > 0 {
		a.work.Go(func() { a.poll(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			a.work.Wait()
			return
		case <-t.C:
			a.Tick(a.cfg.Clock())
		}
	}
}

// Tick starts what may start, reports load and forgets what has expired.
func (a *Agent) Tick(now time.Time) {
	a.follow()
	a.startReady(now)
	a.reportLoad(now)
	a.sweep(now)
}

// Attach makes a link known, announces the target on it and gives the function
// that forgets the link again.
func (a *Agent) Attach(to sender) (detach func()) {
	a.mu.Lock()
	a.links[to] = &reporting{every: a.cfg.LoadEvery}
	ann := a.announcement()
	a.mu.Unlock()
	_ = to.Send(ann)
	return func() { a.detach(to) }
}

func (a *Agent) detach(from sender) {
	now := a.cfg.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, from)
	for _, s := range a.sessions {
		s.detach(from, now)
	}
}

func (a *Agent) announcement() *wire.Announce {
	return &wire.Announce{
		Target:      a.cfg.Target,
		Incarnation: a.cfg.Incarnation,
		Zone:        a.cfg.Zone,
		Models:      a.cfg.Models,
		Services:    a.cfg.Services,
		Leaving:     a.leaving,
		Capacity:    a.cfg.Capacity,
		Clock:       a.uptime(),
		Links:       a.cfg.Links,
	}
}

// uptime is this agent's monotonic clock.
func (a *Agent) uptime() time.Duration { return a.cfg.Clock().Sub(a.born) }

// Leave marks the target as leaving: every link is told, and offers are refused
// here from now on, so that an entry with a stale view cannot place work.
// Requests that have not started are handed back as not run.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	ann := a.announcement()
	links := a.linkList()
	waiting := a.takeWaiting()
	a.mu.Unlock()
	for _, l := range links {
		_ = l.Send(ann)
	}
	for _, s := range waiting {
		a.end(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonTargetLeaving})
	}
}

// Retire tells one link's entry to place no more work here over it, ahead of the
// link's end. The target goes on serving its other links.
func (a *Agent) Retire(to sender) {
	a.mu.Lock()
	ann := a.announcement()
	a.mu.Unlock()
	ann.Leaving = true
	_ = to.Send(ann)
}

// Uses tells whether a request in progress depends on a link.
func (a *Agent) Uses(to sender) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if s.uses(to) {
			return true
		}
	}
	return false
}

func (a *Agent) linkList() []sender {
	out := make([]sender, 0, len(a.links))
	for l := range a.links {
		out = append(out, l)
	}
	return out
}

func (a *Agent) takeWaiting() []*session {
	var out []*session
	now := a.cfg.Clock()
	for k, s := range a.sessions {
		if s.offer.Service == "" && a.admit.Cancel(k.Request, k.Attempt, now) {
			s.stop()
			out = append(out, s)
		}
	}
	return out
}

// Idle tells that no request is in progress and no entry waits for an end.
func (a *Agent) Idle() bool {
	now := a.cfg.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if !s.settled(now, a.cfg.Grace) {
			return false
		}
	}
	return true
}

// Abort cancels all work in progress: the hard stop.
func (a *Agent) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		s.stop()
	}
}

func (a *Agent) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, s := range a.sessions {
		switch {
		case s.expired(now, a.replayTime):
			delete(a.sessions, k)
			if a.latest[k.Request] == k {
				delete(a.latest, k.Request)
			}
		case s.offer.Service == "" && s.abandoned(now, a.cfg.Grace):
			a.cancelLocked(s, now)
		}
	}
	for k, until := range a.tombstones {
		if now.After(until) {
			delete(a.tombstones, k)
		}
	}
}

func (a *Agent) newGeneration() api.GenerationID {
	n := a.seq.Add(1)
	return api.GenerationID(strconv.FormatUint(uint64(a.cfg.Incarnation), 36) + "-" + strconv.FormatUint(n, 36))
}

func (a *Agent) end(s *session, f *wire.Final) {
	if s.finish(f, a.cfg.Clock()) {
		a.cfg.Observer.Ended(s.offer.Key, f.Outcome, f.Reason)
	}
}
