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

// What is known after statements, and whether entries are told of the last one.
func TestLimitStatements(t *testing.T) {
	type step struct {
		at        time.Duration
		statement LimitStatement
	}
	names := func(at time.Duration, rate float64) step {
		return step{at, LimitStatement{Target: "t", Born: 1, Limited: true, Rate: rate, SentAge: 20 * time.Millisecond}}
	}
	none := func(at time.Duration) step {
		return step{at, LimitStatement{Target: "t", Born: 1, SentAge: 20 * time.Millisecond}}
	}
	const s = time.Second
	for _, tt := range []struct {
		name    string
		steps   []step
		limited bool
		rate    float64
		told    bool
	}{
		{"named", []step{names(s, 2)}, true, 2, true},
		{"named by two", []step{names(s, 2), names(s+5*time.Millisecond, 2)}, true, 2, false},
		{"named for long", []step{names(s, 2), names(s+limitFresh, 2)}, true, 2, true},
		{"lowered", []step{names(s, 2), names(2*s, 1)}, true, 1, true},
		{"raised", []step{names(s, 2), names(2*s, 3)}, true, 3, true},
		{"named no more", []step{names(s, 2), none(2 * s)}, false, 0, true},
		{"named no more, says a late statement", []step{names(s, 2), {2 * s, LimitStatement{Target: "t", Born: 1, SentAge: 1500 * time.Millisecond, HeardAge: 1200 * time.Millisecond}}}, true, 2, false},
		{"never named", []step{none(s)}, false, 0, false},
		{"the target's next run names none", []step{names(s, 2), {2 * s, LimitStatement{Target: "t", Born: 2}}}, true, 2, false},
		{"the target's next run names one", []step{names(s, 2), {2 * s, LimitStatement{Target: "t", Born: 2, Limited: true, Rate: 5}}}, true, 5, true},
		{"the run before names one late", []step{{s, LimitStatement{Target: "t", Born: 2, Limited: true, Rate: 5}}, names(2*s, 2)}, true, 5, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, l := qt.New(t), newLog(t)
			var before uint64
			for _, step := range tt.steps {
				before = l.s.LimitsAt()
				c.Assert(l.limit(step.at, step.statement).Reason, qt.Equals, api.Reason(""))
				l.reload()
			}
			c.Assert(l.s.LimitsAt() != before, qt.Equals, tt.told)
			list := l.s.TargetLimits().List
			if !tt.limited && tt.rate == 0 && len(list) == 0 {
				return
			}
			c.Assert(list, qt.HasLen, 1)
			c.Assert(list[0].Limited, qt.Equals, tt.limited)
			c.Assert(list[0].Rate, qt.Equals, tt.rate)
		})
	}
}

// Statements that can't be used are refused and leave nothing behind.
func TestLimitStatementsThatCannotBeUsed(t *testing.T) {
	for name, statement := range map[string]LimitStatement{
		"no target":                  {Limited: true, Rate: 1},
		"a long target":              {Target: api.TargetID(strings.Repeat("t", maxTargetName+1)), Limited: true, Rate: 1},
		"a negative limit":           {Target: "t", Limited: true, Rate: -1},
		"heard in the future":        {Target: "t", Limited: true, Rate: 1, HeardAge: -time.Second},
		"heard before it was asked":  {Target: "t", Limited: true, Rate: 1, HeardAge: time.Second},
		"a limit that is no number ": {Target: "t", Limited: true, Rate: nan()},
	} {
		t.Run(name, func(t *testing.T) {
			c, l := qt.New(t), newLog(t)
			c.Assert(l.limit(time.Second, statement).Reason, qt.Equals, api.ReasonBadRequest)
			c.Assert(l.s.TargetLimits().List, qt.HasLen, 0)
		})
	}
}

func nan() float64 { zero := 0.0; return zero / zero }

// TestLimitsAreBounded guards against targets that come and go and are remembered for ever.
func TestLimitsAreBounded(t *testing.T) {
	c, l := qt.New(t), newLog(t)
	for i := range maxTargetLimits {
		c.Assert(l.limit(time.Second, LimitStatement{Target: api.TargetID(fmt.Sprint(i)), Limited: true}).Reason, qt.Equals, api.Reason(""))
	}
	c.Assert(l.limit(time.Second, LimitStatement{Target: "t", Limited: true}).Reason, qt.Equals, api.ReasonQueueFull)
	c.Assert(l.limit(2*time.Second+limitKept, LimitStatement{Target: "t", Limited: true}).Reason, qt.Equals, api.Reason(""))
	c.Assert(l.s.TargetLimits().List, qt.HasLen, 1)
}

// TestMembersKnowTheSameLimits guards against members that differ, one of them restored from
// snapshots again and again, and against a list that changes under the same index.
func TestMembersKnowTheSameLimits(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 3))
		a, b := newLog(t), newLog(t)
		var last TargetLimits
		for step := range 100 {
			heard := time.Duration(r.IntN(2000)) * time.Millisecond
			s := LimitStatement{
				Target: api.TargetID(fmt.Sprint(r.IntN(3))), Born: int64(r.IntN(2)), Limited: r.IntN(3) > 0, Rate: float64(r.IntN(3)),
				HeardAge: heard, SentAge: heard + time.Duration(r.IntN(500))*time.Millisecond,
			}
			now := time.Duration(step) * 300 * time.Millisecond
			_, changes := a.s.LimitChanges(now.Milliseconds(), s)
			at := a.s.LimitsAt()
			a.limit(now, s)
			b.limit(now, s)
			qt.New(t).Assert(a.s.LimitsAt() != at, qt.Equals, changes)
			next := a.s.TargetLimits()
			if next.Index == last.Index && fmt.Sprint(next.List) != fmt.Sprint(last.List) && len(next.List) >= len(last.List) {
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
