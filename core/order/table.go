package order

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"almondseam.dev/core/api"
)

// The errors of refused commands, each wrapped in an api.Error.
var (
	// ErrStale: the fence is not that of the order in flight.
	ErrStale = errors.New("fence is not that of the order in flight")
	// ErrBusy: another order is in flight, and its lease and margin have not passed.
	ErrBusy = errors.New("another order to the target is in flight")
	// ErrPaced: the rate of the weight store or the bound on loads is used up.
	ErrPaced = errors.New("loads from the weight store are paced")
	// ErrNone: no order is queued for the target.
	ErrNone = errors.New("no order is queued for the target")
	// ErrInvalid: the order or the operation is malformed, or its ID was used for
	// another order.
	ErrInvalid = errors.New("order is invalid")
	// ErrQueueFull: the target's queue is full.
	ErrQueueFull = errors.New("too many orders wait for the target")
)

// Table holds the orders of all targets. See the package comment.
type Table struct {
	limits  Limits
	byID    map[string]*Order
	targets map[api.TargetID]*targetQueue
	ended   []*Order
	loads   int
	// nextExpiry is no later than the earliest end of a lease, so that Expire scans
	// the targets only when one may have expired.
	nextExpiry int64
	// tokens is the level of the load bucket in bytes at the time refilled. It goes
	// below zero after a load that is larger than the burst.
	tokens   int64
	refilled int64
	pace     *Pace
	version  uint64
}

// targetQueue holds the queued orders of one target and the one in flight.
type targetQueue struct {
	queued   []*Order
	inFlight *Order
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	return &Table{
		limits:  l,
		byID:    make(map[string]*Order),
		targets: make(map[api.TargetID]*targetQueue),
		tokens:  l.LoadBurst,
	}
}

// Apply applies a command whose log index is fence, at replicated time now. It
// returns a copy of the order that the command refers to.
func (t *Table) Apply(fence api.Fence, now int64, c Command) (Order, error) {
	t.Expire(now)
	switch c.Op {
	case OpSubmit:
		return t.submit(fence, c)
	case OpTake:
		return t.take(now, c)
	case OpRenew:
		return t.renew(now, c)
	case OpFinish:
		return t.finish(now, c)
	}
	return Order{}, refuse(api.ReasonBadRequest, "", 0, ErrInvalid)
}

func (t *Table) submit(fence api.Fence, c Command) (Order, error) {
	if known := t.byID[c.ID]; known != nil {
		if known.Spec != c.Spec {
			return *known, refuse(api.ReasonBadRequest, c.Spec.Target, 0, fmt.Errorf("%w: ID %q was used for another order", ErrInvalid, c.ID))
		}
		return *known, nil
	}
	if c.ID == "" || c.Spec.Target == "" || !c.Spec.Action.valid() || c.Spec.Bytes < 0 {
		return Order{}, refuse(api.ReasonBadRequest, c.Spec.Target, 0, ErrInvalid)
	}
	l := t.targets[c.Spec.Target]
	if l == nil {
		l = &targetQueue{}
		t.targets[c.Spec.Target] = l
	}
	if len(l.queued) >= t.limits.MaxQueued {
		return Order{}, refuse(api.ReasonQueueFull, c.Spec.Target, 0, ErrQueueFull)
	}
	o := &Order{ID: c.ID, Fence: fence, Spec: c.Spec, State: StateQueued, Author: c.Author}
	t.byID[o.ID] = o
	l.queued = append(l.queued, o)
	t.version++
	return *o, nil
}

