package entry

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/limit"
	"almondseam.dev/node/wire"
)

// LimitPeers sends messages to other entries. Send does not block, and a message
// may be lost. Send is called from several goroutines.
type LimitPeers interface {
	Send(to api.InstanceID, m wire.Message)
}

// RosterSource returns the entries that share the limits. Roster is called by one
// goroutine at a time and does not block. confirmed is the time at which the source last
// asked whether the roster is in force and learned that it is. An empty roster
// means that it is not known.
type RosterSource interface {
	Roster() (r limit.Roster, confirmed time.Time)
}

// LimitsConfig configures Limits. A zero Timing or Clock takes its default.
type LimitsConfig struct {
	Self api.InstanceID
	// Incarnation increases with each start of the process.
	Incarnation api.Incarnation
	Live        *fleetconfig.Live
	Roster      RosterSource
	// Peers may be nil if the roster contains only this entry.
	Peers  LimitPeers
	Timing limit.Timing
	Clock  func() time.Time
}

const (
	// firstLeaseTimeout is how long a customer's first request at this entry waits
	// for a lease. Without the wait it would be refused at once, although the
	// customer may be within its limit.
	firstLeaseTimeout = 100 * time.Millisecond
	// wakeDelay is the delay between the wake-up of Run by a request and the round
	// that follows; it limits how often requests that wait for a lease cause a
	// round. Refusals cause at most earlyRoundsPerRenew rounds between two
	// renewals.
	wakeDelay           = 20 * time.Millisecond
	earlyRoundsPerRenew = 8
	// outputWeight is the weight of the latest answer in the moving average of the
	// output.
	outputWeight = 0.1
)

// Limits enforces the customers' limits across all entries: it admits requests from
// the shares that this entry holds, and exchanges the messages of core/limit with
// the other entries.
type Limits struct {
	cfg     LimitsConfig
	holder  *limit.Holder
	grantor *limit.Grantor
	applied atomic.Pointer[fleetconfig.Snapshot]
	outputs sync.Map // api.CustomerID to *meanOutput
	wake    chan struct{}
	// rounds is held during a round.
	rounds sync.Mutex
	// lastEarlyRound is when a refusal last caused an early round, in Unix
	// nanoseconds.
	lastEarlyRound atomic.Int64

	mu      sync.Mutex
	granted chan struct{} // closed and replaced when a grant has been applied
}

// NewLimits returns the limits of one entry. Run must be called to obtain and grant
// leases.
func NewLimits(cfg LimitsConfig) *Limits {
	if cfg.Timing == (limit.Timing{}) {
		cfg.Timing = limit.DefaultTiming
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Limits{
		cfg:     cfg,
		holder:  limit.NewHolder(cfg.Self, cfg.Incarnation, cfg.Timing),
		grantor: limit.NewGrantor(cfg.Self, cfg.Timing),
		wake:    make(chan struct{}, 1),
		granted: make(chan struct{}),
	}
}

// Run requests and grants leases until ctx is done.
func (l *Limits) Run(ctx context.Context) {
	tick := time.NewTicker(l.cfg.Timing.Renew)
	defer tick.Stop()
	for {
		l.round()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.wake:
			if !sleep(ctx, wakeDelay) {
				return
			}
		}
	}
}

// round applies the current configuration and roster and sends requests to the
// owners of the customers' limits. A request to this entry itself is granted
// directly.
func (l *Limits) round() {
	l.rounds.Lock()
	defer l.rounds.Unlock()
	l.roundLocked()
}

// roundLocked is round for a caller that holds l.rounds.
func (l *Limits) roundLocked() {
	now := l.cfg.Clock()
	l.refresh(now)
	if r, confirmed := l.cfg.Roster.Roster(); len(r.Entries) > 0 {
		l.holder.SetRoster(r, confirmed, now)
		l.grantor.SetRoster(r, confirmed, now)
	}
	for owner, req := range l.holder.Tick(now) {
		if owner != l.cfg.Self {
			l.send(owner, wire.NewLimitRequest(req))
			continue
		}
		if g, ok := l.grantor.Step(req, now); ok {
			l.applyGrant(g, now)
		}
	}
	l.grantor.Tick(now)
}

func (l *Limits) send(to api.InstanceID, m wire.Message) {
	if l.cfg.Peers != nil {
		l.cfg.Peers.Send(to, m)
	}
}

// Handle processes a message of another entry. It returns false if the message is
// not about limits. It is safe for concurrent use.
func (l *Limits) Handle(m wire.Message) bool {
	now := l.cfg.Clock()
	switch m := m.(type) {
	case *wire.LimitRequest:
		if g, ok := l.grantor.Step(m.Request(), now); ok {
			l.send(g.Holder, wire.NewLimitGrant(g))
		}
	case *wire.LimitGrant:
		l.applyGrant(m.Grant(), now)
	default:
		return false
	}
	return true
}

// applyGrant applies a grant and wakes the requests that wait for a lease.
func (l *Limits) applyGrant(g limit.Grant, now time.Time) {
	l.holder.Step(g, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.granted)
	l.granted = make(chan struct{})
}

