package main

import (
	"fmt"
	"slices"

	"almondseam.dev/core/routing"
)

// placementPolicies returns policies that place requests in front of the same
// gates, so that they differ only in who decides and with what knowledge. The last
// one is the product's own.
func placementPolicies() []column {
	reports := func(every int) func(w *world) placer {
		return func(w *world) placer { return &reportsOnly{bidPlacer: newBidPlacer(w), every: every} }
	}
	asking := func(n int) func(w *world) placer {
		return func(w *world) placer {
			p := newBidPlacer(w)
			for i, t := range p.tables {
				p.routers[i] = routing.NewRouter(t, routing.Options{Ask: n})
			}
			return p
		}
	}
	return []column{
		{"central", controllerGateFromFlags, func(w *world) placer { return &central{newBidPlacer(w)} }},
		{"reports 0.2 s", controllerGateFromFlags, reports(1)},
		{"reports 1 s", controllerGateFromFlags, reports(5)},
		{"reports 5 s", controllerGateFromFlags, reports(25)},
		{"reports 0.2 s, 4 offers", controllerGateFromFlags, func(w *world) placer { return &reportsOnly{bidPlacer: newBidPlacer(w), every: 1, offers: 4} }},
		{"1 bid", controllerGateFromFlags, asking(1)},
		{"3 bids", controllerGateFromFlags, asking(3)},
		{"2 bids, reports 5 s", controllerGateFromFlags, func(w *world) placer { return &slowReports{bidPlacer: newBidPlacer(w), every: 25} }},
		{"2 bids", controllerGateFromFlags, func(w *world) placer { return newBidPlacer(w) }},
	}
}

// reportsOnly offers a request to the router's first choice without asking for a
// bid. It knows the targets only by their load reports.
type reportsOnly struct {
	*bidPlacer
	every, ticks int
	// offers is the number of targets that a request is offered to; 0 means
	// maxTries, as in the other policies. A policy with two bids asks two targets
	// for each offer, so it reaches twice as many targets.
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

func (p *reportsOnly) tick(w *world) { forwardEveryNth(p.bidPlacer, w, &p.ticks, p.every) }

// slowReports is the product's own routing with less frequent load reports.
type slowReports struct {
	*bidPlacer
	every, ticks int
}

func (p *slowReports) tick(w *world) { forwardEveryNth(p.bidPlacer, w, &p.ticks, p.every) }

// forwardEveryNth forwards every n-th load report to the tables, but always
// forwards that a node has crashed or is draining.
func forwardEveryNth(p *bidPlacer, w *world, ticks *int, n int) {
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

// central asks every open target for a bid, as a placer could that knows all
// targets without delay. This is the best result that bids can give and needs more
// knowledge than an entry can have.
type central struct{ *bidPlacer }

func (p *central) choose(w *world, c *call) []*node {
	var got []routing.Bid
	for _, n := range w.nodes {
		if !n.open() {
			continue
		}
		running, waiting, _ := n.gate.(*controllerGate).ctl.Counts()
		b := routing.Bid{From: routing.Candidate{ID: n.id, Own: true, Score: float64(running + waiting)}}
		b.Bid = n.gate.(*controllerGate).ctl.Bid(c.request(epoch), epoch.Add(w.now))
		if b.Refuse != "" {
			c.refused, c.retryAfter = b.Refuse, b.RetryAfter
		}
		got = append(got, b)
	}
	best := routing.BestBid(got)
	for i, b := range got {
		if i != best {
			w.byID[b.From.ID].gate.(*controllerGate).ctl.Release(c.id)
		}
	}
	if best < 0 {
		return nil
	}
	return []*node{w.byID[got[best].From.ID]}
}

// comparePlacements prints the comparison of the placement policies for one
// workload and load.
func comparePlacements(load *workload, names []string, loadFraction, capacity float64, seeds, workers int) {
	cols := slices.DeleteFunc(placementPolicies(), func(c column) bool {
		return len(names) > 0 && !slices.Contains(names, c.name)
	})
	all := runColumns(load, cols, loadFraction, capacity, seeds, workers)
	fmt.Printf("\n### Placing, %s at %.1f of capacity, %d seeds: median (worst)\n\n", load.name, loadFraction, seeds)
	printTable(load, cols, all)
	printWins(load, cols, all)
}

// printWins prints, for each other column, in how many of the seeds whose results
// differ the last column is better. With few seeds this says more than medians that lie close together.
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
				if own != other && own > other == r.higherIsBetter {
					better++
				}
			}
			fmt.Printf(" %s %d/%d;", cols[i].name, better, differ)
		}
		fmt.Println()
	}
}
