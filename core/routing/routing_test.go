package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const model = api.ModelID("notes")

func rnd(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func id(i int) api.TargetID { return api.TargetID(fmt.Sprintf("t%04d", i)) }

// fleet returns a table of n targets spread over zones, each with the given load.
func fleet(n int, zones []api.Zone, running int) *Table {
	tb := NewTable()
	for i := range n {
		tb.Announce(Target{
			ID: id(i), Incarnation: 1, Zone: zones[i%len(zones)], Models: []api.ModelID{model},
			Running: running, Free: 50_000, Capacity: 100_000, Reported: t0,
		})
	}
	return tb
}

var zones = []api.Zone{"lhr-a", "lhr-b", "lhr-c"}

func ids(cs []Candidate) []api.TargetID {
	var out []api.TargetID
	for _, c := range cs {
		out = append(out, c.ID)
	}
	return out
}

func TestChooseGivesTwoOfTheOwnZone(t *testing.T) {
	c := qt.New(t)
	r := NewRouter(fleet(12, zones, 3), Options{})
	for seed := range uint64(50) {
		got := r.Choose(nil, Query{Model: model, Zone: "lhr-b"}, t0, rnd(seed))
		c.Assert(got, qt.HasLen, 2)
		c.Assert(got[0].ID, qt.Not(qt.Equals), got[1].ID)
		c.Assert(got[0].Zone, qt.Equals, api.Zone("lhr-b"))
		c.Assert(got[1].Zone, qt.Equals, api.Zone("lhr-b"))
	}
}

// The targets of the entry's own zone are loaded while the others are nearly idle.
// Requests must spill over to another zone instead of queueing in the own zone.
func TestChooseSpillsOverWhenOwnZoneIsCrowded(t *testing.T) {
	c := qt.New(t)
	tb := fleet(12, zones, 2)
	for i := range 12 {
		if i%3 == 1 {
			tb.Report(id(i), 1, Load{Running: 20, Free: 50_000, Capacity: 100_000, Reported: t0.Add(time.Second)})
		}
	}
	r := NewRouter(tb, Options{})
	got := r.Choose(nil, Query{Model: model, Zone: "lhr-b"}, t0.Add(time.Second), rnd(1))
	c.Assert(got[0].Own, qt.IsFalse)
}

func TestMembership(t *testing.T) {
	q := Query{Model: model, Zone: "lhr-a"}
	tests := []struct {
		name string
		do   func(*Table) bool
		done bool
		size int
	}{
		{"leave", func(tb *Table) bool { return tb.Leave(id(0), 1) }, true, 2},
		{"leave of another incarnation", func(tb *Table) bool { return tb.Leave(id(0), 2) }, false, 3},
		{"remove", func(tb *Table) bool { return tb.Remove(id(0), 1) }, true, 2},
		{"remove of an earlier incarnation", func(tb *Table) bool {
			tb.Announce(Target{ID: id(0), Incarnation: 2, Zone: "lhr-a", Models: []api.ModelID{model}})
			return tb.Remove(id(0), 1)
		}, false, 3},
		{"late announcement after leave", func(tb *Table) bool {
			tb.Leave(id(0), 1)
			return tb.Announce(Target{ID: id(0), Incarnation: 1, Zone: "lhr-a", Models: []api.ModelID{model}})
		}, false, 2},
		{"next incarnation after leave", func(tb *Table) bool {
			tb.Leave(id(0), 1)
			return tb.Announce(Target{ID: id(0), Incarnation: 2, Zone: "lhr-a", Models: []api.ModelID{model}})
		}, true, 3},
		{"earlier incarnation", func(tb *Table) bool {
			return tb.Announce(Target{ID: id(0), Incarnation: 0, Zone: "lhr-a", Models: []api.ModelID{model}})
		}, false, 3},
		{"other model", func(tb *Table) bool {
			return tb.Announce(Target{ID: id(0), Incarnation: 1, Zone: "lhr-a", Models: []api.ModelID{"tags"}})
		}, true, 2},
		{"report of another incarnation", func(tb *Table) bool {
			return tb.Report(id(0), 2, Load{Reported: t0.Add(time.Second)})
		}, false, 3},
		{"report older than the last one", func(tb *Table) bool {
			tb.Report(id(0), 1, Load{Running: 9, Reported: t0.Add(2 * time.Second)})
			return tb.Report(id(0), 1, Load{Running: 1, Reported: t0.Add(time.Second)})
		}, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tb := fleet(3, zones, 1)
			c.Assert(tt.do(tb), qt.Equals, tt.done)
			c.Assert(tb.View().Size(q), qt.Equals, tt.size)
		})
	}
}

