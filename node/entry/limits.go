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

// LimitPeers sends to other entries. Send doesn't block; a message may be lost.
// It is called from several goroutines.
type LimitPeers interface {
	Send(to api.InstanceID, m wire.Message)
}

// RosterSource tells which entries share the limits. Roster is called from one
// goroutine and doesn't block; confirmed is when the source last asked whether
// the roster is in force and learned that it is. An empty roster is not known.
type RosterSource interface {
	Roster() (r limit.Roster, confirmed time.Time)
}

// LimitsConfig sets Limits. Zero values take defaults.
type LimitsConfig struct {
	Self api.InstanceID
	// Incarnation grows with each start of the process.
	Incarnation api.Incarnation
	Live        *fleetconfig.Live
	Roster      RosterSource
	// Peers may be nil where the roster has this entry alone.
	Peers  LimitPeers
	Timing limit.Timing
	Clock  func() time.Time
}

const (
	// firstLease is how long the first request of a customer waits here for a
	// lease: a refusal would come sooner but be wrong.
	firstLease = 100 * time.Millisecond
	// soonest bounds how often waiting customers make this entry ask; refusals
	// do so once in an eighth of the time between renewals.
	soonest         = 20 * time.Millisecond
	refusalsInRenew = 8
	// outputWeight is the weight of the latest answer in the mean output.
	outputWeight = 0.1
)

// Limits holds customers to their limits over all entries: it answers requests
// from the shares held here and carries the messages of core/limit.
type Limits struct {
	cfg     LimitsConfig
	holder  *limit.Holder
	grantor *limit.Grantor
	applied atomic.Pointer[fleetconfig.Snapshot]
	outputs sync.Map // api.CustomerID to *meanOutput
	wake    chan struct{}
	// woken is when a refusal last made this entry ask early, in nanoseconds.
	woken atomic.Int64

	mu      sync.Mutex
	granted chan struct{} // closed and replaced when leases have come
}

// NewLimits makes the limits of one entry; Run keeps them going.
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

// Run asks for leases, and grants them, until ctx is done.
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
			if !sleep(ctx, soonest) {
				return
			}
		}
	}
}

// round is one exchange with the owners.
func (l *Limits) round() {
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
			l.take(g, now)
		}
	}
	l.grantor.Tick(now)
}

func (l *Limits) send(to api.InstanceID, m wire.Message) {
	if l.cfg.Peers != nil {
		l.cfg.Peers.Send(to, m)
	}
}

// Handle takes one message of another entry; false when it isn't about limits.
// It may be called from several goroutines.
func (l *Limits) Handle(m wire.Message) bool {
	now := l.cfg.Clock()
	switch m := m.(type) {
	case *wire.LimitRequest:
		if g, ok := l.grantor.Step(m.Request(), now); ok {
			l.send(g.Holder, wire.NewLimitGrant(g))
		}
	case *wire.LimitGrant:
		l.take(m.Grant(), now)
	default:
		return false
	}
	return true
}

func (l *Limits) take(g limit.Grant, now time.Time) {
	l.holder.Step(g, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.granted)
	l.granted = make(chan struct{})
}

// refresh puts the limits of the configuration in force.
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

// Acquire starts a request of a customer with a prompt of so many tokens, or
// says why not. What the answer will cost is estimated from earlier answers;
// settle is called once with the tokens used, zero when it
// did not run. Only a customer that has no lease
// here yet waits for another process, for at most firstLease.
func (l *Limits) Acquire(c *fleetconfig.Customer, prompt int, now time.Time) (settle func(used int), err *api.Error) {
	l.refresh(now)
	out := l.output(c.ID)
	est := int64(prompt) + out.mean()
	p, err := l.holder.Acquire(c.ID, est, now)
	if err != nil && errors.Is(err, limit.ErrNoLease) {
		p, err = l.acquireFirst(c.ID, est)
	}
	if err != nil {
		l.refused(now)
		return nil, err
	}
	return func(used int) {
		if used > 0 {
			out.add(used - prompt)
		}
		p.Release(int64(used), l.cfg.Clock())
	}, nil
}

// acquireFirst asks for a lease and waits for it a little.
func (l *Limits) acquireFirst(c api.CustomerID, est int64) (*limit.Permit, *api.Error) {
	t := time.NewTimer(firstLease)
	defer t.Stop()
	for {
		granted := l.nextGrant()
		p, err := l.holder.Acquire(c, est, l.cfg.Clock())
		if err == nil || !errors.Is(err, limit.ErrNoLease) {
			return p, err
		}
		l.ask()
		select {
		case <-granted:
		case <-t.C:
			return nil, err
		}
	}
}

// ask makes Run ask the owners now.
func (l *Limits) ask() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// refused asks early for a larger share: another entry may have it to spare.
func (l *Limits) refused(now time.Time) {
	last := l.woken.Load()
	if now.UnixNano()-last < int64(l.cfg.Timing.Renew/refusalsInRenew) {
		return
	}
	if l.woken.CompareAndSwap(last, now.UnixNano()) {
		l.ask()
	}
}

func (l *Limits) nextGrant() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

func (l *Limits) output(c api.CustomerID) *meanOutput {
	if v, ok := l.outputs.Load(c); ok {
		return v.(*meanOutput)
	}
	v, _ := l.outputs.LoadOrStore(c, &meanOutput{})
	return v.(*meanOutput)
}

// meanOutput is the mean output of a customer's answers, in tokens. Two writers
// that race may lose one answer, which a mean can bear.
type meanOutput struct{ bits atomic.Uint64 }

func (m *meanOutput) mean() int64 { return int64(math.Float64frombits(m.bits.Load())) }

func (m *meanOutput) add(tokens int) {
	old := math.Float64frombits(m.bits.Load())
	m.bits.Store(math.Float64bits(old + outputWeight*(float64(max(0, tokens))-old)))
}

// FixedRoster is a roster that the settings give: it never changes while the
// entries run, so it is in force whenever it is asked for.
type FixedRoster struct {
	Entries []api.InstanceID
	Clock   func() time.Time
}

// Roster implements RosterSource.
func (f FixedRoster) Roster() (limit.Roster, time.Time) {
	return limit.Roster{Epoch: 1, Entries: f.Entries}, f.Clock()
}
