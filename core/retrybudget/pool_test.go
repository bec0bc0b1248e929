package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// slackFour allows 4 grants in a window.
var slackFour = Limits{Slack: 4, Window: 10 * time.Second}

// ask returns an ask for a grant under slackFour.
func ask(id string, p Purpose) Ask { return Ask{ID: id, Service: "s", Purpose: p, Limits: slackFour} }

// Sequences of asks and returns.
func TestPool(t *testing.T) {
	resume, retry := PurposeResume, PurposeRetry
	back := func(id string) Ask { a := ask(id, resume); a.Return = true; return a }
	cold := func(id string, target api.TargetID) Ask {
		a := ask(id, PurposeColdStart)
		a.Target = target
		return a
	}
	after := slackFour.holdTime().Milliseconds() + 1
	type step struct {
		at   int64
		ask  Ask
		want bool
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"up to the slack", []step{{0, ask("1", resume), true}, {0, ask("2", resume), true}, {0, ask("3", resume), true}, {0, ask("4", resume), true}, {0, ask("5", resume), false}}},
		{"a quarter is reserved for resumed streams", []step{{0, ask("1", retry), true}, {0, ask("2", retry), true}, {0, ask("3", retry), true}, {0, ask("4", retry), false}, {0, ask("5", resume), true}}},
		{"the same ask twice", []step{{0, ask("1", resume), true}, {1, ask("1", resume), true}, {1, ask("2", resume), true}, {1, ask("3", resume), true}, {1, ask("4", resume), true}, {1, ask("5", resume), false}}},
		{"free after the window", []step{{0, ask("1", retry), true}, {0, ask("2", retry), true}, {0, ask("3", retry), true}, {after - 1, ask("4", retry), false}, {after, ask("5", retry), true}}},
		{"returned", []step{{0, ask("1", retry), true}, {0, ask("2", retry), true}, {0, ask("3", retry), true}, {0, back("3"), false}, {0, ask("4", retry), true}, {0, ask("5", retry), false}}},
		{"a delayed duplicate of a returned ask", []step{{0, ask("1", retry), true}, {0, back("1"), false}, {1, ask("1", retry), false}}},
		{"a return of a grant that never existed", []step{{0, back("9"), false}, {0, ask("1", retry), true}, {0, back("9"), false}}},
		{"a cold target has an account of its own", []step{{0, cold("1", "t"), true}, {0, cold("2", "t"), true}, {0, cold("3", "t"), true}, {0, cold("4", "t"), true}, {0, cold("5", "t"), false}, {0, cold("6", "u"), true}, {0, ask("7", retry), true}}},
		{"another service", []step{{0, ask("1", retry), true}, {0, ask("2", retry), true}, {0, ask("3", retry), true}, {0, Ask{ID: "4", Service: "t", Purpose: retry, Limits: slackFour}, true}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := NewPool()
			for i, s := range tt.steps {
				p = RestorePool(p.Snapshot()) // a restarted member must give the same answers
				c.Assert(p.Step(s.at, s.ask).Granted, qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// Invalid asks must be refused with a reason and must not change the pool.
func TestPoolRefusesBadAsks(t *testing.T) {
	long := string(make([]byte, maxName+1))
	for name, change := range map[string]func(*Ask){
		"no ID":                         func(a *Ask) { a.ID = "" },
		"a long ID":                     func(a *Ask) { a.ID = long },
		"no service":                    func(a *Ask) { a.Service = "" },
		"a long service":                func(a *Ask) { a.Service = api.ServiceID(long) },
		"no purpose":                    func(a *Ask) { a.Purpose = 0 },
		"a cold start without a target": func(a *Ask) { a.Purpose = PurposeColdStart },
		"a retry with a target":         func(a *Ask) { a.Target = "t" },
		"a long target":                 func(a *Ask) { a.Purpose, a.Target = PurposeColdStart, api.TargetID(long) },
		"an unknown purpose":            func(a *Ask) { a.Purpose = 9 },
		"a negative rate":               func(a *Ask) { a.Purpose, a.Target, a.Rate = PurposeLimited, "t", -1 },
		"a limit without a target":      func(a *Ask) { a.Purpose = PurposeLimited },
		"no window":                     func(a *Ask) { a.Limits.Window = 0 },
		"a negative slack":              func(a *Ask) { a.Limits.Slack = -1 },
		"a huge slack":                  func(a *Ask) { a.Limits.Slack = 1e300 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, a := NewPool(), ask("1", PurposeRetry)
			change(&a)
			c.Assert(p.Step(0, a), qt.Equals, Answer{Reason: api.ReasonBadRequest})
			c.Assert(p.Snapshot(), qt.HasLen, 0)
		})
	}
}

// TestPoolIsBounded guards against asks for nonexistent services that use up the memory.
func TestPoolIsBounded(t *testing.T) {
	c := qt.New(t)
	p := NewPool()
	for i := range maxAccounts {
		c.Assert(p.Step(0, Ask{ID: "1", Service: api.ServiceID(fmt.Sprint(i)), Purpose: PurposeRetry, Limits: slackFour}).Granted, qt.IsTrue)
	}
	c.Assert(p.Step(0, ask("1", PurposeRetry)), qt.Equals, Answer{Reason: api.ReasonRetryBudget})
	c.Assert(p.Step(slackFour.holdTime().Milliseconds()+1, ask("1", PurposeRetry)).Granted, qt.IsTrue)
}

// TestLeaseEndsByEitherClock guards against a machine that was suspended with a lease and uses
// it after it resumes: its monotonic clock was stopped in between.
func TestLeaseEndsByEitherClock(t *testing.T) {
	c := qt.New(t)
	asked := time.Now()
	l := NewLease(asked)
	c.Assert(l.Valid(asked), qt.IsTrue)
	c.Assert(l.Valid(asked.Add(LeaseTime-1)), qt.IsTrue)
	c.Assert(l.Valid(asked.Add(LeaseTime)), qt.IsFalse)
	c.Assert(bothWithin(time.Millisecond, 8*time.Second, LeaseTime), qt.IsFalse)
	c.Assert(bothWithin(time.Millisecond, -8*time.Second, LeaseTime), qt.IsFalse)
	c.Assert(bothWithin(8*time.Second, time.Millisecond, LeaseTime), qt.IsFalse)
}
