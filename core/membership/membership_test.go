package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

var begin = time.Unix(1000, 0)

func seen(inc api.Incarnation, leaving bool) []Observation {
	return []Observation{{Target: "t", Incarnation: inc, Zone: "lhr-a", Leaving: leaving}}
}

// Each case is a course of reports and what the fleet believes at its end.
func TestTargetState(t *testing.T) {
	lease := DefaultLimits().Lease
	type report struct {
		entry   api.InstanceID
		at      time.Duration
		inc     api.Incarnation
		leaving bool
	}
	for _, tc := range []struct {
		name    string
		reports []report
		at      time.Duration
		want    State
	}{
		{"seen lately", []report{{"a", 0, 1, false}}, lease, Up},
		{"one entry's link stalled, another's works", []report{{"a", 0, 1, false}, {"b", lease, 1, false}}, lease + time.Second, Up},
		{"nobody sees it", []report{{"a", 0, 1, false}, {"b", 0, 1, false}}, lease + 1, Suspect},
		{"back after suspicion", []report{{"a", 0, 1, false}, {"a", 2 * lease, 1, false}}, 2 * lease, Up},
		{"leaving", []report{{"a", 0, 1, true}}, 0, Leaving},
		{"leaving isn't taken back by an entry that hasn't heard", []report{{"a", 0, 1, true}, {"b", 1, 1, false}}, 1, Leaving},
		{"restarted after leaving", []report{{"a", 0, 1, true}, {"b", 1, 2, false}}, 1, Up},
		{"a dead incarnation's late report", []report{{"a", 0, 2, false}, {"b", 1, 1, true}}, 1, Up},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			v := NewView(DefaultLimits())
			for _, r := range tc.reports {
				v.Report(begin.Add(r.at), r.entry, seen(r.inc, r.leaving))
			}
			got := v.Targets(begin.Add(tc.at))
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].State, qt.Equals, tc.want)
		})
	}
}

func TestViewIsBoundedAndForgets(t *testing.T) {
	c := qt.New(t)
	l := DefaultLimits()
	l.MaxTargets = 1
	v := NewView(l)
	v.Report(begin, "a", []Observation{{Target: "t1"}, {Target: "t2"}})
	c.Assert(v.Targets(begin), qt.HasLen, 1)
	c.Assert(v.Targets(begin.Add(l.Forget+1)), qt.HasLen, 0)
}

func entriesIn(zones, perZone int) []Entry {
	var out []Entry
	for i := range zones * perZone {
		out = append(out, Entry{api.InstanceID(fmt.Sprint("e", i)), api.Zone(fmt.Sprint("z", i%zones))})
	}
	return out
}

// At the two-year size: 7,400 agents choose 3 of 320 entries. No entry carries
// more than half as much again as the mean, every agent has a link inside and
// one outside its zone, and an entry that goes moves only its own links.
func TestSubsetSpreadsAndStays(t *testing.T) {
	c := qt.New(t)
	const agents, n = 7400, 3
	entries := entriesIn(9, 36)
	load := map[api.InstanceID]int{}
	gone := entries[17]
	left := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e == gone })
	moved, held := 0, 0
	for i := range agents {
		agent, zone := api.TargetID(fmt.Sprint("t", i)), api.Zone(fmt.Sprint("z", i%9))
		got := Subset(agent, zone, entries, n)
		c.Assert(got, qt.HasLen, n)
		c.Assert(slices.ContainsFunc(got, inZone(zone, true)), qt.IsTrue)
		c.Assert(slices.ContainsFunc(got, inZone(zone, false)), qt.IsTrue)
		for _, e := range got {
			load[e.Instance]++
		}
		if i%8 != 0 {
			continue
		}
		after := Subset(agent, zone, left, n)
		if slices.Contains(got, gone) {
			held++
			continue
		}
		if !slices.Equal(got, after) {
			moved++
		}
	}
	mean := float64(agents*n) / float64(len(entries))
	for _, l := range load {
		c.Check(float64(l) < 1.5*mean, qt.IsTrue, qt.Commentf("%d links, mean %.0f", l, mean))
	}
	c.Assert(held > 0, qt.IsTrue)
	c.Assert(moved, qt.Equals, 0)
}

func TestSubsetOfFewEntries(t *testing.T) {
	c := qt.New(t)
	entries := entriesIn(1, 2)
	c.Assert(Subset("t", "z0", entries, 5), qt.HasLen, 2)
	c.Assert(Subset("t", "elsewhere", entries, 1), qt.HasLen, 1)
	c.Assert(Subset("t", "z0", nil, 3), qt.HasLen, 0)
}

func TestPlanOpensBeforeItCloses(t *testing.T) {
	c := qt.New(t)
	e := entriesIn(2, 4)
	moves := Plan(e[:3], e[2:5], time.Second, rand.New(rand.NewPCG(1, 1)))
	c.Assert(moves, qt.HasLen, 4)
	links := 3
	for _, m := range moves {
		if m.Open {
			links++
		} else {
			links--
		}
		c.Check(links >= 3, qt.IsTrue)
	}
	c.Assert(links, qt.Equals, 3)
}
