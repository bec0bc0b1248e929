// Package retry decides whether a failed request is retried, when, and which
// target the retry excludes. A retry requires proof that the request did not run,
// or that the request is repeatable and nothing of its response was delivered.
// Retries are paid for from a token budget: under overload every first attempt
// fails, and retries without a budget multiply the load that caused the failures.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// Meter counts decisions. Its methods are called concurrently and must not
// block.
type Meter interface {
	// Retried counts a retry, by the reason of the failed attempt.
	Retried(r api.Reason)
	// Denied counts a failure that was safe to retry but is not retried, by the
	// reason of the denial.
	Denied(d Denial)
}

// Denial is the reason why a failure that was safe to retry is not retried.
type Denial string

const (
	// DenialBudget: the customer's or the overall budget is exhausted.
	DenialBudget Denial = "budget"
	// DenialDeadline: the caller's deadline is not after the end of the backoff.
	DenialDeadline Denial = "deadline"
	// DenialAttempts: the request has used all its attempts.
	DenialAttempts Denial = "attempts"
)

// Denials lists all values of Denial, for metric labels.
var Denials = []Denial{DenialBudget, DenialDeadline, DenialAttempts}

// Options configures a Policy. A zero field takes its default.
type Options struct {
	// MaxAttempts bounds the attempts of one request, including the first; the
	// default is 3.
	MaxAttempts int
	// BaseBackoff is the upper bound of the first backoff. The bound doubles with
	// each attempt up to MaxBackoff; only a longer RetryAfter raises it further.
	// The defaults are 25 ms and 2 s.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// Customer configures the budget of each customer and Overall the one shared
	// by all. Both default to 0.1 tokens per request; one customer gets another
	// 0.5 per second up to 5, and all customers together 2 per second up to 50.
	Customer BudgetOptions
	Overall  BudgetOptions
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = 3
	}
	if o.BaseBackoff <= 0 {
		o.BaseBackoff = 25 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 2 * time.Second
	}
	if o.Customer == (BudgetOptions{}) {
		o.Customer = BudgetOptions{PerRequest: 0.1, PerSecond: 0.5, Max: 5}
	}
	if o.Overall == (BudgetOptions{}) {
		o.Overall = BudgetOptions{PerRequest: 0.1, PerSecond: 2, Max: 50}
	}
	return o
}

// Policy decides on retries. It is safe for concurrent use.
type Policy struct {
	initial Options // the options passed to New, with defaults applied
	opts    atomic.Pointer[Options]
	budgets budgets
	meter   Meter
}

// New returns a policy that reports its decisions to m.
func New(o Options, m Meter) *Policy {
	o = o.withDefaults()
	p := &Policy{initial: o, meter: m}
	p.opts.Store(&o)
	return p
}

// Set changes the maximum number of attempts per request, at least 1, and the
// tokens that a request's first attempt adds to its customer's budget and to the
// overall one. With perRequest 0 both budgets have no capacity: the tokens they
// hold are discarded at their next use, time adds none, and no retry that costs
// tokens is granted. Otherwise tokens collected so far are kept. A decision in
// progress uses the options that were in force when it began.
func (p *Policy) Set(maxAttempts int, perRequest float64) {
	o := p.initial
	o.MaxAttempts = max(1, maxAttempts)
	o.Customer.PerRequest, o.Overall.PerRequest = perRequest, perRequest
	if perRequest <= 0 {
		o.Customer, o.Overall = BudgetOptions{}, BudgetOptions{}
	}
	p.opts.Store(&o)
}

// Attempt describes one attempt of a request.
type Attempt struct {
	Customer api.CustomerID
	// Number is the attempt's number; the first attempt is 1.
	Number api.Attempt
	// Target is the target that the attempt was sent to; empty when none was
	// chosen.
	Target api.TargetID
	// Deadline is when the caller gives up; zero means no deadline.
	Deadline time.Time
}

// Decision is the result of Policy.Next for one failed attempt.
type Decision struct {
	// Retry reports whether to send the request again, after the delay After. The
	// caller excludes the target Avoid from routing for all further attempts of
	// this request.
	Retry bool
	After time.Duration
	Avoid api.TargetID
	// Reason is the reason of the failed attempt. It is what the caller receives
	// when Retry is false: an exhausted retry budget would tell the caller less
	// about when to try again.
	Reason api.Reason
	// Denial is set when the failure was safe to retry but is not retried.
	Denial Denial
}

// First credits the first attempt of a request to its customer's budget and to
// the overall one.
func (p *Policy) First(c api.CustomerID, now time.Time) { p.budgets.depositBoth(p.opts.Load(), c, now) }

