package fleetload

import (
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// view holds the sums that a reader has gathered from the changes of a table.
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

// Guards against counting the load of an entry that was killed and has no active requests
// any more: the other entries would avoid targets that are idle.
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

// Guards against entries that disagree on the order of their migrations. Two entries that
// both started first would copy at the same time and delay each other on the engine's
// link while the streams of their callers are stopped.
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

// TestSumsAreThoseOfAllReports guards against incrementally updated sums that drift from the
// reports: an engine would appear full, or idle, permanently.
func TestSumsAreThoseOfAllReports(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	entries := []api.InstanceID{"a", "b", "c", "self", "d"}
	targets := []api.TargetID{"s", "t", "u", "v"}
	table, got := NewTable("self"), view{}
	// loads and reportedAt hold the last load of each entry and the time of its last report.
	loads := map[api.InstanceID]map[api.TargetID]Load{}
	reportedAt := map[api.InstanceID]time.Time{}
	rises := newRiseModel()
	now := time.Unix(0, 0)
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(700)) * time.Millisecond)
		r := Report{Entry: entries[rng.IntN(len(entries))], Whole: rng.IntN(3) == 0}
		before := maps.Clone(loads[r.Entry])
		if r.Whole || loads[r.Entry] == nil {
			loads[r.Entry] = map[api.TargetID]Load{}
		}
		for _, id := range targets {
			if rng.IntN(2) == 0 {
				l := Load{Running: rng.IntN(3), Tokens: rng.IntN(3), Unread: rng.IntN(2), Moving: rng.IntN(3), MovingRuns: rng.IntN(2), Incoming: rng.IntN(2)}
				if gaps := rng.IntN(3); gaps > 0 {
					l.PaceWeight, l.PaceSum = gaps, 20*gaps
				}
				if rng.IntN(2) == 0 {
					l.Failed, l.Answered, l.FailingEntries = 1+rng.IntN(3), rng.IntN(9), rng.IntN(2)
				}
				r.List = append(r.List, TargetLoad{Target: id, Load: l})
				loads[r.Entry][id] = l
			}
		}
		reportedAt[r.Entry] = now
		table.Put(r, now)
		count := got.take(table, now)

		want, others := view{}, 0
		for id, at := range reportedAt {
			if now.Sub(at) > Stale {
				delete(loads, id)
				delete(reportedAt, id)
			} else if id != "self" {
				others++
				for target, l := range loads[id] {
					sum := want[target]
					sum.Target, sum.Load = target, sum.Load.Add(l)
					if migratesBefore(target, id, "self") {
						sum.Ahead.Tokens += l.Moving
						sum.Ahead.Runs += l.MovingRuns
						sum.FailingBefore += l.FailingEntries
					}
					want[target] = sum
				}
			}
		}
		maps.DeleteFunc(want, func(_ api.TargetID, s Sum) bool { return s.Load == (Load{}) })
		if r.Entry != "self" {
			rises.report(r.Entry, before, loads[r.Entry])
		}
		sums := maps.Clone(got)
		for _, id := range targets {
			failing, risen := rises.count(id, loads)
			sum := got[id]
			c.Assert(sum.Rises, qt.HasLen, failing)
			c.Assert(rises.above(id, sum.Rises), qt.Equals, risen)
			if rng.IntN(10) == 0 {
				rises.setMark(id, sum.Rises)
			}
			if sum.Target != "" {
				sum.Rises = nil
				sums[id] = sum
			}
		}
		c.Assert(sums, qt.DeepEquals, want)
		c.Assert(count, qt.Equals, others)
	}
}

// riseModel holds, by target, the entries of which the failures have grown since a mark.
type riseModel struct {
	risen map[api.TargetID]map[api.InstanceID]bool
	marks map[api.TargetID]uint64
}

func newRiseModel() *riseModel {
	return &riseModel{risen: map[api.TargetID]map[api.InstanceID]bool{}, marks: map[api.TargetID]uint64{}}
}

func (m *riseModel) report(entry api.InstanceID, before, after map[api.TargetID]Load) {
	for id, l := range after {
		if l.Failed > before[id].Failed {
			if m.risen[id] == nil {
				m.risen[id] = map[api.InstanceID]bool{}
			}
			m.risen[id][entry] = true
		}
	}
	for id := range m.risen {
		if after[id].Failed == 0 {
			delete(m.risen[id], entry)
		}
	}
}

// count returns the number of other entries that report failures of a target, and of those among them
// whose failures have grown since the mark.
func (m *riseModel) count(id api.TargetID, loads map[api.InstanceID]map[api.TargetID]Load) (failing, risen int) {
	for entry, of := range loads {
		if entry == "self" || of[id].Failed == 0 {
			continue
		}
		failing++
		if m.risen[id][entry] {
			risen++
		}
	}
	return failing, risen
}

