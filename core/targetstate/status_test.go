package targetstate

import (
	"testing"
	"time"

	"almondseam.dev/core/targetlimit"
	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// seconds returns a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TestBackoff checks until when a target is in backoff after responses that arrive in the given
// order.
func TestBackoff(t *testing.T) {
	type response struct{ at, backoff, spread float64 }
	for _, tt := range []struct {
		name      string
		responses []response
		want      time.Time
	}{
		{"none asked for", []response{{1, 0, 0}}, time.Time{}},
		{"asked for", []response{{1, 3, 0}}, at(4)},
		{"a success in flight", []response{{1, 3, 0}, {1.2, 0, 0}}, at(4)},
		{"again, ending later", []response{{1, 3, 0}, {2, 3, 0}}, at(5)},
		{"again, ending earlier", []response{{1, 3, 0}, {2, 0.5, 0}}, at(4)},
		{"again after its end", []response{{1, 1, 0}, {5, 2, 0}}, at(7)},
		{"spread", []response{{0, 3, 0.5}}, at(3.15)},
		{"a long one spread by a second at most", []response{{0, 60, 0.5}}, at(60.5)},
		{"longer than the longest", []response{{0, 1e9, 0}}, t0.Add(MaxBackoff)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s Status
			for _, r := range tt.responses {
				s = s.Apply(Statement{Backoff: seconds(r.backoff)}, at(r.at), r.spread)
			}
			qt.New(t).Assert(s.BackoffUntil, qt.Equals, tt.want)
		})
	}
	s := Status{}.Apply(Statement{Backoff: 1<<63 - 1}, t0, 0.999)
	qt.New(t).Assert(s.BackoffUntil.Before(t0.Add(MaxBackoff+maxBackoffSpread)), qt.IsTrue)
}

// TestLeaving checks that a target drains from the first response that states it is leaving, and
// that no later response ends that.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	s := Status{}.Apply(Statement{}, t0, 0)
	c.Assert(s.IsDraining(), qt.IsFalse)
	for _, leaving := range []bool{true, false, true} {
		s = s.Apply(Statement{Leaving: leaving}, at(3), 0)
		c.Assert(s.IsDraining(), qt.IsTrue)
	}
	c.Assert(s.Apply(Statement{Leaving: true}, at(5), 0).DrainingSince, qt.Equals, at(3))
	c.Assert(s.Drain(at(6)).DrainingSince, qt.Equals, at(3))
}

// TestInherit checks which backoff applies to a run that takes over the address of another one.
func TestInherit(t *testing.T) {
	asked := func(backoff float64) Status {
		return Status{}.Apply(Statement{Backoff: seconds(backoff), Leaving: true}, t0, 0)
	}
	for _, tt := range []struct {
		name string
		prev Status
		own  Status
		at   float64
		want time.Time
	}{
		{"nothing known of the run before", Status{}, Status{}, 1, time.Time{}},
		{"asked for just before", asked(3), Status{}, 1, at(3)},
		{"asked for too early to be the new run's", asked(60), Status{}, RunOverlap.Seconds(), time.Time{}},
		{"a long one asked for just before", asked(3600), Status{}, 1, at(1 + maxInheritedBackoff.Seconds())},
		{"the new run's own ends later", asked(3), asked(5), 1, at(5)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := tt.own.Inherit(&tt.prev, at(tt.at))
			c.Assert(Status{}.Inherit(&got, at(tt.at)).BackoffUntil, qt.Equals, tt.want, qt.Commentf("by the run after it"))
			c.Assert(got.BackoffUntil, qt.Equals, tt.want)
			c.Assert(got.IsDraining(), qt.Equals, tt.own.IsDraining())
		})
	}
}

// TestCheck checks what may be sent to a target.
func TestCheck(t *testing.T) {
	resting := Status{}.Apply(Statement{Backoff: seconds(3)}, t0, 0)
	refused := Status{}.Refuse(at(3))
	for _, tt := range []struct {
		name        string
		s           Status
		at          float64
		toNew, held Obstacle
		unavailable time.Duration
	}{
		{"nothing known", Status{}, 1, None, None, 0},
		{"in backoff", resting, 1, Backoff, Backoff, seconds(2)},
		{"at the end of a backoff", resting, 3, None, None, 0},
		{"draining", Status{}.Drain(t0), 1, Draining, None, 0},
		{"draining and in backoff", resting.Drain(t0), 1, Backoff, Backoff, seconds(2)},
		{"refused by the control group, which permits in use outlast", refused, 1, None, None, seconds(2)},
		{"in backoff and refused for longer", resting.Refuse(at(9)), 1, Backoff, Backoff, seconds(8)},
		{"failed, full and cold, which only affect the choice", Status{}.Fail(t0).Fill(at(9)).Cool(at(9)), 1, None, None, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(tt.s.Check(UseNew, at(tt.at)), qt.Equals, tt.toNew)
			c.Assert(tt.s.Check(UseHeld, at(tt.at)), qt.Equals, tt.held)
			c.Assert(tt.s.UnavailableFor(at(tt.at)), qt.Equals, tt.unavailable)
		})
	}
}

