package routing

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// Targets are announced, leave, fail, restart and report in random order. After
// any sequence of events, Choose must return no target that is leaving, removed
// or in Avoid, none twice, and at least one if a usable target exists.
func TestChoiceProperties(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			rng := rnd(seed)
			tb := NewTable()
			r := NewRouter(tb, Options{})
			incs := make(map[api.TargetID]api.Incarnation)
			usable := make(map[api.TargetID]bool)
			now := t0
			for range 400 {
				now = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
				target := id(rng.IntN(30))
				switch rng.IntN(7) {
				case 0, 1:
					incs[target]++
					tb.Announce(Target{ID: target, Incarnation: incs[target], Zone: zones[rng.IntN(3)], Models: []api.ModelID{model}, Reported: now})
					usable[target] = true
				case 2:
					tb.Leave(target, incs[target])
					delete(usable, target)
				case 3:
					tb.Remove(target, incs[target])
					delete(usable, target)
				case 4:
					tb.Failed(target, time.Duration(rng.IntN(5000))*time.Millisecond, now, rng)
				case 5:
					tb.Report(target, incs[target], Load{Running: rng.IntN(50), Reported: now})
				case 6:
					tb.Sent(target, rng.IntN(1000), now)
				}
				q := Query{Model: model, Zone: zones[rng.IntN(3)], Prefix: rng.Uint64() * uint64(rng.IntN(2))}
				left := len(usable)
				for range rng.IntN(4) {
					a := id(rng.IntN(30))
					if usable[a] && !slices.Contains(q.Avoid, a) {
						left--
					}
					q.Avoid = append(q.Avoid, a)
				}
				got := ids(r.Choose(nil, q, now, rng))
				for _, g := range got {
					c.Assert(usable[g], qt.IsTrue, qt.Commentf("%s is gone", g))
					c.Assert(q.Avoid, qt.Not(qt.Contains), g)
				}
				c.Assert(len(got) > 0, qt.Equals, left > 0)
				c.Assert(len(got) < 2 || got[0] != got[1], qt.IsTrue)
			}
		})
	}
}

// All requests share one prefix. Hashing alone would send them all to one
// target; the bound must limit the share of each target.
func TestBoundedLoad(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		tb := fleet(8, zones[:1], 0)
		r := NewRouter(tb, Options{})
		rng := rnd(seed)
		now := t0
		prefix := rng.Uint64()
		counts := make(map[api.TargetID]int)
		for range 400 {
			now = now.Add(time.Millisecond)
			got := r.Choose(nil, Query{Model: model, Zone: zones[0], Prefix: prefix}, now, rng)[0]
			tb.Sent(got.ID, 1, now)
			counts[got.ID]++
		}
		for target, n := range counts {
			c.Assert(n <= 400/8*5/4+2, qt.IsTrue, qt.Commentf("seed %d: %s got %d of 400", seed, target, n))
		}
	}
}

// With free capacity everywhere, a prefix always leads to the same target, and
// the removal of one target must not move the prefixes of the others.
func TestPrefixAffinityIsStable(t *testing.T) {
	c := qt.New(t)
	tb := fleet(20, zones[:1], 3)
	r := NewRouter(tb, Options{})
	where := func(prefix uint64) api.TargetID {
		return r.Choose(nil, Query{Model: model, Zone: zones[0], Prefix: prefix}, t0, rnd(prefix))[0].ID
	}
	before := make(map[uint64]api.TargetID)
	for p := range uint64(500) {
		before[p+1] = where(p + 1)
		c.Assert(where(p+1), qt.Equals, before[p+1])
	}
	tb.Remove(id(7), 1)
	for p, target := range before {
		if target != id(7) {
			c.Assert(where(p), qt.Equals, target)
		}
	}
}

// Guards against entries that all choose the same least loaded target. Ten entries
// that do not know of each other place requests on 200 targets between two load
// reports. Choosing from a small random sample must keep the most loaded target
// near the mean.
func TestChoicesSpread(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		rng := rnd(seed)
		var tables []*Table
		var routers []*Router
		for range 10 {
			tables = append(tables, fleet(200, zones[:1], 0))
			routers = append(routers, NewRouter(tables[len(tables)-1], Options{}))
		}
		counts := make(map[api.TargetID]int)
		for i := range 1000 {
			got := routers[i%10].Choose(nil, Query{Model: model, Zone: zones[0]}, t0, rng)[0]
			tables[i%10].Sent(got.ID, 1, t0)
			counts[got.ID]++
		}
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		c.Assert(most <= 15, qt.IsTrue, qt.Commentf("seed %d: the most loaded target has %d requests, the mean is 5", seed, most))
	}
}

// Changes targets while choosing, for the race detector. Also guards against a
// group's sum of loads that drifts from the loads of its targets, which would
// shift the affinity bound permanently.
func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	tb := fleet(60, zones, 2)
	r := NewRouter(tb, Options{})
	var wg sync.WaitGroup
	for w := range uint64(4) {
		wg.Go(func() {
			rng := rnd(w)
			for i := range 2000 {
				now := t0.Add(time.Duration(i) * time.Millisecond)
				for _, got := range r.Choose(nil, Query{Model: model, Zone: zones[0], Prefix: rng.Uint64()}, now, rng) {
					tb.Sent(got.ID, 10, now)
					tb.Ended(got.ID, 10, now)
				}
				switch target := id(rng.IntN(60)); rng.IntN(3) {
				case 0:
					tb.Report(target, 1, Load{Running: rng.IntN(9), Reported: now})
				case 1:
					tb.Failed(target, 0, now, rng)
				case 2:
					tb.Remove(target, 1)
					tb.Announce(Target{ID: target, Incarnation: 1, Zone: zones[rng.IntN(3)], Models: []api.ModelID{model}, Reported: now})
				}
			}
		})
	}
	wg.Wait()
	tb.Announce(Target{ID: "last", Incarnation: 1, Zone: zones[0], Models: []api.ModelID{model}})
	g := tb.View().models[model]
	var sum int64
	for _, z := range g.zones {
		for _, p := range z.points {
			sum += p.t.contribution.Load()
		}
	}
	c.Assert(g.load.sum.Load(), qt.Equals, sum)
	c.Assert(tb.View().Size(Query{Model: model}), qt.Equals, tb.Len())
}