// Next returns whether and when to retry after the failed attempt a. delivered
// is the number of tokens or bytes already sent to the caller. repeatable says
// that running the request twice does no harm. rng must not be used by another
// goroutine during the call.
func (p *Policy) Next(a Attempt, err *api.Error, delivered int, repeatable bool, now time.Time, rng *rand.Rand) Decision {
	d := Decision{Reason: err.Reason, Avoid: a.Target}
	if !retryable(err, delivered, repeatable) {
		return d
	}
	o := p.opts.Load()
	d.After = o.backoff(a.Number, err, rng)
	d.Denial = p.pay(o, a, err, d.After, now)
	if d.Denial != "" {
		p.meter.Denied(d.Denial)
		return d
	}
	p.meter.Retried(err.Reason)
	d.Retry = true
	return d
}

// pay withdraws the cost of a retry from the budgets, or returns why the retry is
// denied.
func (p *Policy) pay(o *Options, a Attempt, err *api.Error, after time.Duration, now time.Time) Denial {
	switch {
	case int(a.Number) >= o.MaxAttempts:
		return DenialAttempts
	case !a.Deadline.IsZero() && !now.Add(after).Before(a.Deadline):
		return DenialDeadline
	case returnedByDrain(err):
		return ""
	case !p.budgets.withdrawBoth(o, a.Customer, cost(err.Reason), now):
		return DenialBudget
	default:
		return ""
	}
}

// returnedByDrain reports whether a draining target returned the request before
// starting it. Retrying such a request costs no tokens: a draining target returns
// its whole queue at once, far more than the budget can pay for, so that a planned
// restart would otherwise fail every request beyond the budget. These retries do
// not multiply load, since no engine has worked on the request and a target drains
// only once.
func returnedByDrain(err *api.Error) bool {
	return err.Outcome == api.OutcomeNotRun && err.Reason == api.ReasonTargetLeaving
}

// lossCost is the cost in tokens of a retry after a loss (see lossReasons); a
// retry after a refusal costs 1.
const lossCost = 0.1

// cost returns the number of tokens that a retry takes from each budget. The
// budgets exist for refusals, which keep growing in number under overload. A lost
// target fails its requests only once, so a retry after a loss is cheap; it is
// not free, because the request itself may be what crashes targets.
func cost(r api.Reason) float64 {
	if lossReasons[r] {
		return lossCost
	}
	return 1
}

// retryable reports whether a retry is safe and may succeed.
//
// A retry is safe if it is proved that the request did not run, or if the request
// is repeatable and the caller has received nothing of its response. Otherwise a
// booking could run twice, or one response could combine parts of two
// generations.
func retryable(err *api.Error, delivered int, repeatable bool) bool {
	if delivered > 0 {
		return false
	}
	switch err.Outcome {
	case api.OutcomeNotRun:
		return refusalReasons[err.Reason]
	case api.OutcomeInterrupted, api.OutcomeUnknown:
		return repeatable && lossReasons[err.Reason]
	default:
		return false
	}
}

// refusalReasons lists the reasons, for requests that did not run, after which
// another target may accept the request. A limit or a bad request is the same at
// every target, waiting does not help while this instance shuts down, and a
// caller for whom there is no target should be told at once.
var refusalReasons = map[api.Reason]bool{
	api.ReasonQueueFull:         true,
	api.ReasonDeadlineHopeless:  true,
	api.ReasonTargetBackoff:     true,
	api.ReasonTargetLeaving:     true,
	api.ReasonTargetGone:        true,
	api.ReasonLinkLost:          true,
	api.ReasonIncarnation:       true,
	api.ReasonTombstoned:        true,
	api.ReasonEngineUnreachable: true,
	api.ReasonEngineDied:        true,
}

// lossReasons lists the reasons after which a request may have run while its
// response was lost.
var lossReasons = map[api.Reason]bool{
	api.ReasonTargetGone:        true,
	api.ReasonLinkLost:          true,
	api.ReasonIncarnation:       true,
	api.ReasonEngineUnreachable: true,
	api.ReasonEngineDied:        true,
	api.ReasonEngineTruncated:   true,
	api.ReasonIntegrity:         true,
}

// backoff returns the delay before the retry that follows attempt n. The upper
// bound doubles with each attempt, and the delay is drawn from the upper half of
// the range, so that requests that failed together are not retried together.
//
// A RetryAfter of StepRoute covers all targets asked, so the delay is at least as
// long. One target's own RetryAfter is ignored, since the retry excludes that
// target.
func (o *Options) backoff(n api.Attempt, err *api.Error, rng *rand.Rand) time.Duration {
	d := o.MaxBackoff
	if n < 16 {
		d = min(d, o.BaseBackoff<<(max(n, 1)-1))
	}
	if err.Step == api.StepRoute {
		d = max(d, 2*err.RetryAfter)
	}
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}