// TestFailures checks for how long a target is avoided after consecutive failures.
func TestFailures(t *testing.T) {
	c := qt.New(t)
	var s Status
	for _, want := range []float64{0.25, 0.5, 1, 2, 4, 4, 4} {
		s = s.Fail(t0)
		c.Assert(s.AvoidUntil, qt.Equals, at(want))
	}
	c.Assert(s.IsAvoided(at(3.9)), qt.IsTrue)
	s = s.Succeed()
	c.Assert(s, qt.Equals, Status{})
	c.Assert(s.Fail(t0).AvoidUntil, qt.Equals, at(0.25))
}

// TestCold checks for how long a target is cold.
func TestCold(t *testing.T) {
	c := qt.New(t)
	s := Status{}.Cool(at(5)).Cool(at(2))
	c.Assert(s.IsCold(at(4.9), 0), qt.IsTrue)
	c.Assert(s.IsCold(at(5), seconds(9)), qt.IsFalse)
	s = s.EndEvacuation(at(6))
	c.Assert(s.IsCold(at(8.9), seconds(3)), qt.IsTrue)
	c.Assert(s.IsCold(at(9), seconds(3)), qt.IsFalse)
}

// TestRaisedLimitEndsARefusal guards against a target that stays excluded because of a grant that
// was refused under a stricter limit.
func TestRaisedLimitEndsARefusal(t *testing.T) {
	c := qt.New(t)
	named := func(rate, sent float64) Statement {
		return Statement{Limit: &targetlimit.Statement{Limit: targetlimit.Limit{Limited: true, Rate: rate}, Sent: at(sent), Received: at(sent + 0.1)}}
	}
	s := Status{}.Apply(named(2, 0), at(0.1), 0).Refuse(at(9))
	c.Assert(s.Apply(named(1, 1), at(1.1), 0).RefusedUntil, qt.Equals, at(9))
	c.Assert(s.Apply(named(3, 1), at(1.1), 0).RefusedUntil, qt.Equals, time.Time{})
	s = s.ApplyGroupLimit(targetlimit.Known{Limit: targetlimit.Limit{Limited: true, Rate: 2}, Index: 1}, at(1))
	c.Assert(s.RefusedUntil, qt.Equals, at(9))
	c.Assert(s.ApplyGroupLimit(targetlimit.Known{Index: 2}, at(2)).RefusedUntil, qt.Equals, time.Time{})
}

// FuzzStatus checks that no sequence of responses shortens a backoff, and that no backoff lasts
// longer than MaxBackoff and its spread.
func FuzzStatus(f *testing.F) {
	f.Add(int64(3e9), int64(1e9), int64(0), 0.5)
	f.Add(int64(-1), int64(1<<62), int64(1<<62), 0.99)
	f.Fuzz(func(t *testing.T, first, second, gap int64, spread float64) {
		if !(spread >= 0 && spread < 1) || gap < 0 || gap > int64(MaxBackoff) {
			t.Skip()
		}
		now := t0.Add(time.Duration(gap))
		a := Status{}.Apply(Statement{Backoff: time.Duration(first)}, t0, spread)
		b := a.Apply(Statement{Backoff: time.Duration(second)}, now, spread)
		if b.BackoffUntil.Before(a.BackoffUntil) {
			t.Fatalf("shortened from %v to %v", a.BackoffUntil, b.BackoffUntil)
		}
		if b.BackoffUntil.After(now.Add(MaxBackoff + maxBackoffSpread)) {
			t.Fatalf("until %v at %v", b.BackoffUntil, now)
		}
		if second > 0 && b.BackoffUntil.Before(now.Add(min(time.Duration(second), MaxBackoff))) {
			t.Fatalf("asked for %v at %v, until %v", second, now, b.BackoffUntil)
		}
	})
}
