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

func observed(inc api.Incarnation, leaving bool) []Observation {
	return []Observation{{Target: "t", Incarnation: inc, Zone: "lhr-a", Leaving: leaving}}
}

// Each case is a sequence of reports and the target's state after them.
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
		{"reported within the lease", []report{{"a", 0, 1, false}}, lease, Up},
		{"one entry's link is stalled and another's works", []report{{"a", 0, 1, false}, {"b", lease, 1, false}}, lease + time.Second, Up},
		{"no entry reports it", []report{{"a", 0, 1, false}, {"b", 0, 1, false}}, lease + 1, Suspect},
		{"reported again after suspicion", []report{{"a", 0, 1, false}, {"a", 2 * lease, 1, false}}, 2 * lease, Up},
		{"leaving", []report{{"a", 0, 1, true}}, 0, Leaving},
		{"leaving is kept when an entry has not learned of it", []report{{"a", 0, 1, true}, {"b", 1, 1, false}}, 1, Leaving},
		{"restarted after leaving", []report{{"a", 0, 1, true}, {"b", 1, 2, false}}, 1, Up},
		{"late report of an earlier incarnation", []report{{"a", 0, 2, false}, {"b", 1, 1, true}}, 1, Up},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			v := NewView(DefaultLimits())
			for _, r := range tc.reports {
				v.Report(begin.Add(r.at), r.entry, observed(r.inc, r.leaving))
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

// Checks the size expected in two years: 7,400 agents choose 3 of about 320
// entries. Every entry has fewer than 1.5 times the mean number of links, every
// agent has a link inside and one outside its availability zone, and an entry that
// leaves changes the subsets of only those agents that were linked to it.
func TestSubsetSpreadsAndStays(t *testing.T) {
	c := qt.New(t)
	const agents, n = 7400, 3
	entries := entriesIn(9, 36)
	load := map[api.InstanceID]int{}
	gone := entries[17]
	remaining := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e == gone })
	changed, linkedToGone := 0, 0
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
		after := Subset(agent, zone, remaining, n)
		if slices.Contains(got, gone) {
			linkedToGone++
			continue
		}
		if !slices.Equal(got, after) {
			changed++
		}
	}
	mean := float64(agents*n) / float64(len(entries))
	for _, l := range load {
		c.Check(float64(l) < 1.5*mean, qt.IsTrue, qt.Commentf("%d links, mean %.0f", l, mean))
	}
	c.Assert(linkedToGone > 0, qt.IsTrue)
	c.Assert(changed, qt.Equals, 0)
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
	changes := Plan(e[:3], e[2:5], time.Second, rand.New(rand.NewPCG(1, 1)))
	c.Assert(changes, qt.HasLen, 4)
	links := 3
	for _, ch := range changes {
		if ch.Open {
			links++
		} else {
			links--
		}
		c.Check(links >= 3, qt.IsTrue)
	}
	c.Assert(links, qt.Equals, 3)
}
