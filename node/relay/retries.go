package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retrybudget"
	"github.com/sourcegraph/conc"
)

// Grantor grants retries, and requests to targets that are cold or name a limit, out of the
// budgets that all entries share. It is safe for concurrent use.
type Grantor interface {
	// Retry asks for one grant, or returns one. An error means that no answer came
	// before ctx ended.
	Retry(ctx context.Context, ask retrybudget.Ask) (retrybudget.Answer, error)
}

const (
	// askWithin bounds the wait for a grant: an exchange with the group's leader and one
	// of the leader with a majority, with some room for an election that ends.
	askWithin = 300 * time.Millisecond
	// refusedFor bounds how long a refusal of the group stands for all that ask here.
	refusedFor = 100 * time.Millisecond
	// returnWithin bounds the attempts to return a retry that was not sent.
	returnWithin = retrybudget.LeaseTime
)

// Where a retry was paid from, as observers are told.
const (
	paidOwn  = "own"  // by requests of this entry
	paidPool = "pool" // by the budget that all entries share
)

// Retry is the right to send one request once more.
type Retry struct {
	ask   retrybudget.Ask
	lease retrybudget.Lease
	taken time.Time
	paid  string
}

// valid tells whether the retry may still be sent.
func (r *Retry) valid(now time.Time) bool { return r.paid == paidOwn || r.lease.Valid(now) }

// RetryVerdict tells whether a retry was allowed, and why.
type RetryVerdict struct {
	OK bool
	// Paid is where it was paid from.
	Paid string
	// Reason says why it was not allowed: the budget was spent, or no control member
	// answered in time.
	Reason api.Reason
	// Own are the figures of this entry's part; Used and Allowed those of the shared one,
	// as the group's leader knew them.
	Own     retrybudget.Verdict
	Used    int
	Allowed float64
	// Took is how long the decision took.
	Took time.Duration
	// RetryAfter tells when a grant becomes free, zero where that is unknown.
	RetryAfter time.Duration
}

// refusalKey names what a refusal of the group stands for.
type refusalKey struct {
	service api.ServiceID
	purpose retrybudget.Purpose
}

// refusal is a reason not to ask the group again before a time.
type refusal struct {
	reason api.Reason
	until  time.Time
}

// Retries holds this entry's budgets for retries, one a service, and asks the group for what
// goes beyond them and for requests to targets that bear so many in all. It is safe for
// concurrent use.
type Retries struct {
	limits  retrybudget.Limits
	grantor Grantor
	// run distinguishes the asks of this process from those of an earlier one.
	run     string
	seq     atomic.Uint64
	returns conc.WaitGroup

	mu      sync.Mutex
	own     map[api.ServiceID]*retrybudget.LocalBudget
	refused map[refusalKey]refusal
}

// NewRetries makes the budgets.
func NewRetries(l retrybudget.Limits, g Grantor) *Retries {
	return &Retries{
		limits: l, grantor: g, run: strconv.FormatUint(rand.Uint64(), 36),
		own: make(map[api.ServiceID]*retrybudget.LocalBudget), refused: make(map[refusalKey]refusal),
	}
}

// First counts a request's first send.
func (r *Retries) First(s api.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownOf(s, now).First(now)
}

// Take takes one retry: from this entry's own part, else from the shared one. It waits
// for the group's answer for a while.
func (r *Retries) Take(ctx context.Context, s api.ServiceID, p retrybudget.Purpose) (Retry, RetryVerdict) {
	began := time.Now()
	v := r.takeOwn(s, p, began)
	if v.OK || v.Reason != "" {
		return Retry{ask: retrybudget.Ask{Service: s}, taken: began, paid: paidOwn}, v
	}
	taken, v := r.askGroup(ctx, retrybudget.Ask{Service: s, Purpose: p}, v, began)
	now := time.Now()
	switch v.Reason {
	case api.ReasonControlUnavailable:
		r.unanswered(refusalKey{s, p}, now)
	case api.ReasonRetryBudget:
		r.refuse(refusalKey{s, p}, refusal{v.Reason, now.Add(min(v.RetryAfter, refusedFor))})
	}
	return taken, v
}

// ForTarget takes the right to send one request to a target that bears so many a second from
// all entries.
func (r *Retries) ForTarget(ctx context.Context, p retrybudget.Purpose, s api.ServiceID, t api.TargetID, rate float64) (Retry, RetryVerdict) {
	ask := retrybudget.Ask{Service: s, Purpose: p, Target: t, Rate: rate}
	return r.askGroup(ctx, ask, RetryVerdict{}, time.Now())
}

// askGroup asks the group for a grant, and waits for its answer for a while.
func (r *Retries) askGroup(ctx context.Context, ask retrybudget.Ask, v RetryVerdict, began time.Time) (Retry, RetryVerdict) {
	ask.ID = r.run + "-" + strconv.FormatUint(r.seq.Add(1), 36)
	within, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	answer, err := r.grantor.Retry(within, ask)
	now := time.Now()
	v.Used, v.Allowed, v.Took, v.RetryAfter = answer.Used, answer.Allowed, now.Sub(began), answer.RetryAfter
	lease := retrybudget.NewLease(began)
	switch {
	case err != nil:
		v.Reason = api.ReasonControlUnavailable
	case !answer.Granted:
		v.Reason = api.ReasonRetryBudget
	case !lease.Valid(now):
		v.Reason = api.ReasonTimeout
	default:
		v.OK, v.Paid = true, paidPool
	}
	return Retry{ask: ask, lease: lease, taken: began, paid: paidPool}, v
}

// takeOwn takes a retry from the entry's own part. Its verdict has a reason where the
// group has just refused the same.
func (r *Retries) takeOwn(s api.ServiceID, p retrybudget.Purpose, now time.Time) RetryVerdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := RetryVerdict{Own: r.ownOf(s, now).Take(now)}
	switch {
	case v.Own.OK:
		v.OK, v.Paid = true, paidOwn
	case now.Before(r.refused[refusalKey{service: s, purpose: p}].until):
		v.Reason = r.refused[refusalKey{service: s, purpose: p}].reason
	}
	return v
}

func (r *Retries) refuse(k refusalKey, why refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[k] = why
}

// unanswered notes an ask without an answer. While the group has no leader, requests of
// which the caller has nothing get their failure at once; a stream that would be lost
// waits for the next leader.
func (r *Retries) unanswered(k refusalKey, now time.Time) {
	if k.purpose == retrybudget.PurposeRetry {
		r.refuse(k, refusal{api.ReasonControlUnavailable, now.Add(askWithin)})
	}
}

// GiveBack returns a retry that was not sent.
func (r *Retries) GiveBack(t Retry) {
	if t.paid == paidOwn {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ownOf(t.ask.Service, t.taken).GiveBack(t.taken)
		return
	}
	t.ask.Return = true
	r.returns.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), returnWithin)
		defer cancel()
		// Unreturned it counts until its time is over, which harms no bound.
		_, _ = r.grantor.Retry(ctx, t.ask)
	})
}

// Wait returns once all returns have ended. No retry is given back any more.
func (r *Retries) Wait() { r.returns.Wait() }

func (r *Retries) ownOf(s api.ServiceID, now time.Time) *retrybudget.LocalBudget {
	o := r.own[s]
	if o == nil {
		o = retrybudget.NewLocalBudget(r.limits, now)
		r.own[s] = o
	}
	return o
}