func (m *riseModel) above(id api.TargetID, rises []uint64) (n int) {
	for _, r := range rises {
		if r > m.marks[id] {
			n++
		}
	}
	return n
}

func (m *riseModel) setMark(id api.TargetID, rises []uint64) {
	for _, r := range rises {
		m.marks[id] = max(m.marks[id], r)
	}
	delete(m.risen, id)
}

// Guards against an entry that, by reports that no entry sends, takes a target from all others or
// keeps a faulty one in use; and against sums that are wrong after such a report.
func TestFailuresThatNoEntryReportsAreNotCounted(t *testing.T) {
	c := qt.New(t)
	table, got := NewTable("self"), view{}
	now := time.Unix(0, 0)
	put := func(entry api.InstanceID, l Load) Load {
		table.Put(Report{Entry: entry, List: []TargetLoad{{Target: "t", Load: l}}}, now)
		got.take(table, now)
		sum := got["t"].Load
		return Load{Failed: sum.Failed, Answered: sum.Answered, FailingEntries: sum.FailingEntries, Running: sum.Running}
	}
	good := Load{Failed: 2, Answered: 7, FailingEntries: 1, Running: 1}
	c.Assert(put("a", good), qt.Equals, good)
	bad := []Load{
		{Failed: -1}, {Failed: 1 << 40}, {Answered: -1}, {Answered: 1 << 40}, {FailingEntries: -1}, {Failed: 9, FailingEntries: 2}, {FailingEntries: 1},
	}
	for i, l := range bad {
		l.Running = 3
		c.Assert(put("b", l), qt.Equals, good.Add(Load{Running: 3}), qt.Commentf("%+v", l))
		c.Assert(table.Rejected(), qt.Equals, i+1)
	}
	// The same report again, and those of an entry that is gone, count once or not at all.
	c.Assert(put("a", good), qt.Equals, good.Add(Load{Running: 3}))
	c.Assert(put("b", Load{}), qt.Equals, good)
	got.take(table, now.Add(Stale+time.Millisecond))
	c.Assert(got, qt.HasLen, 0)
}

// Guards against entries that disagree on who tries a target again.
func TestEntriesAgreeOnWhoTriesFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	entries := []api.InstanceID{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, self := range entries {
		table, got := NewTable(self), view{}
		for _, id := range entries {
			table.Put(Report{Entry: id, Whole: true, List: []TargetLoad{{Target: "t", Load: Load{Failed: 1, FailingEntries: 1}}}}, now)
		}
		got.take(table, now)
		seen[got["t"].FailingBefore] = true
	}
	c.Assert(seen, qt.DeepEquals, map[int]bool{0: true, 1: true, 2: true, 3: true})
}

// Guards against a load that remains after it has ended and keeps requests away from a
// target. Reports of changes, merged in any grouping, must have the same result as a
// report of the whole load.
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
	current := draw()
	report := Report{Entry: "x", Whole: true, List: current}
	for range 500 {
		mid, next := draw(), draw()
		one := Report{Entry: "x", List: changes(current, mid)}
		two := Report{Entry: "x", List: changes(mid, next)}
		separate := report.Merge(one).Merge(two)
		merged := report.Merge(one.Merge(two))
		c.Assert(len(separate.List), qt.Equals, len(next))
		if len(next) > 0 {
			c.Assert(separate.List, qt.DeepEquals, next)
			c.Assert(merged.List, qt.DeepEquals, next)
		}
		current, report = next, separate
	}
}

// TestImplausibleLoadsAreDropped guards against one entry that reports negative or huge numbers,
// for which all others would wait with their migrations, or avoid a receiver for ever.
func TestImplausibleLoadsAreDropped(t *testing.T) {
	c := qt.New(t)
	table, got := NewTable("self"), view{}
	now := time.Unix(0, 0)
	good := Load{Running: 1, Moving: 5, MovingRuns: 1, Incoming: 7}
	table.Put(Report{Entry: "a", Whole: true, List: []TargetLoad{{Target: "t", Load: good}, {Target: "u", Load: good}}}, now)
	bad := []Load{{Moving: -1}, {MovingRuns: -1}, {Incoming: -1}, {Incoming: math.MaxInt}, {Moving: math.MaxInt}, {MovingRuns: maxMoving + 1}}
	for _, l := range bad {
		for _, whole := range []bool{false, true} {
			table.Put(Report{Entry: "a", Whole: whole, List: []TargetLoad{{Target: "t", Load: l}, {Target: "u", Load: good}}}, now)
		}
	}
	got.take(table, now)
	c.Assert(got["t"].Load, qt.Equals, good)
	c.Assert(got["u"].Load, qt.Equals, good)
	c.Assert(table.Dropped(), qt.Equals, uint64(2*len(bad)))
	got.take(table, now.Add(Stale+time.Millisecond))
	c.Assert(got, qt.DeepEquals, view{})
}

// changes returns the differences between two whole lists, sorted by target name.
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
