package relay

import (
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	qt "github.com/frankban/quicktest"
)

// manyTargets returns the list of a service with n targets.
func manyTargets(n int) []*Target {
	targets := NewTargets()
	var list []directory.Record
	for i := range n {
		list = append(list, directory.Record{Target: api.TargetID(time.Duration(i).String()), Service: service, Address: time.Duration(i).String(), Zone: "z", Slots: 8, Sequence: 1, State: directory.StateReady, Software: "v1"})
	}
	targets.Update(list)
	return targets.Of(service)
}

// TestChoiceDoesNotGrowWithTheService guards against choices whose cost grows with the number of
// targets: a choice that finds a target, and one that only looks again, compare maxSample of them.
func TestChoiceDoesNotGrowWithTheService(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 30, maxSample, maxSample + 1, 1000, 2000, 7400} {
		list := manyTargets(n)
		compared := 0
		found := choose(list, true, func(part []*Target) int {
			compared += len(part)
			return len(part) - 1
		})
		c.Assert(found, qt.IsNotNil)
		c.Assert(compared, qt.Equals, min(n, maxSample))
		compared = 0
		c.Assert(choose(list, false, func(part []*Target) int {
			compared += len(part)
			return -1
		}), qt.IsNil)
		c.Assert(compared, qt.Equals, min(n, maxSample))
	}
}

// TestThoroughChoiceFindsTheOnlyTarget guards against a request that is refused, or waits, although
// one of many targets could serve it.
func TestThoroughChoiceFindsTheOnlyTarget(t *testing.T) {
	c := qt.New(t)
	list := manyTargets(2000)
	only := list[1234]
	pick := func(part []*Target) int {
		for i, target := range part {
			if target == only {
				return i
			}
		}
		return -1
	}
	for range 50 {
		c.Assert(choose(list, true, pick), qt.Equals, only)
	}
}

// TestSamplesCoverTheService guards against targets that are never chosen.
func TestSamplesCoverTheService(t *testing.T) {
	c := qt.New(t)
	list := manyTargets(1000)
	seen := make(map[*Target]bool)
	for range 200 {
		part := sampleOf(list)
		c.Assert(part, qt.HasLen, maxSample)
		distinct := make(map[*Target]bool)
		for _, target := range part {
			seen[target], distinct[target] = true, true
		}
		c.Assert(distinct, qt.HasLen, maxSample)
	}
	c.Assert(seen, qt.HasLen, len(list))
}
