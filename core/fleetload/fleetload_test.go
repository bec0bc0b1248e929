package fleetload

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// view is what a reader of a table's changes knows.
type view map[api.TargetID]Sum

func (v view) take(t *Table, now time.Time) int {
	changed, entries := t.Take(now)
	for _, sum := range changed {
		v[sum.Target] = sum
		if sum.Load == (Load{}) && sum.Ahead == (Backlog{}) {
			delete(v, sum.Target)
		}
	}
	return entries
}

// An entry that was killed has nothing under way any more. Were its last report
// kept, the others would pass over targets that are empty.
func TestLoadOfASilentEntryStopsCounting(t *testing.T) {
	c := qt.New(t)
	table, got := NewTable("self"), view{}
	start := time.Unix(0, 0)
	table.Put(Report{Entry: "a", Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Running: 2, Tokens: 10, Unread: 4}}}}, start)
	table.Put(Report{Entry: "b", Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Running: 1, Tokens: 5}}}}, start.Add(time.Second))
	table.Put(Report{Entry: "self", Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Running: 9}}}}, start)

	c.Assert(got.take(table, start.Add(time.Second)), qt.Equals, 2)
	c.Assert(got, qt.DeepEquals, view{"t": {Target: "t", Load: Load{Running: 3, Tokens: 15, Unread: 4}}})

	c.Assert(got.take(table, start.Add(Stale+time.Millisecond)), qt.Equals, 1)
	c.Assert(got, qt.DeepEquals, view{"t": {Target: "t", Load: Load{Running: 1, Tokens: 5}}})
}

// Every entry must come to the same order of moves: two that both took themselves
// for the first would copy at once and wait for each other on the engine's link,
// with their callers' streams stopped.
func TestEntriesAgreeOnWhoMovesFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	entries := []api.InstanceID{"a", "b", "c", "d"}
	seen := map[Backlog]bool{}
	for _, self := range entries {
		table, got := NewTable(self), view{}
		for _, id := range entries {
			table.Put(Report{Entry: id, Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Moving: 10, MovingRuns: 1}}}}, now)
		}
		got.take(table, now)
		seen[got["t"].Ahead] = true
	}
	c.Assert(seen, qt.DeepEquals, map[Backlog]bool{{}: true, {10, 1}: true, {20, 2}: true, {30, 3}: true})
}

// TestSumsAreThoseOfAllReports guards against sums that drift from the reports that they
// are kept up from: an engine would look full, or empty, for ever.
func TestSumsAreThoseOfAllReports(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	entries := []api.InstanceID{"a", "b", "c", "self", "d"}
	targets := []api.TargetID{"s", "t", "u", "v"}
	table, got := NewTable("self"), view{}
	// loads and heard are the reports as they were made.
	loads := map[api.InstanceID]map[api.TargetID]Load{}
	heard := map[api.InstanceID]time.Time{}
	now := time.Unix(0, 0)
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(700)) * time.Millisecond)
		r := Report{Entry: entries[rng.IntN(len(entries))], Whole: rng.IntN(3) == 0}
		if r.Whole || loads[r.Entry] == nil {
			loads[r.Entry] = map[api.TargetID]Load{}
		}
		for _, id := range targets {
			if rng.IntN(2) == 0 {
				l := Load{Running: rng.IntN(3), Tokens: rng.IntN(3), Unread: rng.IntN(2), Moving: rng.IntN(3), MovingRuns: rng.IntN(2)}
				r.List = append(r.List, TargetLoad{Target: id, Load: l})
				loads[r.Entry][id] = l
			}
		}
		heard[r.Entry] = now
		table.Put(r, now)
		count := got.take(table, now)

		want, others := view{}, 0
		for id, at := range heard {
			if now.Sub(at) > Stale {
				delete(loads, id)
				delete(heard, id)
			} else if id != "self" {
				others++
				for target, l := range loads[id] {
					sum := want[target]
					sum.Target, sum.Load = target, sum.Load.Add(l)
					if before(target, id, "self") {
						sum.Ahead.Tokens += l.Moving
						sum.Ahead.Runs += l.MovingRuns
					}
					want[target] = sum
				}
			}
		}
		maps.DeleteFunc(want, func(_ api.TargetID, s Sum) bool { return s.Load == (Load{}) })
		c.Assert(got, qt.DeepEquals, want)
		c.Assert(count, qt.Equals, others)
	}
}

// Reports of changes, gathered on the way or not, must come to the same as whole
// ones: a load that stayed behind would keep requests from a target for ever.
func TestChangesComeToTheSameAsTheWhole(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	draw := func() []TargetLoad {
		var list []TargetLoad
		for _, id := range []api.TargetID{"a", "b", "c", "d", "e"} {
			if rng.IntN(2) == 0 {
				list = append(list, TargetLoad{Target: id, Load: Load{Running: 1 + rng.IntN(2)}})
			}
		}
		return list
	}
	held := draw()
	have := Report{Entry: "x", Whole: true, List: held}
	for range 500 {
		mid, next := draw(), draw()
		one := Report{Entry: "x", List: changes(held, mid)}
		two := Report{Entry: "x", List: changes(mid, next)}
		apart := have.Merge(one).Merge(two)
		gathered := have.Merge(one.Merge(two))
		c.Assert(len(apart.List), qt.Equals, len(next))
		if len(next) > 0 {
			c.Assert(apart.List, qt.DeepEquals, next)
			c.Assert(gathered.List, qt.DeepEquals, next)
		}
		held, have = next, apart
	}
}

// changes gives what differs between two whole lists, in the order of the names.
func changes(from, to []TargetLoad) []TargetLoad {
	var out []TargetLoad
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Target < to[0].Target:
			out, from = append(out, TargetLoad{Target: from[0].Target}), from[1:]
		case len(from) > 0 && from[0].Target == to[0].Target:
			if from[0].Load != to[0].Load {
				out = append(out, to[0])
			}
			from, to = from[1:], to[1:]
		default:
			out, to = append(out, to[0]), to[1:]
		}
	}
	return out
}
