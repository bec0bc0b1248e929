package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

func (l *log) limit(now time.Duration, s LimitStatement) Result {
	return l.apply(Command{Now: now.Milliseconds(), Limit: &s})
}

// Checks the limit kept after a series of statements, and whether the last one is announced to
// entry instances.
func TestLimitStatements(t *testing.T) {
	type step struct {
		at        time.Duration
		statement LimitStatement
	}
	// seen is the log index of the limit that the sender knew; the steps have indexes 1, 2, ...
	names := func(at time.Duration, rate float64, seen uint64) step {
		return step{at, LimitStatement{Target: "t", Born: 1, Limited: true, Rate: rate, Seen: seen}}
	}
	none := func(at time.Duration, seen uint64) step {
		return step{at, LimitStatement{Target: "t", Born: 1, Seen: seen}}
	}
	const s = time.Second
	for _, tt := range []struct {
		name      string
		steps     []step
		limited   bool
		rate      float64
		announced bool
	}{
		{"named", []step{names(s, 2, 0)}, true, 2, true},
		{"named twice within 5 ms", []step{names(s, 2, 0), names(s+5*time.Millisecond, 2, 0)}, true, 2, false},
		{"named again after limitRefreshAfter", []step{names(s, 2, 0), names(s+limitRefreshAfter, 2, 1)}, true, 2, false},
		{"lowered", []step{names(s, 2, 0), names(2*s, 1, 0)}, true, 1, true},
		{"raised", []step{names(s, 2, 0), names(2*s, 3, 1)}, true, 3, true},
		{"raised by a sender that did not know the limit", []step{names(s, 2, 0), names(2*s, 3, 0)}, true, 2, false},
		{"withdrawn", []step{names(s, 2, 0), none(2*s, 1)}, false, 0, true},
		{"withdrawn by a sender that did not know the limit", []step{names(s, 2, 0), none(2*s, 0)}, true, 2, false},
		{"named again after its withdrawal", []step{names(s, 2, 0), none(2*s, 1), names(3*s, 2, 0)}, true, 2, true},
		{"late withdrawal of the previous limit", []step{names(s, 2, 0), none(2*s, 1), names(3*s, 2, 2), none(5*s, 1)}, true, 2, false},
		{"never named", []step{none(s, 0)}, false, 0, false},
		{"expired, then named", []step{names(s, 2, 0), {3 * limitTTL, LimitStatement{Target: "u", Limited: true}}, names(3*limitTTL, 2, 1)}, true, 2, true},
		{"next process of the target names none", []step{names(s, 2, 0), {2 * s, LimitStatement{Target: "t", Born: 2}}}, true, 2, false},
		{"next process of the target names one", []step{names(s, 2, 0), {2 * s, LimitStatement{Target: "t", Born: 2, Limited: true, Rate: 5}}}, true, 5, true},
		{"late statement of the previous process", []step{{s, LimitStatement{Target: "t", Born: 2, Limited: true, Rate: 5}}, names(2*s, 2, 1)}, true, 5, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, l := qt.New(t), newLog(t)
			var before uint64
			for _, step := range tt.steps {
				before = l.s.LimitsIndex()
				c.Assert(l.limit(step.at, step.statement).Reason, qt.Equals, api.Reason(""))
				l.reload()
			}
			c.Assert(l.s.LimitsIndex() != before, qt.Equals, tt.announced)
			var got TargetLimit
			for _, known := range l.s.TargetLimits().List {
				if known.Target == "t" {
					got = known
				}
			}
			c.Assert(got.Limited, qt.Equals, tt.limited)
			c.Assert(got.Rate, qt.Equals, tt.rate)
		})
	}
}

// Checks that an invalid statement is refused and leaves no limit in the state.
func TestLimitStatementsThatCannotBeUsed(t *testing.T) {
	for name, statement := range map[string]LimitStatement{
		"no target":                    {Limited: true, Rate: 1},
		"a long target":                {Target: api.TargetID(strings.Repeat("t", maxTargetName+1)), Limited: true, Rate: 1},
		"a negative limit":             {Target: "t", Limited: true, Rate: -1},
		"a rate without a limit":       {Target: "t", Rate: 1},
		"a limit that is not a number": {Target: "t", Limited: true, Rate: nan()},
	} {
		t.Run(name, func(t *testing.T) {
			c, l := qt.New(t), newLog(t)
			c.Assert(l.limit(time.Second, statement).Reason, qt.Equals, api.ReasonBadRequest)
			c.Assert(l.s.TargetLimits().List, qt.HasLen, 0)
		})
	}
}

