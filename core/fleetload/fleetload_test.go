package fleetload

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// An entry that was killed has nothing under way any more. Were its last report
// kept, the others would pass over targets that are empty.
func TestLoadOfASilentEntryStopsCounting(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	start := time.Unix(0, 0)
	table.Put(Report{Entry: "a", Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Running: 2, Tokens: 10, Unread: 4}}}}, start)
	table.Put(Report{Entry: "b", Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Running: 1, Tokens: 5}}}}, start.Add(time.Second))
	table.Put(Report{Entry: "self", Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Running: 9}}}}, start)

	sums, entries := table.Sums("self", start.Add(time.Second))
	c.Assert(sums, qt.DeepEquals, map[api.TargetID]Load{"t": {Running: 3, Tokens: 15, Unread: 4}})
	c.Assert(entries, qt.Equals, 2)

	sums, entries = table.Sums("self", start.Add(Stale+time.Millisecond))
	c.Assert(sums, qt.DeepEquals, map[api.TargetID]Load{"t": {Running: 1, Tokens: 5}})
	c.Assert(entries, qt.Equals, 1)
}

// Every entry must come to the same order of moves: two that both took themselves
// for the first would copy at once and wait for each other on the engine's link,
// with their callers' streams stopped.
func TestEntriesAgreeOnWhoMovesFirst(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	now := time.Unix(0, 0)
	entries := []api.InstanceID{"a", "b", "c", "d"}
	for _, id := range entries {
		table.Put(Report{Entry: id, Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Moving: 10}}}}, now)
	}
	seen := map[int]bool{}
	for _, id := range entries {
		seen[table.Ahead(id)["t"]] = true
	}
	c.Assert(seen, qt.DeepEquals, map[int]bool{0: true, 10: true, 20: true, 30: true})
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
		one := Report{Entry: "x", List: Changes(held, mid)}
		two := Report{Entry: "x", List: Changes(mid, next)}
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