// Guards against a burst that goes to one idle target between two of its reports:
// the entry must count the requests that it has sent itself.
func TestSentCorrectsALateReport(t *testing.T) {
	c := qt.New(t)
	tb := fleet(2, zones[:1], 1)
	tb.Report(id(0), 1, Load{Running: 0, Reported: t0.Add(time.Millisecond)})
	now := t0.Add(300 * time.Millisecond)
	r := NewRouter(tb, Options{})
	first := func() Candidate { return r.Choose(nil, Query{Model: model, Zone: "lhr-a"}, now, rnd(1))[0] }
	c.Assert(first().ID, qt.Equals, id(0))
	for range 5 {
		tb.Sent(id(0), 100, now)
	}
	c.Assert(first().ID, qt.Equals, id(1))

	// A later report includes these requests, so that the correction must end.
	later := now.Add(time.Second)
	tb.Report(id(0), 1, Load{Running: 5, Reported: later})
	for _, cand := range r.Choose(nil, Query{Model: model, Zone: "lhr-a"}, later, rnd(1)) {
		if cand.ID == id(0) {
			c.Assert(cand.Load, qt.Equals, 5.0)
		}
	}
}

// Guards against a stalled link whose last report showed an idle engine: the older
// the report, the less it may attract requests, and a target without a recent report
// is not chosen.
func TestStaleReportIsDiscounted(t *testing.T) {
	c := qt.New(t)
	c.Assert(discountedLoad(0, 10, 0), qt.Equals, 0.0)
	c.Assert(discountedLoad(0, 10, halfTrustAge), qt.Equals, 5.0)
	tb := fleet(3, zones[:1], 4)
	now := t0.Add(maxReportAge + time.Second)
	tb.Report(id(1), 1, Load{Running: 4, Reported: now})
	tb.Report(id(2), 1, Load{Running: 4, Reported: now})
	r := NewRouter(tb, Options{})
	got := r.Choose(nil, Query{Model: model, Zone: "lhr-a"}, now, rnd(1))
	c.Assert(ids(got), qt.Not(qt.Contains), id(0))
}

func TestFailedTargetIsPutAsideAndComesBack(t *testing.T) {
	c := qt.New(t)
	tb := fleet(3, zones[:1], 1)
	r := NewRouter(tb, Options{Ask: 3})
	choose := func(now time.Time) []api.TargetID {
		return ids(r.Choose(nil, Query{Model: model, Zone: "lhr-a"}, now, rnd(1)))
	}
	tb.Failed(id(1), 0, t0, rnd(1))
	c.Assert(choose(t0), qt.Not(qt.Contains), id(1))
	c.Assert(choose(t0.Add(2*baseEjection)), qt.Contains, id(1))

	// Each consecutive failure doubles the time; a success resets the count.
	tb.Failed(id(1), 0, t0, rnd(1))
	c.Assert(choose(t0.Add(2*baseEjection-1)), qt.Not(qt.Contains), id(1))
	tb.Succeeded(id(1))
	c.Assert(tb.find(id(1)).failures.Load(), qt.Equals, int32(0))

	// With all targets ejected, asking one is better than refusing without asking.
	for i := range 3 {
		tb.Failed(id(i), time.Second, t0, rnd(1))
	}
	c.Assert(choose(t0), qt.HasLen, 3)
}