func nan() float64 { zero := 0.0; return zero / zero }

// TestLimitsAreBounded guards against unbounded growth when targets come and go: a limit
// beyond maxTargetLimits is refused until limits have expired.
func TestLimitsAreBounded(t *testing.T) {
	c, l := qt.New(t), newLog(t)
	for i := range maxTargetLimits {
		c.Assert(l.limit(time.Second, LimitStatement{Target: api.TargetID(fmt.Sprint(i)), Limited: true}).Reason, qt.Equals, api.Reason(""))
	}
	c.Assert(l.limit(time.Second, LimitStatement{Target: "t", Limited: true}).Reason, qt.Equals, api.ReasonQueueFull)
	c.Assert(l.limit(2*time.Second+limitTTL, LimitStatement{Target: "t", Limited: true}).Reason, qt.Equals, api.Reason(""))
	c.Assert(l.s.TargetLimits().List, qt.HasLen, 1)
}

// TestMembersKnowTheSameLimits guards against two members that diverge when one of them is
// repeatedly restored from snapshots, and against a list that changes without a higher index.
func TestMembersKnowTheSameLimits(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 3))
		a, b := newLog(t), newLog(t)
		var last TargetLimits
		for step := range 100 {
			s := LimitStatement{Target: api.TargetID(fmt.Sprint(r.IntN(3))), Born: int64(r.IntN(2)), Seen: uint64(max(0, step-r.IntN(20)))}
			if r.IntN(3) > 0 {
				s.Limited, s.Rate = true, float64(r.IntN(3))
			}
			now := time.Duration(step) * 300 * time.Millisecond
			before, _ := a.s.Snapshot()
			_, changes := a.s.LimitChanges(now.Milliseconds(), s)
			ra, rb := a.limit(now, s), b.limit(now, s)
			qt.New(t).Assert(*ra.Limit, qt.Equals, *rb.Limit)
			after, _ := a.s.Snapshot()
			if !changes && !sameLimits(t, before, after) {
				t.Fatalf("seed %d step %d: a statement that changes nothing changed the limits", seed, step)
			}
			next := a.s.TargetLimits()
			if next.Index < last.Index || next.Index == last.Index && announcement(next) != announcement(last) {
				t.Fatalf("seed %d step %d: %+v after %+v", seed, step, next, last)
			}
			last = next
			if r.IntN(10) == 0 {
				b.reload()
			}
		}
		sa, _ := a.s.Snapshot()
		sb, _ := b.s.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatalf("seed %d: snapshots differ", seed)
		}
	}
}

// sameLimits reports whether two snapshots hold equal limits.
func sameLimits(t *testing.T, a, b []byte) bool {
	sa, err := Restore(DefaultLimits(), a)
	qt.New(t).Assert(err, qt.IsNil)
	sb, err := Restore(DefaultLimits(), b)
	qt.New(t).Assert(err, qt.IsNil)
	return fmt.Sprint(sa.TargetLimits()) == fmt.Sprint(sb.TargetLimits())
}

// announcement returns the part of a list that entry instances use.
func announcement(l TargetLimits) string {
	out := ""
	for _, t := range l.List {
		out += fmt.Sprint(t.Target, t.Born, t.Known())
	}
	return out
}

// TestLateEndOfALimitChangesNothing guards against the late delivery of a statement that a
// target names no limit, over a stalled link or by a suspended process, after the target has
// named a limit again.
func TestLateEndOfALimitChangesNothing(t *testing.T) {
	c, l := qt.New(t), newLog(t)
	names := LimitStatement{Target: "t", Limited: true, Rate: 2}
	none := LimitStatement{Target: "t", Seen: 1} // sent at second 2 and again, late, at second 5
	l.limit(time.Second, names)
	l.limit(2*time.Second, none)
	l.limit(3*time.Second, names)
	l.limit(5*time.Second, none)
	c.Assert(l.s.TargetLimits().List[0].Limited, qt.IsTrue)
}
