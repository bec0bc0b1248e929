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

// Config configures an agent. A zero field takes its default below, if there is one.
type Config struct {
	Target      api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	Models      []api.ModelID
	Services    []api.ServiceID
	Capacity    int // engine memory in tokens
	// Links is the number of entries to link to; 0 means all.
	Links int
	// MaxUnackedBytes is the number of unacknowledged bytes of one stream above
	// which the agent takes no more items from the target.
	MaxUnackedBytes int
	// ReplayBytes is the size of the replay window, which holds acknowledged items
	// of one stream. ReplayTime is how long a request is kept after its end.
	ReplayBytes int
	ReplayTime  time.Duration
	// Live is the configuration in force. Its replay window and replay time take
	// precedence over ReplayBytes and ReplayTime, and its admission bounds over
	// those with which the Admitter was created. If Live is nil, the agent follows
	// no configuration.
	Live *fleetconfig.Live
	// Queue is the maximum number of queued requests. It takes precedence over the
	// limit in Live; zero means that Live determines the limit.
	Queue int
	// DisconnectGrace is how long a generation is kept without a link before it is
	// cancelled.
	DisconnectGrace time.Duration
	// TombstoneTime is how long a tombstone is kept and offers of its key are
	// refused.
	TombstoneTime time.Duration
	// Tick is the interval at which Run calls Agent.Tick.
	Tick time.Duration
	// LoadInterval is the interval of load reports on a link until its entry
	// requests another one. It is also the interval at which the engine's own load
	// is polled.
	LoadInterval time.Duration
	// MaxCalls is the maximum number of plain calls in progress.
	MaxCalls int
	Clock    Clock
	Observer Observer
}

// Defaults of Config.
const (
	DefaultMaxUnackedBytes = 32 << 10
	DefaultReplayBytes     = 64 << 10
	DefaultReplayTime      = 2 * time.Minute
	DefaultDisconnectGrace = 30 * time.Second
	DefaultTombstoneTime   = 10 * time.Minute
	DefaultTick            = 20 * time.Millisecond
	DefaultLoadInterval    = 250 * time.Millisecond
	DefaultMaxCalls        = 256
)

// Observer is notified of what the agent decides, for metrics and events. Its
// methods may be called from several goroutines.
type Observer interface {
	Accepted(key wire.Key)
	Refused(key wire.Key, reason api.Reason)
	Ended(key wire.Key, outcome api.Outcome, reason api.Reason)
	// LoadFailed is called when the load reports of the target begin to fail, not
	// for each report that fails.
	LoadFailed(err error)
}

type noObserver struct{}

func (noObserver) Accepted(wire.Key)                       {}
func (noObserver) Refused(wire.Key, api.Reason)            {}
func (noObserver) Ended(wire.Key, api.Outcome, api.Reason) {}
func (noObserver) LoadFailed(error)                        {}

func (c Config) withDefaults() Config {
	c.MaxUnackedBytes = cmp.Or(c.MaxUnackedBytes, DefaultMaxUnackedBytes)
	c.ReplayBytes = cmp.Or(c.ReplayBytes, DefaultReplayBytes)
	c.ReplayTime = cmp.Or(c.ReplayTime, DefaultReplayTime)
	c.DisconnectGrace = cmp.Or(c.DisconnectGrace, DefaultDisconnectGrace)
	c.TombstoneTime = cmp.Or(c.TombstoneTime, DefaultTombstoneTime)
	c.Tick = cmp.Or(c.Tick, DefaultTick)
	c.LoadInterval = cmp.Or(c.LoadInterval, DefaultLoadInterval)
	c.MaxCalls = cmp.Or(c.MaxCalls, DefaultMaxCalls)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	return c
}

// Agent serves one target. New creates it, Attach adds a link and Run runs it.
type Agent struct {
	cfg           Config
	target        Target
	tasks         conc.WaitGroup
	generationSeq atomic.Uint64
	startedAt     time.Time

	mu       sync.Mutex
	admitter Admitter
	sessions map[wire.Key]*session
	// latestKey holds the key of the most recently accepted attempt of each
	// request.
	latestKey     map[api.RequestID]wire.Key
	tombstones    map[wire.Key]time.Time
	ended         map[wire.Key]endedRequest
	links         map[sender]*loadReporting
	appliedConfig *fleetconfig.Snapshot // nil until one has been applied
	replayBytes   int
	replayTime    time.Duration
	calls         int // plain calls in progress
	leaving       bool
	// crashedAt is when the last crash of the target was first observed.
	crashedAt time.Time
	orders    orders
	// preemptions is the number of preemptions in the engine's last load report.
	preemptions uint64
}