func TestCompareAndRefusal(t *testing.T) {
	scores := map[string]float64{}
	bid := func(name string, own bool, wait time.Duration, cached int, refuse api.Reason, after time.Duration) Bid {
		b := Bid{
			From: Candidate{ID: api.TargetID(name), Own: own, Score: scores[name]},
			Bid:  admission.Bid{Wait: wait, Cached: cached, Refuse: refuse, RetryAfter: after},
		}
		if !own {
			b.From.ZoneWait = defaultZoneWait
		}
		return b
	}
	scores["busy"] = 2
	ms := time.Millisecond
	tests := []struct {
		name   string
		bids   []Bid
		best   int
		reason api.Reason
		after  time.Duration
	}{
		{"none", nil, -1, api.ReasonNoTarget, 0},
		{"earlier start wins", []Bid{bid("a", true, 41*ms, 0, "", 0), bid("busy", true, 10*ms, 0, "", 0)}, 1, "", 0},
		{"lower score wins when the waits are equal", []Bid{bid("busy", true, 10*ms, 0, "", 0), bid("a", true, 40*ms, 0, "", 0)}, 1, "", 0},
		{"own zone is preferred", []Bid{bid("a", false, 10*ms, 0, "", 0), bid("busy", true, -1*ms, 0, "", 0)}, 1, "", 0},
		{"three bids", []Bid{bid("busy", true, 0, 0, "", 0), bid("busy", true, 25*ms, 9, "", 0), bid("a", true, 50*ms, 0, "", 0)}, 1, "", 0},
		{"other zone wins when far earlier", []Bid{bid("a", false, 10*ms, 0, "", 0), bid("b", true, 90*ms, 0, "", 0)}, 0, "", 0},
		{"cached tokens break a tie", []Bid{bid("a", true, 10*ms, 0, "", 0), bid("b", true, 10*ms, 64, "", 0)}, 1, "", 0},
		{"refusal loses", []Bid{bid("a", true, 0, 0, api.ReasonQueueFull, 0), bid("b", false, time.Second, 0, "", 0)}, 1, "", 0},
		{"both queues full", []Bid{bid("a", true, 0, 0, api.ReasonQueueFull, 4*time.Second), bid("b", true, 0, 0, api.ReasonQueueFull, 2*time.Second)}, -1, api.ReasonQueueFull, 2 * time.Second},
		{"one never fits, one queue full", []Bid{bid("a", true, 0, 0, api.ReasonNeverFits, 0), bid("b", true, 0, 0, api.ReasonQueueFull, time.Second)}, -1, api.ReasonQueueFull, time.Second},
		{"neither ever fits", []Bid{bid("a", true, 0, 0, api.ReasonNeverFits, 0), bid("b", true, 0, 0, api.ReasonNeverFits, 0)}, -1, api.ReasonNeverFits, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(BestBid(tt.bids), qt.Equals, tt.best)
			if tt.best < 0 {
				e := Refusal(tt.bids)
				c.Assert(e.Outcome, qt.Equals, api.OutcomeNotRun)
				c.Assert(e.Reason, qt.Equals, tt.reason)
				c.Assert(e.RetryAfter, qt.Equals, tt.after)
			}
		})
	}
}

// Changes the options between two choices; the next choice must use the new ones.
func TestOptionsChangeWhileInUse(t *testing.T) {
	c := qt.New(t)
	r := NewRouter(fleet(12, zones, 3), Options{})
	q := Query{Model: model, Zone: "lhr-b", Prefix: 7}
	c.Assert(r.Choose(nil, q, t0, rnd(1)), qt.HasLen, 2)
	r.Set(Options{Ask: 4, AnyZone: true})
	foreign := 0
	for seed := range uint64(50) {
		got := r.Choose(nil, q, t0, rnd(seed))
		c.Assert(got, qt.HasLen, 4)
		for _, cand := range got {
			c.Assert(cand.ZoneWait, qt.Equals, time.Duration(0))
			if !cand.Own {
				foreign++
			}
		}
	}
	c.Assert(foreign > 50, qt.IsTrue, qt.Commentf("%d of 200 outside of the zone", foreign))
	r.Set(Options{Ask: 8, ZoneWait: time.Second})
	for _, cand := range r.Choose(nil, q, t0, rnd(1)) {
		c.Assert(cand.ZoneWait == time.Second, qt.Equals, !cand.Own)
	}
}

// All targets have the same load, except that the target that the prefix hashes to
// has a third more. A tight bound must pass over this target, a wide one must accept
// it.
func TestBoundChangesWhileInUse(t *testing.T) {
	c := qt.New(t)
	tb := fleet(12, zones[:1], 30)
	r := NewRouter(tb, Options{})
	q := Query{Model: model, Zone: "lhr-a", Prefix: 7}
	affinityTarget := func() api.TargetID {
		for _, cand := range r.Choose(nil, q, t0, rnd(1)) {
			if cand.Affinity {
				return cand.ID
			}
		}
		return ""
	}
	preferred := affinityTarget()
	tb.Report(preferred, 1, Load{Running: 40, Free: 50_000, Capacity: 100_000, Reported: t0.Add(time.Millisecond)})
	r.Set(Options{Ask: 8, Local: 16, Bound: 1})
	c.Assert(affinityTarget(), qt.Not(qt.Equals), preferred)
	r.Set(Options{Ask: 8, Local: 16, Bound: 2})
	c.Assert(affinityTarget(), qt.Equals, preferred)
}
