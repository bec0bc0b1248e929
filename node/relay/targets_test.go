package relay

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	qt "github.com/frankban/quicktest"
)

// TestListsAreThoseOfAllRecords guards against lists that diverge from the records from which
// they are updated: requests would go to targets that are gone, or never reach others.
func TestListsAreThoseOfAllRecords(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 3))
	targets := NewTargets()
	services := []api.ServiceID{"r", "s"}
	want := map[api.TargetID]directory.Record{}
	for range 3000 {
		var list []directory.Record
		for range 1 + rng.IntN(4) {
			r := directory.Record{
				Target: api.TargetID(fmt.Sprint(rng.IntN(8))), Service: services[rng.IntN(2)], Address: fmt.Sprint(rng.IntN(3)),
				Born: int64(rng.IntN(3)), State: []directory.State{directory.StateReady, directory.StateLeaving, directory.StateGone}[rng.IntN(3)],
			}
			list = append(list, r)
			want[r.Target] = r
			if r.State == directory.StateGone {
				delete(want, r.Target)
			}
		}
		targets.Update(list)
		seen := 0
		for _, service := range services {
			for _, target := range targets.Of(service) {
				r, ok := want[target.Target]
				c.Assert(ok, qt.IsTrue)
				c.Assert(target.Service, qt.Equals, r.Service)
				c.Assert(target.Address, qt.Equals, r.Address)
				seen++
			}
		}
		c.Assert(seen, qt.Equals, len(want))
		c.Assert(targets.Len(), qt.Equals, len(want))
	}
}

// TestChangedLoadsComeToTheWhole guards against an unreported change of load, because of which
// other entries would keep a wrong load of this one for ever.
func TestChangedLoadsComeToTheWhole(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(2, 3))
	targets := NewTargets()
	var records []directory.Record
	for i := range 5 {
		records = append(records, directory.Record{Target: api.TargetID(fmt.Sprint(i)), Service: service, Address: fmt.Sprint(i), State: directory.StateReady})
	}
	targets.Update(records)
	merged := fleetload.Report{Whole: true}
	for range 2000 {
		target := targets.Of(service)[rng.IntN(5)]
		switch rng.IntN(4) {
		case 0:
			target.addRequest(10, 5)
		case 1:
			target.removeUnread(1)
		case 2:
			target.addTokens(3)
		default:
			target.addUnbacked(1, 7)
		}
		if rng.IntN(3) == 0 {
			merged = merged.Merge(fleetload.Report{List: targets.ChangedLoads()})
			c.Assert(merged.List, qt.DeepEquals, targets.Loads())
		}
	}
}

// BenchmarkUpdate measures the removal and addition of one target among n, in ns/op.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets := NewTargets()
			record := func(i int, s directory.State) directory.Record {
				return directory.Record{Target: api.TargetID(fmt.Sprint("i-", i)), Service: service, Address: fmt.Sprint(i), State: s}
			}
			for i := range n {
				targets.Update([]directory.Record{record(i, directory.StateReady)})
			}
			for i := 0; b.Loop(); i++ {
				targets.Update([]directory.Record{record(i%n, directory.StateGone)})
				targets.Update([]directory.Record{record(i%n, directory.StateReady)})
			}
		})
	}
}

// TestDeadlinesOutlastAStepOfTheClock guards against a deadline that is stored as a time of day: a
// step of the clock would end a backoff early, or extend an exclusion.
func TestDeadlinesOutlastAStepOfTheClock(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("*.go")
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		for _, name := range []string{"UnixNano()", "UnixMilli()", "time.Unix(", ".Round(0)"} {
			c.Check(strings.Contains(string(text), name), qt.IsFalse, qt.Commentf("%s in %s drops the monotonic clock reading", name, f))
		}
	}
	// A deadline is kept with the monotonic clock reading, so that it is not affected.
	target := &Target{}
	target.enterBackoff(time.Hour)
	c.Assert(target.state().BackoffUntil.String(), qt.Contains, " m=+")
}