// New returns an agent in front of target.
func New(cfg Config, target Target, admitter Admitter) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:         cfg,
		startedAt:   cfg.Clock(),
		target:      target,
		admitter:    admitter,
		replayBytes: cfg.ReplayBytes,
		replayTime:  cfg.ReplayTime,
		sessions:    make(map[wire.Key]*session),
		latestKey:   make(map[api.RequestID]wire.Key),
		tombstones:  make(map[wire.Key]time.Time),
		ended:       make(map[wire.Key]endedRequest),
		links:       make(map[sender]*loadReporting),
		orders:      orders{gate: order.NewGate(cfg.Incarnation)},
	}
}

// Run calls Tick at the configured interval until ctx is done, then waits for the
// work in progress to end. It also polls the engine's load if the agent serves any
// models. Abort cancels the work in progress.
func (a *Agent) Run(ctx context.Context) {
	t := time.NewTicker(a.cfg.Tick)
	defer t.Stop()
	if len(a.cfg.Models) > 0 {
		a.tasks.Go(func() { a.pollLoad(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			a.tasks.Wait()
			return
		case <-t.C:
			a.Tick(a.cfg.Clock())
		}
	}
}

// Tick applies a new configuration, starts the requests that may start, sends load
// reports, cancels abandoned generations, and removes sessions and tombstones that
// have expired.
func (a *Agent) Tick(now time.Time) {
	a.applyConfig()
	a.startReady(now)
	a.reportLoad(now)
	a.sweep(now)
}

// Attach adds a link, announces the target on it and returns the function that
// removes the link.
func (a *Agent) Attach(to sender) (detach func()) {
	a.mu.Lock()
	a.links[to] = &loadReporting{interval: a.cfg.LoadInterval}
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

// uptime returns the agent's monotonic clock, which starts at zero when the agent
// is created.
func (a *Agent) uptime() time.Duration { return a.cfg.Clock().Sub(a.startedAt) }

// Leave marks the target as leaving. It announces this on every link, and the
// agent refuses new offers from now on, so that an entry with an outdated view
// cannot place work here. Queued generations end as not run.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	ann := a.announcement()
	links := a.linkList()
	waiting := a.cancelQueued()
	a.mu.Unlock()
	for _, l := range links {
		_ = l.Send(ann)
	}
	for _, s := range waiting {
		a.endSession(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonTargetLeaving})
	}
}

// Retire tells the entry of one link to place no more work over this link, before
// the link is closed. The target continues to serve its other links.
func (a *Agent) Retire(to sender) {
	a.mu.Lock()
	ann := a.announcement()
	a.mu.Unlock()
	ann.Leaving = true
	_ = to.Send(ann)
}

// Uses reports whether the end of a request has yet to be acknowledged on a link.
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

func (a *Agent) cancelQueued() []*session {
	var out []*session
	now := a.cfg.Clock()
	for k, s := range a.sessions {
		if s.offer.Service == "" && a.admitter.Cancel(k.Request, k.Attempt, now) {
			s.stop()
			out = append(out, s)
		}
	}
	return out
}

// Idle reports whether no request is in progress and no entry waits for the end of
// one.
func (a *Agent) Idle() bool {
	now := a.cfg.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if !s.settled(now, a.cfg.DisconnectGrace) {
			return false
		}
	}
	return true
}

// Abort cancels all work in progress.
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
	for _, s := range a.sessions {
		switch {
		case s.expired(now, a.replayTime):
			a.removeEnded(s, now)
		case s.offer.Service == "" && s.abandoned(now, a.cfg.DisconnectGrace):
			a.cancelLocked(s, now)
		}
	}
	for k, r := range a.ended {
		if now.After(r.until) {
			delete(a.ended, k)
		}
	}
	for k, until := range a.tombstones {
		if now.After(until) {
			delete(a.tombstones, k)
		}
	}
}

func (a *Agent) newGeneration() api.GenerationID {
	n := a.generationSeq.Add(1)
	return api.GenerationID(strconv.FormatUint(uint64(a.cfg.Incarnation), 36) + "-" + strconv.FormatUint(n, 36))
}

func (a *Agent) endSession(s *session, f *wire.Final) {
	if s.finish(f, a.cfg.Clock()) {
		a.cfg.Observer.Ended(s.offer.Key, f.Outcome, f.Reason)
	}
}