// take issues the next order. If an order is in flight for the same incarnation,
// take returns it again, because the first answer may have been lost or the agent
// asks through another entry instance. The lease then restarts, since the agent
// counts it from whichever copy arrives.
// Another incarnation has to wait until the lease and the margin have passed,
// because the earlier one may still be about to forward the order to a target that
// ignores fences.
func (t *Table) take(now int64, c Command) (Order, error) {
	l := t.targets[c.Target]
	if l == nil || l.inFlight == nil && len(l.queued) == 0 {
		return Order{}, refuse(api.ReasonNoTarget, c.Target, 0, ErrNone)
	}
	if o := l.inFlight; o != nil {
		if o.Incarnation == c.Incarnation {
			o.Lease = now + t.limits.Lease.Milliseconds()
			return *o, nil
		}
		return Order{}, refuse(api.ReasonStaleFence, c.Target, t.leaseRemaining(o, now), ErrBusy)
	}
	o := l.queued[0]
	if wait, ok := t.admitLoad(now, o.Spec); !ok {
		return Order{}, refuse(api.ReasonQueueFull, c.Target, wait, ErrPaced)
	}
	l.queued = l.queued[1:]
	l.inFlight = o
	t.version++
	o.State = StateIssued
	o.Incarnation = c.Incarnation
	o.Lease = now + t.limits.Lease.Milliseconds()
	t.nextExpiry = min(t.nextExpiry, o.Lease)
	return *o, nil
}

// admitLoad takes the bytes of a load from the fleet's token bucket. If the bucket or
// MaxLoads does not allow the load, it returns how long to wait and false.
func (t *Table) admitLoad(now int64, s Spec) (time.Duration, bool) {
	if !s.Action.loads() {
		return 0, true
	}
	t.refill(now)
	if t.loads >= t.limits.MaxLoads {
		return t.limits.Lease, false
	}
	need := min(s.Bytes, t.limits.LoadBurst)
	if t.tokens < need {
		seconds := float64(need-t.tokens) / float64(t.limits.LoadBytesPerSecond)
		return time.Duration(seconds * float64(time.Second)), false
	}
	t.tokens -= s.Bytes
	t.loads++
	return 0, true
}

// SetPace changes the pace of loads from replicated time now on. Tokens that have
// accrued at the old rate are kept, and loads in flight beyond a lowered bound
// continue. A pace with a bound that is not positive is ignored.
func (t *Table) SetPace(now int64, p Pace) {
	if p.MaxLoads <= 0 || p.LoadBytesPerSecond <= 0 {
		return
	}
	t.refill(now)
	t.applyPace(p)
}

func (t *Table) applyPace(p Pace) {
	t.pace = &p
	t.limits.MaxLoads, t.limits.LoadBytesPerSecond = p.MaxLoads, p.LoadBytesPerSecond
}

// refill adds the tokens that have accrued since the last call.
func (t *Table) refill(now int64) {
	elapsed := now - t.refilled
	t.refilled = now
	full := (t.limits.LoadBurst - t.tokens) * 1000 / t.limits.LoadBytesPerSecond
	if elapsed > full {
		t.tokens = t.limits.LoadBurst
		return
	}
	t.tokens += elapsed * t.limits.LoadBytesPerSecond / 1000
}

func (t *Table) renew(now int64, c Command) (Order, error) {
	o, err := t.inFlight(c)
	if err != nil {
		return Order{}, err
	}
	o.Lease = now + t.limits.Lease.Milliseconds()
	return *o, nil
}

func (t *Table) finish(now int64, c Command) (Order, error) {
	o, err := t.inFlight(c)
	if err != nil {
		return Order{}, err
	}
	state := StateDone
	if c.Failed {
		state = StateFailed
	}
	t.end(o, now, state, c.Message)
	return *o, nil
}

// inFlight returns the order in flight with the target, fence and incarnation of c.
func (t *Table) inFlight(c Command) (*Order, error) {
	l := t.targets[c.Target]
	if l == nil || l.inFlight == nil || l.inFlight.Fence != c.Fence || l.inFlight.Incarnation != c.Incarnation {
		return nil, refuse(api.ReasonStaleFence, c.Target, 0, ErrStale)
	}
	return l.inFlight, nil
}

