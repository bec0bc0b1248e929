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

// Targets come, leave, fail, restart and report in random order. Whatever has
// happened, a choice gives no target that is leaving or gone, none in Avoid,
// none twice, and gives one if there is one.
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
				t1 := id(rng.IntN(30))
				switch rng.IntN(7) {
				case 0, 1:
					incs[t1]++
					tb.Announce(Target{ID: t1, Incarnation: incs[t1], Zone: zones[rng.IntN(3)], Models: []api.ModelID{model}, Reported: now})
					usable[t1] = true
				case 2:
					tb.Leave(t1, incs[t1])
					delete(usable, t1)
				case 3:
					tb.Remove(t1, incs[t1])
					delete(usable, t1)
				case 4:
					tb.Failed(t1, time.Duration(rng.IntN(5000))*time.Millisecond, now, rng)
				case 5:
					tb.Report(t1, incs[t1], Load{Running: rng.IntN(50), Reported: now})
				case 6:
					tb.Sent(t1, rng.IntN(1000), now)
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
// target; the bound must spread them while most stay on few targets.
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

// With room everywhere, one prefix leads to one target from every entry, and
// the loss of another target moves no prefix of this one.
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

// Entries that don't hear of each other place requests between two reports of
// 200 targets. A choice of few sampled targets must keep the fullest one near
// the mean, where always taking the least loaded sends all to the same one.
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
		c.Assert(most <= 15, qt.IsTrue, qt.Commentf("seed %d: the fullest target has %d of a mean of 5", seed, most))
	}
}

// Writers change targets while readers choose; run under the race detector. A
// sum of loads that drifted from the targets' own would move the bound for good.
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
			sum += p.t.counted.Load()
		}
	}
	c.Assert(g.load.sum.Load(), qt.Equals, sum)
	c.Assert(tb.View().Size(Query{Model: model}), qt.Equals, tb.Len())
}
