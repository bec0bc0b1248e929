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

// Grantor grants retries, and requests to targets that are cold or rate limited, from the
// budgets that all entries share. It is safe for concurrent use.
type Grantor interface {
	// Retry requests one grant, or returns one. An error means that no answer arrived before
	// ctx ended.
	Retry(ctx context.Context, ask retrybudget.Ask) (retrybudget.Answer, error)
}

const (
	// grantTimeout bounds the wait for a grant: a round trip to the leader of the control group
	// and one from the leader to a majority, with a margin for an election that is about to
	// end.
	grantTimeout = 300 * time.Millisecond
	// maxRefusalTime bounds how long a refusal by the control group applies to all requests for
	// a grant at this entry.
	maxRefusalTime = 100 * time.Millisecond
	// returnTimeout bounds the attempts to return a retry that was not used.
	returnTimeout = retrybudget.LeaseTime
)

// The budget from which a retry was paid, as reported to the observer.
const (
	paidOwn  = "own"  // the entry's own, earned by the requests that it sends
	paidPool = "pool" // the pool that all entries share
)

// Retry is the right to send one request: either again, or to a target that is cold or rate
// limited.
type Retry struct {
	ask   retrybudget.Ask
	lease retrybudget.Lease
	taken time.Time
	paid  string
}

// valid reports whether the retry may still be used.
func (r *Retry) valid(now time.Time) bool { return r.paid == paidOwn || r.lease.Valid(now) }

// RetryVerdict reports whether a retry was allowed, and why.
type RetryVerdict struct {
	OK bool
	// Paid is the budget from which the retry was paid.
	Paid string
	// Reason is why the retry was not allowed: the budget was exhausted, or no control member
	// answered in time.
	Reason api.Reason
	// Own holds the figures of this entry's own budget; Used and Allowed are those of the
	// shared pool, as reported by the leader of the control group.
	Own     retrybudget.Verdict
	Used    int
	Allowed float64
	// Took is how long the decision took.
	Took time.Duration
	// RetryAfter is the time until a grant becomes free, zero if unknown.
	RetryAfter time.Duration
}

// refusalKey identifies the requests for a grant to which a refusal applies.
type refusalKey struct {
	service api.ServiceID
	purpose retrybudget.Purpose
}

// refusal is a reason not to ask the control group again before a given time.
type refusal struct {
	reason api.Reason
	until  time.Time
}

// Retries holds this entry's own retry budgets, one for each service. It asks the control group
// for retries beyond these, and for requests to targets that are cold or rate limited. It is
// safe for concurrent use.
type Retries struct {
	limits  retrybudget.Limits
	grantor Grantor
	// processID distinguishes the requests of this process from those of an earlier one.
	processID string
	seq       atomic.Uint64
	returns   conc.WaitGroup

	mu      sync.Mutex
	own     map[api.ServiceID]*retrybudget.LocalBudget
	refused map[refusalKey]refusal
}

// NewRetries returns Retries with the given limits.
func NewRetries(l retrybudget.Limits, g Grantor) *Retries {
	return &Retries{
		limits: l, grantor: g, processID: strconv.FormatUint(rand.Uint64(), 36),
		own: make(map[api.ServiceID]*retrybudget.LocalBudget), refused: make(map[refusalKey]refusal),
	}
}

// First counts the first send of a request, which earns budget for retries.
func (r *Retries) First(s api.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownBudget(s, now).First(now)
}

// Take acquires one retry, from this entry's own budget or else from the shared pool. It waits
// a limited time for the answer of the control group.
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
		r.recordNoAnswer(refusalKey{s, p}, now)
	case api.ReasonRetryBudget:
		r.recordRefusal(refusalKey{s, p}, refusal{v.Reason, now.Add(min(v.RetryAfter, maxRefusalTime))})
	}
	return taken, v
}

// ForTarget acquires the right to send one request to a target that takes only rate requests
// per second from all entries together.
func (r *Retries) ForTarget(ctx context.Context, p retrybudget.Purpose, s api.ServiceID, t api.TargetID, rate float64) (Retry, RetryVerdict) {
	ask := retrybudget.Ask{Service: s, Purpose: p, Target: t, Rate: rate}
	return r.askGroup(ctx, ask, RetryVerdict{}, time.Now())
}

// askGroup requests a grant from the control group and waits a limited time for the answer.
func (r *Retries) askGroup(ctx context.Context, ask retrybudget.Ask, v RetryVerdict, began time.Time) (Retry, RetryVerdict) {
	ask.ID = r.processID + "-" + strconv.FormatUint(r.seq.Add(1), 36)
	within, cancel := context.WithTimeout(ctx, grantTimeout)
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

// takeOwn takes a retry from the entry's own budget. If that is exhausted and the control group
// has recently refused the same, the verdict has the reason of that refusal.
func (r *Retries) takeOwn(s api.ServiceID, p retrybudget.Purpose, now time.Time) RetryVerdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := RetryVerdict{Own: r.ownBudget(s, now).Take(now)}
	switch {
	case v.Own.OK:
		v.OK, v.Paid = true, paidOwn
	case now.Before(r.refused[refusalKey{service: s, purpose: p}].until):
		v.Reason = r.refused[refusalKey{service: s, purpose: p}].reason
	}
	return v
}

func (r *Retries) recordRefusal(k refusalKey, why refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[k] = why
}

// recordNoAnswer records that the control group did not answer. While it has no leader, a
// request whose caller has received nothing yet then fails at once instead of waiting; a
// stream, which would be lost, still waits for the next leader.
func (r *Retries) recordNoAnswer(k refusalKey, now time.Time) {
	if k.purpose == retrybudget.PurposeRetry {
		r.recordRefusal(k, refusal{api.ReasonControlUnavailable, now.Add(grantTimeout)})
	}
}

// GiveBack returns a retry that was not used.
func (r *Retries) GiveBack(t Retry) {
	if t.paid == paidOwn {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ownBudget(t.ask.Service, t.taken).GiveBack(t.taken)
		return
	}
	t.ask.Return = true
	r.returns.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		// A grant that is not returned counts until it expires, which violates no limit.
		_, _ = r.grantor.Retry(ctx, t.ask)
	})
}

// Wait blocks until all returns have ended. GiveBack must not be called in the meantime.
func (r *Retries) Wait() { r.returns.Wait() }

func (r *Retries) ownBudget(s api.ServiceID, now time.Time) *retrybudget.LocalBudget {
	o := r.own[s]
	if o == nil {
		o = retrybudget.NewLocalBudget(r.limits, now)
		r.own[s] = o
	}
	return o
}