func (t *Table) end(o *Order, now int64, s State, message string) {
	l := t.targets[o.Spec.Target]
	l.inFlight = nil
	t.version++
	if len(l.queued) == 0 {
		delete(t.targets, o.Spec.Target)
	}
	if o.Spec.Action.loads() {
		t.loads--
	}
	o.State = s
	o.Ended = now
	o.Message = message
	t.ended = append(t.ended, o)
	if len(t.ended) > t.limits.MaxEnded {
		delete(t.byID, t.ended[0].ID)
		t.ended = t.ended[1:]
	}
}

// Expire ends the orders in flight whose lease and margin have expired.
func (t *Table) Expire(now int64) {
	if now < t.nextExpiry {
		return
	}
	var expired []*Order
	t.nextExpiry = math.MaxInt64
	for _, l := range t.targets {
		o := l.inFlight
		if o == nil {
			continue
		}
		if t.leaseRemaining(o, now) <= 0 {
			expired = append(expired, o)
		} else {
			t.nextExpiry = min(t.nextExpiry, o.Lease)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].Fence < expired[j].Fence })
	for _, o := range expired {
		t.end(o, now, StateExpired, "lease ran out")
	}
}

// leaseRemaining returns the time until the lease and margin of o have expired.
func (t *Table) leaseRemaining(o *Order, now int64) time.Duration {
	return time.Duration(o.Lease-now+1)*time.Millisecond + t.limits.Margin
}

// Version changes whenever the result of Ready may change. It is local to the
// process and not part of the replicated state.
func (t *Table) Version() uint64 { return t.version }

// Ready returns the targets that have an order queued and none in flight.
func (t *Table) Ready() []api.TargetID {
	var out []api.TargetID
	for id, l := range t.targets {
		if l.inFlight == nil && len(l.queued) > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// List returns all orders kept, sorted by fence.
func (t *Table) List() []Order {
	out := make([]Order, 0, len(t.byID))
	for _, o := range t.byID {
		out = append(out, *o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fence < out[j].Fence })
	return out
}

// Image is the table's content in a snapshot. Ended lists the IDs of ended
// orders, sorted by when they ended.
type Image struct {
	Orders   []Order  `cbor:"1,keyasint"`
	Ended    []string `cbor:"2,keyasint"`
	Tokens   int64    `cbor:"3,keyasint"`
	Refilled int64    `cbor:"4,keyasint"`
	// Pace is nil before the first SetPace.
	Pace *Pace `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns the table's content. Equal tables give equal images.
func (t *Table) Snapshot() Image {
	img := Image{Orders: t.List(), Tokens: t.tokens, Refilled: t.refilled, Pace: t.pace}
	for _, o := range t.ended {
		img.Ended = append(img.Ended, o.ID)
	}
	return img
}

// Restore returns the table of a snapshot.
func Restore(limits Limits, img Image) *Table {
	t := NewTable(limits)
	t.tokens, t.refilled = img.Tokens, img.Refilled
	if img.Pace != nil {
		t.applyPace(*img.Pace)
	}
	for i := range img.Orders {
		t.restore(&img.Orders[i])
	}
	for _, id := range img.Ended {
		t.ended = append(t.ended, t.byID[id])
	}
	return t
}

func (t *Table) restore(o *Order) {
	t.byID[o.ID] = o
	if o.State.ended() {
		return
	}
	l := t.targets[o.Spec.Target]
	if l == nil {
		l = &targetQueue{}
		t.targets[o.Spec.Target] = l
	}
	if o.State == StateQueued {
		l.queued = append(l.queued, o)
		return
	}
	l.inFlight = o
	if o.Spec.Action.loads() {
		t.loads++
	}
}

func refuse(reason api.Reason, target api.TargetID, after time.Duration, err error) error {
	return &api.Error{Step: api.StepOrder, Peer: string(target), Outcome: api.OutcomeNotRun, Reason: reason, RetryAfter: after, Err: err}
}
