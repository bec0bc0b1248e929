package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

type fakeMeter map[api.Reason]int

func (m fakeMeter) Retried(r api.Reason) { m[r]++ }
func (m fakeMeter) Denied(d Denial)      { m["not: "+api.Reason(d)]++ }

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

func TestNext(t *testing.T) {
	first := Attempt{Customer: "c", Number: 1, Target: "t1"}
	last := Attempt{Customer: "c", Number: 3, Target: "t1"}
	short := Attempt{Customer: "c", Number: 1, Deadline: t0.Add(10 * time.Millisecond)}
	tests := []struct {
		name       string
		a          Attempt
		outcome    api.Outcome
		reason     api.Reason
		delivered  int
		repeatable bool
		retry      bool
		counted    api.Reason
	}{
		{"refused, not repeatable", first, api.OutcomeNotRun, api.ReasonQueueFull, 0, false, true, api.ReasonQueueFull},
		{"link lost, not repeatable", first, api.OutcomeUnknown, api.ReasonLinkLost, 0, false, false, ""},
		{"link lost, repeatable", first, api.OutcomeUnknown, api.ReasonLinkLost, 0, true, true, api.ReasonLinkLost},
		{"engine died after a token", first, api.OutcomeInterrupted, api.ReasonEngineDied, 1, true, false, ""},
		{"engine died before a token", first, api.OutcomeInterrupted, api.ReasonEngineDied, 0, true, true, api.ReasonEngineDied},
		{"limit", first, api.OutcomeNotRun, api.ReasonTokenRateLimit, 0, true, false, ""},
		{"no target", first, api.OutcomeNotRun, api.ReasonNoTarget, 0, true, false, ""},
		{"never fits", first, api.OutcomeNotRun, api.ReasonNeverFits, 0, true, false, ""},
		{"cancelled", first, api.OutcomeInterrupted, api.ReasonCancelled, 0, true, false, ""},
		{"completed", first, api.OutcomeCompleted, api.ReasonLinkLost, 0, true, false, ""},
		{"attempts used up", last, api.OutcomeNotRun, api.ReasonQueueFull, 0, true, false, "not: attempts"},
		{"deadline too near", short, api.OutcomeNotRun, api.ReasonQueueFull, 0, true, false, "not: deadline"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			m := fakeMeter{}
			p := New(Options{}, m)
			d := p.Next(tt.a, &api.Error{Outcome: tt.outcome, Reason: tt.reason}, tt.delivered, tt.repeatable, t0, newRand(1))
			c.Assert(d.Retry, qt.Equals, tt.retry)
			c.Assert(d.Reason, qt.Equals, tt.reason)
			c.Assert(d.Avoid, qt.Equals, tt.a.Target)
			if tt.counted != "" {
				c.Assert(m, qt.DeepEquals, fakeMeter{tt.counted: 1})
			} else {
				c.Assert(m, qt.HasLen, 0)
			}
		})
	}
}

func TestBackoff(t *testing.T) {
	c := qt.New(t)
	p := New(Options{}, fakeMeter{}).opts.Load()
	route := &api.Error{Step: api.StepRoute, RetryAfter: 3 * time.Second}
	queue := &api.Error{Step: api.StepQueue, RetryAfter: 3 * time.Second}
	for seed := range uint64(20) {
		c.Assert(p.backoff(1, route, newRand(seed)) >= 3*time.Second, qt.IsTrue)
		c.Assert(p.backoff(2, queue, newRand(seed)) <= 50*time.Millisecond, qt.IsTrue)
		c.Assert(p.backoff(40, queue, newRand(seed)) <= 2*time.Second, qt.IsTrue)
	}
}

