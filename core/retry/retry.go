// Package retry decides whether a request that failed is tried again, where not
// and when. A retry needs proof that the request did not run, or that nothing of
// a repeatable generation was delivered, and it is paid from a budget: in a
// crowded hour every request fails at first, and retries without a budget
// multiply the load that made them fail.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// Meter counts decisions. It is called from several goroutines and must not
// block.
type Meter interface {
	// Retried counts a retry by the reason of the failure.
	Retried(r api.Reason)
	// Denied counts a failure that could have been retried but is not, by why.
	Denied(w Denial)
}

// Denial says what kept a failure that could be retried from being retried.
type Denial string

const (
	// DenialBudget: the customer's budget or the one over all is spent.
	DenialBudget Denial = "budget"
	// DenialDeadline: the caller will have given up before the retry.
	DenialDeadline Denial = "deadline"
	// DenialAttempts: the request has had all its attempts.
	DenialAttempts Denial = "attempts"
)

// Denials lists all values of Denial, for metrics.
var Denials = []Denial{DenialBudget, DenialDeadline, DenialAttempts}

// Options sets a Policy. A zero field takes its default.
type Options struct {
	// MaxAttempts bounds the attempts of one request, the first included; 3.
	MaxAttempts int
	// BaseBackoff and MaxBackoff bound the backoff; 25 ms and 2 s.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// Customer and Overall are the budgets; 0.1 a try, with 0.5 a second up to
	// 5 for one customer, and 2 a second up to 50 for all.
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

// Policy decides on retries. It may be used from several goroutines.
type Policy struct {
	made    Options // as New took them
	opts    atomic.Pointer[Options]
	budgets budgets
	meter   Meter
}

// New gives a policy that counts with m.
func New(o Options, m Meter) *Policy {
	o = o.withDefaults()
	p := &Policy{made: o, meter: m}
	p.opts.Store(&o)
	return p
}

// Set bounds the attempts of one request, 1 or more, and sets what a first try
// adds to either budget, from now on. With perTry 0 no retry is paid for, not
// even by time. What the budgets hold stays; a decision under way ends by the
// options that it began with.
func (p *Policy) Set(attempts int, perTry float64) {
	o := p.made
	o.MaxAttempts = max(1, attempts)
	o.Customer.PerRequest, o.Overall.PerRequest = perTry, perTry
	if perTry <= 0 {
		o.Customer, o.Overall = BudgetOptions{}, BudgetOptions{}
	}
	p.opts.Store(&o)
}

// Attempt is one attempt that failed.
type Attempt struct {
	Customer api.CustomerID
	// Number counts from 1.
	Number api.Attempt
	// Target is where it went; empty when no target was chosen.
	Target api.TargetID
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Decision says what to do after a failed attempt.
type Decision struct {
	// Retry says to try again after After, and not on Avoid, which goes into
	// the request's routing.Query for good.
	Retry bool
	After time.Duration
	Avoid api.TargetID
	// Reason is that of the failure. It is what to tell a caller when Retry is
	// not set: that the budget is spent would say less of when to come back.
	Reason api.Reason
	// Denial is set when the failure could have been retried and is not.
	Denial Denial
}

// First notes a request's first attempt, which pays into the budgets.
func (p *Policy) First(c api.CustomerID, now time.Time) { p.budgets.first(p.opts.Load(), c, now) }

// Next decides on a failed attempt. delivered is the number of tokens or bytes
// that the caller has been sent; repeatable tells that running the request
// twice does no harm. rng is used by this call only.
func (p *Policy) Next(a Attempt, err *api.Error, delivered int, repeatable bool, now time.Time, rng *rand.Rand) Decision {
	d := Decision{Reason: err.Reason, Avoid: a.Target}
	if !allowed(err, delivered, repeatable) {
		return d
	}
	o := p.opts.Load()
	d.After = o.backoff(a.Number, err, rng)
	d.Denial = p.hindrance(o, a, err, d.After, now)
	if d.Denial != "" {
		p.meter.Denied(d.Denial)
		return d
	}
	p.meter.Retried(err.Reason)
	d.Retry = true
	return d
}

// hindrance pays for a retry, or says why there is none.
func (p *Policy) hindrance(o *Options, a Attempt, err *api.Error, after time.Duration, now time.Time) Denial {
	switch {
	case int(a.Number) >= o.MaxAttempts:
		return DenialAttempts
	case !a.Deadline.IsZero() && !now.Add(after).Before(a.Deadline):
		return DenialDeadline
	case handedBack(err):
		return ""
	case !p.budgets.take(o, a.Customer, cost(err.Reason), now):
		return DenialBudget
	default:
		return ""
	}
}

// handedBack tells whether a leaving target gave the request back unstarted.
// Such a move costs no budget: a target that leaves hands back its whole queue
// in one instant, far more than the budget holds, and every caller beyond it
// would be cut off by an orderly restart. No load is multiplied, since no engine
// has worked on the request, and a target leaves once.
func handedBack(err *api.Error) bool {
	return err.Outcome == api.OutcomeNotRun && err.Reason == api.ReasonTargetLeaving
}

// lossCost is what a retry costs after a loss, where one after a refusal costs 1.
const lossCost = 0.1

// cost gives what a retry takes from the budgets. They are there for refusals,
// of which a crowded hour makes ever more. A target that is lost fails what it
// had only once; that isn't free, for a request may be what breaks targets.
func cost(r api.Reason) float64 {
	if lost[r] {
		return lossCost
	}
	return 1
}

// allowed tells whether trying again is safe and may help.
//
// Safe: it is proved that the request did not run, or it may run twice and the
// caller has seen nothing of it. Without either, a booking could run twice, or
// an answer be spliced from two generations.
func allowed(err *api.Error, delivered int, repeatable bool) bool {
	if delivered > 0 {
		return false
	}
	switch err.Outcome {
	case api.OutcomeNotRun:
		return notRun[err.Reason]
	case api.OutcomeInterrupted, api.OutcomeUnknown:
		return repeatable && lost[err.Reason]
	default:
		return false
	}
}

// notRun lists the reasons of a refusal after which another target may take the
// request. A limit or a bad request is the same everywhere, this instance
// shutting down is not mended by waiting, and where there is no target the caller
// had better be told at once.
var notRun = map[api.Reason]bool{
	api.ReasonQueueFull:         true,
	api.ReasonDeadlineHopeless:  true,
	api.ReasonTargetLeaving:     true,
	api.ReasonTargetGone:        true,
	api.ReasonLinkLost:          true,
	api.ReasonIncarnation:       true,
	api.ReasonTombstoned:        true,
	api.ReasonEngineUnreachable: true,
	api.ReasonEngineDied:        true,
}

// lost lists the reasons after which a request may have run in vain.
var lost = map[api.Reason]bool{
	api.ReasonTargetGone:        true,
	api.ReasonLinkLost:          true,
	api.ReasonIncarnation:       true,
	api.ReasonEngineUnreachable: true,
	api.ReasonEngineDied:        true,
	api.ReasonEngineTruncated:   true,
	api.ReasonIntegrity:         true,
}

// backoff doubles with each attempt and is drawn from its upper half, so that
// callers who failed together don't come back together.
//
// A RetryAfter that speaks for all targets asked (StepRoute) is waited out. One
// target's own binds only a return to it, and the retry goes elsewhere.
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
