package main

import (
	"fmt"
	"slices"

	"almondseam.dev/core/routing"
)

// placementWays are ways to place requests before the same gates, so that they
// differ in nothing but who decides with what knowledge. The last is the
// product's own.
func placementWays() []column {
	reports := func(every int) func(w *world) placer {
		return func(w *world) placer { return &reportsOnly{bids: newBids(w), every: every} }
	}
	asking := func(n int) func(w *world) placer {
		return func(w *world) placer {
			p := newBids(w)
			for i, t := range p.tables {
				p.routers[i] = routing.NewRouter(t, routing.Options{Ask: n})
			}
			return p
		}
	}
	return []column{
		{"central", ownGate, func(w *world) placer { return &central{newBids(w)} }},
		{"reports 0.2 s", ownGate, reports(1)},
		{"reports 1 s", ownGate, reports(5)},
		{"reports 5 s", ownGate, reports(25)},
		{"reports 0.2 s, 4 offers", ownGate, func(w *world) placer { return &reportsOnly{bids: newBids(w), every: 1, offers: 4} }},
		{"1 bid", ownGate, asking(1)},
		{"3 bids", ownGate, asking(3)},
		{"2 bids, reports 5 s", ownGate, func(w *world) placer { return &slowReports{bids: newBids(w), every: 25} }},
		{"2 bids", ownGate, func(w *world) placer { return newBids(w) }},
	}
}

// reportsOnly offers to the router's first choice without asking for a bid; it
// knows the targets by their reports alone.
type reportsOnly struct {
	*bids
	every, ticks int
	// offers is the number of targets that a request is offered to; 0 is that
	// of the other ways, of which those with two bids ask twice as many.
	offers int
}

func (p *reportsOnly) choose(w *world, c *call) []*node {
	now := epoch.Add(w.now)
	p.buf = p.routers[c.entry].Choose(p.buf[:0], c.query(), now, p.rng)
	for _, cand := range p.buf {
		if n := w.byID[cand.ID]; n.open() {
			return []*node{n}
		}
	}
	return nil
}

func (p *reportsOnly) tick(w *world) { everyNth(p.bids, w, &p.ticks, p.every) }

// slowReports is the product's own placing with rarer reports.
type slowReports struct {
	*bids
	every, ticks int
}

func (p *slowReports) tick(w *world) { everyNth(p.bids, w, &p.ticks, p.every) }

// everyNth passes on every n-th report, and all of what came and went.
func everyNth(p *bids, w *world, ticks *int, n int) {
	*ticks++
	if *ticks%n == 0 {
		p.tick(w)
		return
	}
	for _, nd := range w.nodes {
		for _, t := range p.tables {
			if nd.dead {
				t.Remove(nd.id, 1)
			} else if nd.leaving {
				t.Leave(nd.id, 1)
			}
		}
	}
}

// central asks every target at once, as a placer could that knows all of them
// without lag: the best that bids can give, and more than an entry can know.
type central struct{ *bids }

func (p *central) choose(w *world, c *call) []*node {
	var got []routing.Bid
	for _, n := range w.nodes {
		if !n.open() {
			continue
		}
		running, waiting, _ := n.gate.(*ours).ctl.Counts()
		b := routing.Bid{From: routing.Candidate{ID: n.id, Own: true, Score: float64(running + waiting)}}
		b.Bid = n.gate.(*ours).ctl.Bid(c.request(epoch), epoch.Add(w.now))
		if b.Refuse != "" {
			c.refused, c.retryAfter = b.Refuse, b.RetryAfter
		}
		got = append(got, b)
	}
	best := routing.BestBid(got)
	for i, b := range got {
		if i != best {
			w.byID[b.From.ID].gate.(*ours).ctl.Release(c.id)
		}
	}
	if best < 0 {
		return nil
	}
	return []*node{w.byID[got[best].From.ID]}
}

// measureWays prints the ways to place for one workload and load.
func measureWays(load *workload, names []string, part, capacity float64, seeds, workers int) {
	cols := slices.DeleteFunc(placementWays(), func(c column) bool {
		return len(names) > 0 && !slices.Contains(names, c.name)
	})
	all := runColumns(load, cols, part, capacity, seeds, workers)
	fmt.Printf("\n### Placing, %s at %.1f of capacity, %d seeds: median (worst)\n\n", load.name, part, seeds)
	printTable(load, cols, all)
	printWins(load, cols, all)
}

// printWins tells in how many seeds the last column is better than each other:
// with few seeds that says more than medians that lie close together.
func printWins(load *workload, cols []column, all [][]*measures) {
	last := len(cols) - 1
	fmt.Printf("\n%s is better (of the seeds in which the two differ):\n", cols[last].name)
	for _, r := range rows(load) {
		fmt.Printf("- %s:", r.name)
		for i := range last {
			better, differ := 0, 0
			for s := range all[i] {
				own, other := r.of(all[last][s]), r.of(all[i][s])
				if own != other {
					differ++
				}
				if own != other && own > other == r.more {
					better++
				}
			}
			fmt.Printf(" %s %d/%d;", cols[i].name, better, differ)
		}
		fmt.Println()
	}
}