// Guards against one customer whose requests all fail using up the retries of
// the others, and against all customers together exceeding the overall budget.
func TestBudgets(t *testing.T) {
	c := qt.New(t)
	o := Options{
		Customer: BudgetOptions{PerRequest: 0.1, PerSecond: 0.5, Max: 5},
		Overall:  BudgetOptions{PerSecond: 1, Max: 12},
	}
	p := New(o, fakeMeter{})
	reason := api.ReasonQueueFull
	fail := func(customer api.CustomerID, n int, now time.Time) (retries int) {
		for range n {
			p.First(customer, now)
			d := p.Next(Attempt{Customer: customer, Number: 1}, &api.Error{Outcome: api.OutcomeNotRun, Reason: reason}, 0, false, now, newRand(1))
			if d.Retry {
				retries++
			} else {
				c.Assert(d.Denial, qt.Equals, DenialBudget)
			}
		}
		return retries
	}
	// The full bucket pays for 5 retries, and the requests pay for one more per ten;
	// the first of the 50 requests finds the bucket full and adds nothing. The next
	// customer gets the tokens left of the 12 overall.
	c.Assert(fail("large", 50, t0), qt.Equals, 9)
	c.Assert(fail("small", 10, t0), qt.Equals, 3)
	c.Assert(fail("third", 10, t0), qt.Equals, 0)
	c.Assert(fail("large", 1, t0.Add(2*time.Second)), qt.Equals, 1)

	// After the loss of an engine, its requests are retried at a tenth of the cost,
	// so that far more of them are retried than after refusals.
	p = New(o, fakeMeter{})
	reason = api.ReasonEngineDied
	c.Assert(fail("large", 200, t0), qt.Equals, 120)
}

// A draining target returns its whole queue at once. Every one of these requests
// is retried although the budgets could pay for only a few. Retries for any other
// reason still cost tokens, and the limit on attempts still applies.
func TestQueueOfALeavingTargetMovesWithoutBudget(t *testing.T) {
	c := qt.New(t)
	p := New(Options{Customer: BudgetOptions{PerRequest: 0.001, PerSecond: 0.001, Max: 1}}, nopMeter{})
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	leaving := api.NotRun(api.StepQueue, "t1", api.ReasonTargetLeaving, nil)
	full := api.NotRun(api.StepQueue, "t1", api.ReasonQueueFull, nil)
	for range 500 {
		c.Assert(p.Next(Attempt{Customer: "c", Number: 1}, leaving, 0, false, now, rng).Retry, qt.IsTrue)
	}
	p.Next(Attempt{Customer: "c", Number: 1}, full, 0, false, now, rng)
	c.Assert(p.Next(Attempt{Customer: "c", Number: 1}, full, 0, false, now, rng).Denial, qt.Equals, DenialBudget)
	c.Assert(p.Next(Attempt{Customer: "c", Number: 3}, leaving, 0, false, now, rng).Denial, qt.Equals, DenialAttempts)
}

type nopMeter struct{}

func (nopMeter) Retried(api.Reason) {}
func (nopMeter) Denied(Denial)      {}

// Set takes effect with the next decision, also when it disables the budget and
// later enables it again.
func TestSetChangesTheNextDecision(t *testing.T) {
	c := qt.New(t)
	m := fakeMeter{}
	p := New(Options{}, m)
	refused := &api.Error{Outcome: api.OutcomeNotRun, Reason: api.ReasonQueueFull}
	next := func(number api.Attempt, now time.Time) Denial {
		return p.Next(Attempt{Customer: "c", Number: number}, refused, 0, true, now, newRand(1)).Denial
	}
	c.Assert(next(1, t0), qt.Equals, Denial(""))
	p.Set(1, 0.1)
	c.Assert(next(1, t0), qt.Equals, DenialAttempts)
	p.Set(5, 0.1)
	c.Assert(next(4, t0), qt.Equals, Denial(""))
	p.Set(5, 0)
	c.Assert(next(1, t0), qt.Equals, DenialBudget)
	c.Assert(next(1, t0.Add(time.Hour)), qt.Equals, DenialBudget)
	p.Set(5, 1)
	p.First("c", t0.Add(time.Hour))
	c.Assert(next(1, t0.Add(time.Hour)), qt.Equals, Denial(""))
	c.Assert(next(1, t0.Add(time.Hour)), qt.Equals, DenialBudget)
}
