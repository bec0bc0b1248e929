package retrybudget

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limited returns an ask for a request to a target that states rate requests per second.
func limited(id string, rate float64) Ask {
	return Ask{ID: id, Service: "s", Target: "t", Purpose: PurposeLimited, Rate: rate, Limits: PaceLimits()}
}

// Sequences of asks for a target that states a limit.
func TestPace(t *testing.T) {
	back := func(id string, rate float64) Ask { a := limited(id, rate); a.Return = true; return a }
	cold := Ask{ID: "cold", Service: "s", Target: "t", Purpose: PurposeColdStart, Rate: 1, Limits: ColdLimits(1)}
	type step struct {
		at   int64
		ask  Ask
		want bool
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"the requests of one second at once", []step{{0, limited("1", 2), true}, {0, limited("2", 2), true}, {0, limited("3", 2), false}}},
		{"then one per interval", []step{{0, limited("1", 2), true}, {0, limited("2", 2), true}, {499, limited("3", 2), false}, {500, limited("4", 2), true}, {999, limited("5", 2), false}, {1000, limited("6", 2), true}}},
		{"an idle time allows no larger burst", []step{{0, limited("1", 2), true}, {60_000, limited("2", 2), true}, {60_000, limited("3", 2), true}, {60_000, limited("4", 2), false}}},
		{"the same ask twice", []step{{0, limited("1", 2), true}, {1, limited("1", 2), true}, {1, limited("2", 2), true}, {1, limited("3", 2), false}}},
		{"returned", []step{{0, limited("1", 2), true}, {0, limited("2", 2), true}, {0, back("2", 2), false}, {0, back("2", 2), false}, {0, limited("3", 2), true}, {0, limited("4", 2), false}}},
		{"the limit is lowered", []step{{0, limited("1", 8), true}, {0, limited("2", 8), true}, {0, limited("3", 1), true}, {0, limited("4", 1), false}, {1249, limited("5", 1), true}}},
		{"less than one per second", []step{{0, limited("1", 0.5), true}, {0, limited("2", 0.5), true}, {1999, limited("3", 0.5), false}, {2000, limited("4", 0.5), true}}},
		{"a limit of zero still gets the minimum rate", []step{{0, limited("1", 0), true}, {0, limited("2", 0), true}, {3999, limited("3", 0), false}, {4000, limited("4", 0), true}}},
		{"a cold target that states a limit has two accounts", []step{{0, limited("1", 1), true}, {0, cold, true}, {0, limited("2", 1), true}, {0, limited("3", 1), false}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, p := qt.New(t), NewPool()
			for i, s := range tt.steps {
				p = RestorePool(p.Snapshot()) // a restarted member must give the same answers
				c.Assert(p.Step(s.at, s.ask).Granted, qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// A refusal states when the next grant is due, and a grant must be available then.
func TestPaceTellsWhenToAskAgain(t *testing.T) {
	c, p := qt.New(t), NewPool()
	now, granted := int64(0), 0
	for i := range 200 {
		a := p.Step(now, limited(fmt.Sprint(i), 2.3))
		if a.Granted {
			granted++
			continue
		}
		c.Assert(a.RetryAfter > 0, qt.IsTrue)
		now += a.RetryAfter.Milliseconds() + 1
		c.Assert(p.Check(now, limited("free", 2.3)).Granted, qt.IsTrue)
	}
	seconds := (time.Duration(now) * time.Millisecond).Seconds()
	c.Assert(float64(granted) >= 2.2*seconds, qt.IsTrue, qt.Commentf("%d in %.1f s", granted, seconds))
	c.Assert(float64(granted) <= 2.3*seconds+4, qt.IsTrue, qt.Commentf("%d in %.1f s", granted, seconds))
}

// TestPaceIsForgotten guards against a pool that fills up with accounts of targets that have left.
func TestPaceIsForgotten(t *testing.T) {
	c, p := qt.New(t), NewPool()
	c.Assert(p.Step(0, limited("1", 0)).Granted, qt.IsTrue)
	c.Assert(p.Snapshot(), qt.HasLen, 1)
	p.Step(60_000, ask("2", PurposeRetry))
	c.Assert(p.Snapshot(), qt.HasLen, 1)
	c.Assert(p.Snapshot()[0].Paced, qt.IsFalse)
}