// refresh applies the limits of the configuration in force if they have changed.
func (l *Limits) refresh(now time.Time) {
	conf := l.cfg.Live.Load()
	if conf == nil || l.applied.Load() == conf {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.applied.Load() == conf {
		return
	}
	limits := make(map[api.CustomerID]limit.Limit)
	for _, c := range conf.Customers() {
		limits[c.ID] = limit.Limit{
			Slots: int64(c.MaxConcurrent),
			Rate:  int64(c.TokensPerSecond),
			Burst: int64(c.BurstTokens),
		}
	}
	l.holder.SetLimits(limits, now)
	l.grantor.SetLimits(limits)
	l.applied.Store(conf)
}

// Acquire admits a request of a customer, with a prompt of the given number of
// tokens, or returns the reason why not. The cost of the answer is estimated from
// the customer's earlier answers. The caller must call settle once, with the number
// of tokens used, or zero if the request did not run. Acquire waits for another
// entry, for at most firstLeaseTimeout, only if the customer has no lease at this
// entry yet.
func (l *Limits) Acquire(c *fleetconfig.Customer, prompt int, now time.Time) (settle func(used int), err *api.Error) {
	l.refresh(now)
	out := l.meanOutputOf(c.ID)
	est := int64(prompt) + out.mean()
	p, err := l.holder.Acquire(c.ID, est, now)
	if err != nil && errors.Is(err, limit.ErrNoLease) {
		p, err = l.acquireFirst(c.ID, est)
	}
	if err != nil {
		l.onRefusal(now)
		return nil, err
	}
	return func(used int) {
		if used > 0 {
			out.add(used - prompt)
		}
		p.Release(int64(used), l.cfg.Clock())
	}, nil
}

// acquireFirst requests a lease and waits for it, for at most firstLeaseTimeout. If this
// entry owns the customer's limit, it grants the lease at once.
func (l *Limits) acquireFirst(c api.CustomerID, est int64) (*limit.Permit, *api.Error) {
	if p, err := l.acquireOwned(c, est); err == nil || !errors.Is(err, limit.ErrNoLease) {
		return p, err
	}
	t := time.NewTimer(firstLeaseTimeout)
	defer t.Stop()
	for {
		granted := l.grantSignal()
		p, err := l.holder.Acquire(c, est, l.cfg.Clock())
		if err == nil || !errors.Is(err, limit.ErrNoLease) {
			return p, err
		}
		l.requestRound()
		select {
		case <-granted:
		case <-t.C:
			return nil, err
		}
	}
}

// acquireOwned requests and grants a lease in the caller's goroutine if this entry owns the
// customer's limit. It does not wait for Run, which may get no processor time for longer
// than firstLeaseTimeout on a busy machine.
func (l *Limits) acquireOwned(c api.CustomerID, est int64) (*limit.Permit, *api.Error) {
	l.rounds.Lock()
	defer l.rounds.Unlock()
	p, err := l.holder.Acquire(c, est, l.cfg.Clock())
	if err == nil || !errors.Is(err, limit.ErrNoLease) || !l.owns(c) {
		return p, err
	}
	l.roundLocked()
	return l.holder.Acquire(c, est, l.cfg.Clock())
}

// owns reports whether this entry owns the customer's limit under the roster in force. The
// caller must hold l.rounds.
func (l *Limits) owns(c api.CustomerID) bool {
	r, _ := l.cfg.Roster.Roster()
	return len(r.Entries) > 0 && r.Owner(c) == l.cfg.Self
}

// requestRound makes Run start a round early.
func (l *Limits) requestRound() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// onRefusal requests an early round after a refusal, because another entry may be
// able to give up a part of its share. It does so at most earlyRoundsPerRenew times
// per renewal interval.
func (l *Limits) onRefusal(now time.Time) {
	last := l.lastEarlyRound.Load()
	if now.UnixNano()-last < int64(l.cfg.Timing.Renew/earlyRoundsPerRenew) {
		return
	}
	if l.lastEarlyRound.CompareAndSwap(last, now.UnixNano()) {
		l.requestRound()
	}
}

// grantSignal returns a channel that is closed when the next grant has been
// applied.
func (l *Limits) grantSignal() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

func (l *Limits) meanOutputOf(c api.CustomerID) *meanOutput {
	if v, ok := l.outputs.Load(c); ok {
		return v.(*meanOutput)
	}
	v, _ := l.outputs.LoadOrStore(c, &meanOutput{})
	return v.(*meanOutput)
}

// meanOutput is the moving average of the output of a customer's answers, in
// tokens. One of two concurrent updates may be lost, which changes the average
// little.
type meanOutput struct{ bits atomic.Uint64 }

func (m *meanOutput) mean() int64 { return int64(math.Float64frombits(m.bits.Load())) }

func (m *meanOutput) add(tokens int) {
	old := math.Float64frombits(m.bits.Load())
	m.bits.Store(math.Float64bits(old + outputWeight*(float64(max(0, tokens))-old)))
}

// FixedRoster is a roster taken from the settings. It never changes while the
// entries run, so it is confirmed at the time of each call.
type FixedRoster struct {
	Entries []api.InstanceID
	Clock   func() time.Time
}

// Roster implements RosterSource.
func (f FixedRoster) Roster() (limit.Roster, time.Time) {
	return limit.Roster{Epoch: 1, Entries: f.Entries}, f.Clock()
}
