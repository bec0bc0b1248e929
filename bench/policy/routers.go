package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
)

// placer chooses the engines to offer a call to, the best first. Each column has
// its own implementation.
type placer interface {
	choose(w *world, c *call) []*node
	// sent and ended report calls that were placed and that ended, so that a placer
	// can correct delayed load reports.
	sent(w *world, c *call)
	ended(w *world, c *call)
	refused(w *world, c *call, n *node, retryAfter time.Duration)
	// tick runs at every load report, and when a node crashes or starts to drain.
	tick(w *world)
}

// roundRobin chooses the engines in turn, separately for each entry.
type roundRobin struct{ turn []int }

func (p *roundRobin) choose(w *world, c *call) []*node {
	for len(p.turn) <= c.entry {
		p.turn = append(p.turn, len(p.turn)*3)
	}
	for range w.nodes {
		p.turn[c.entry]++
		n := w.nodes[p.turn[c.entry]%len(w.nodes)]
		if n.open() {
			return []*node{n}
		}
	}
	return nil
}

func (p *roundRobin) sent(*world, *call)                           {}
func (p *roundRobin) ended(*world, *call)                          {}
func (p *roundRobin) refused(*world, *call, *node, time.Duration)  {}
func (p *roundRobin) tick(*world)                                  {}
func (p *leastLagged) refused(*world, *call, *node, time.Duration) {}
func (p *leastLagged) ended(*world, *call)                         {}
func (p *leastLagged) tick(*world)                                 {}
func (p *leastExact) sent(*world, *call)                           {}
func (p *leastExact) ended(*world, *call)                          {}
func (p *leastExact) refused(*world, *call, *node, time.Duration)  {}
func (p *leastExact) tick(*world)                                  {}

// leastLagged chooses the engine with the fewest sequences. It counts those in the
// engine's last load report, which is delayed, those that this entry has sent since
// that report, and the current queue of the gate.
type leastLagged struct {
	// unreported[entry][node] holds the send times of the calls that are not yet in
	// a load report.
	unreported [][][]time.Duration
}

func (p *leastLagged) choose(w *world, c *call) []*node {
	var best *node
	least := 0
	for i := range w.nodes {
		// Start at a different node for each call to distribute ties.
		n := w.nodes[(i+int(c.arrived))%len(w.nodes)]
		if !n.open() {
			continue
		}
		load := p.load(w, c.entry, n)
		if best == nil || load < least {
			best, least = n, load
		}
	}
	if best == nil {
		return nil
	}
	return []*node{best}
}

func (p *leastLagged) load(w *world, entry int, n *node) int {
	r := n.eng.Report(epoch.Add(w.now))
	list := p.list(w, entry, n)
	kept := (*list)[:0]
	for _, at := range *list {
		if !r.At.After(epoch.Add(at)) {
			kept = append(kept, at)
		}
	}
	*list = kept
	return r.Running + r.Waiting + len(kept) + n.gateWaiting()
}

func (p *leastLagged) list(w *world, entry int, n *node) *[]time.Duration {
	for len(p.unreported) <= entry {
		p.unreported = append(p.unreported, make([][]time.Duration, len(w.nodes)))
	}
	return &p.unreported[entry][n.index]
}

func (p *leastLagged) sent(w *world, c *call) {
	list := p.list(w, c.entry, c.node)
	*list = append(*list, w.now)
}

// leastExact chooses the engine with the fewest sequences at the moment, which no
// entry can know. This makes the baseline stronger than it would be in practice.
type leastExact struct{}

func (p *leastExact) choose(w *world, c *call) []*node {
	var best *node
	least := 0
	for i := range w.nodes {
		n := w.nodes[(i+int(c.arrived))%len(w.nodes)]
		if n.open() && (best == nil || len(n.calls) < least) {
			best, least = n, len(n.calls)
		}
	}
	if best == nil {
		return nil
	}
	return []*node{best}
}

// bidPlacer is the product's own routing: each entry asks the targets that its
// routing table suggests for bids and offers the call to the best bidder.
type bidPlacer struct {
	tables  []*routing.Table
	routers []*routing.Router
	rng     *rand.Rand
	buf     []routing.Candidate
	zones   int
}

func newBidPlacer(w *world) *bidPlacer {
	p := &bidPlacer{rng: rand.New(rand.NewPCG(w.seed, 0xb1d)), zones: w.load.zones}
	for range w.load.zones {
		t := routing.NewTable()
		for _, n := range w.nodes {
			t.Announce(routing.Target{
				ID: n.id, Incarnation: 1, Zone: zone(n.index % p.zones), Models: []api.ModelID{"m"},
				Capacity: n.capacity(), Free: n.capacity(), Reported: epoch,
			})
		}
		p.tables = append(p.tables, t)
		p.routers = append(p.routers, routing.NewRouter(t, routing.Options{}))
	}
	return p
}

func zone(i int) api.Zone { return api.Zone("z" + strconv.Itoa(i)) }

func (p *bidPlacer) choose(w *world, c *call) []*node {
	now := epoch.Add(w.now)
	p.buf = p.routers[c.entry].Choose(p.buf[:0], c.query(), now, p.rng)
	var got []routing.Bid
	for _, cand := range p.buf {
		n := w.byID[cand.ID]
		b := routing.Bid{From: cand, Bid: admission.Bid{Refuse: api.ReasonTargetGone}}
		if n.open() {
			b.Bid = n.gate.(*controllerGate).ctl.Bid(c.request(epoch), now)
		}
		if b.Refuse != "" {
			c.refused, c.retryAfter = b.Refuse, b.Bid.RetryAfter
			c.avoid = append(c.avoid, n.id)
		}
		got = append(got, b)
	}
	var out []*node
	for len(got) > 0 {
		i := routing.BestBid(got)
		if i < 0 {
			break
		}
		out = append(out, w.byID[got[i].From.ID])
		got = append(got[:i], got[i+1:]...)
	}
	// The call is offered only to the best bidder; the others release their
	// reservations.
	for _, n := range out[min(1, len(out)):] {
		n.gate.(*controllerGate).ctl.Release(c.id)
	}
	return out[:min(1, len(out))]
}

// query returns the router's view of a call.
func (c *call) query() routing.Query {
	return routing.Query{Model: "m", Zone: zone(c.entry), Prefix: c.prefix, Prompt: c.prompt, Avoid: c.avoid}
}

func (p *bidPlacer) sent(w *world, c *call) {
	p.tables[c.entry].Sent(c.node.id, c.prompt, epoch.Add(w.now))
	p.tables[c.entry].Succeeded(c.node.id)
}

func (p *bidPlacer) ended(w *world, c *call) {
	p.tables[c.entry].Ended(c.node.id, c.prompt, epoch.Add(w.now))
}

// refused does nothing: a target that refuses one request may have room for
// another, and its load report says how crowded it is.
func (p *bidPlacer) refused(*world, *call, *node, time.Duration) {}

func (p *bidPlacer) tick(w *world) {
	now := epoch.Add(w.now)
	for _, n := range w.nodes {
		for _, t := range p.tables {
			if n.dead {
				t.Remove(n.id, 1)
				continue
			}
			if n.leaving {
				t.Leave(n.id, 1)
				continue
			}
			running, waiting, free := n.gate.(*controllerGate).ctl.Counts()
			t.Report(n.id, 1, routing.Load{Running: running, Waiting: waiting, Free: free, Capacity: n.capacity(), Reported: now})
		}
	}
}
