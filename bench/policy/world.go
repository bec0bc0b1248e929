package main

import (
	"container/heap"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/standin"
)

// Intervals and limits of a run.
const (
	reportEvery     = 200 * time.Millisecond
	stallCheckEvery = time.Second
	// stallPatience is how long a caller waits for the next token.
	stallPatience = 30 * time.Second
	// drain is the time after the last arrival in which answers still count.
	drain = 90 * time.Second
)

// node is one engine and its gate.
type node struct {
	id       api.TargetID
	index    int
	eng      *standin.Engine
	gate     gate
	calls    map[string]*call
	dead     bool
	leaving  bool
	stepping bool
	res      *standin.Result
}

func (n *node) open() bool { return !n.dead && !n.leaving }

func (n *node) capacity() int {
	cfg := n.eng.Config()
	return cfg.Blocks * cfg.BlockTokens
}

// gateWaiting returns the current length of the gate's queue.
func (n *node) gateWaiting() int {
	switch g := n.gate.(type) {
	case *reserve:
		return len(g.queue)
	case *controllerGate:
		_, waiting, _ := g.ctl.Counts()
		return waiting
	}
	return 0
}

// event is a function that runs at a point in virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// world is the state of one simulated run in virtual time.
type world struct {
	load   *workload
	seed   uint64
	now    time.Duration
	events events
	seq    int
	nodes  []*node
	byID   map[api.TargetID]*node
	place  placer
	m      *measures
	// retry simulates what a caller does after a refusal, a timeout or a stall. If
	// it is nil, callers don't retry.
	retry func(c *call, retryAfter time.Duration)
}

// column is one policy of the comparison, shown as a column of the tables.
type column struct {
	name  string
	gate  func(capacity int) gate
	place func(w *world) placer
}

func newWorld(load *workload, seed uint64, col column) *world {
	w := &world{load: load, seed: seed, byID: map[api.TargetID]*node{}, m: newMeasures(len(load.shares))}
	for i := range load.engines {
		cfg := load.engine
		cfg.Seed = seed<<8 + uint64(i)
		n := &node{id: api.TargetID("t" + strconv.Itoa(i)), index: i, eng: standin.NewEngine(cfg), calls: map[string]*call{}}
		n.gate = col.gate(n.capacity())
		w.nodes = append(w.nodes, n)
		w.byID[n.id] = n
	}
	w.place = col.place(w)
	return w
}

func (w *world) at(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: at, seq: w.seq, do: do})
}

// run simulates the calls until end.
func (w *world) run(calls []*call, end time.Duration) {
	for _, c := range calls {
		w.at(c.arrived, func() { w.arrive(c) })
	}
	w.every(reportEvery, end, func() {
		w.place.tick(w)
		w.yield()
	})
	w.every(stallCheckEvery, end, w.abandonStalled)
	for len(w.events) > 0 {
		ev := heap.Pop(&w.events).(event)
		if ev.at > end {
			break
		}
		w.now = ev.at
		ev.do()
	}
	w.now = end
}

func (w *world) every(d, end time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if w.now+d <= end {
			w.at(w.now+d, again)
		}
	}
	w.at(w.now+d, again)
}

func (w *world) arrive(c *call) {
	w.m.offered(c)
	w.at(c.arrived+c.spec.patience, func() {
		if !c.ended && c.delivered == 0 {
			w.abandon(c, "timeout")
		}
	})
	w.dispatch(c)
	if c.timedRetry {
		w.m.timedRetry++
	}
	if c.timedRetry && c.node != nil {
		w.m.timedAccepted++
	}
}

// maxTries is the default limit of attempts to place a request.
const maxTries = 2

// tries returns the limit of attempts to place a request.
func (w *world) tries() int {
	if p, ok := w.place.(*reportsOnly); ok && p.offers > 0 {
		return p.offers
	}
	return maxTries
}

// dispatch offers a call to targets until one accepts it. If none does within the
// limit of attempts, the call ends with the reason of the last refusal.
func (w *world) dispatch(c *call) {
	c.refused, c.retryAfter = api.ReasonNoTarget, 0
	for c.tries = 0; c.tries < w.tries(); c.tries++ {
		chosen := w.place.choose(w, c)
		if len(chosen) == 0 {
			continue
		}
		n := chosen[0]
		c.refused, c.retryAfter = n.gate.offer(c, w.now)
		if c.refused == "" {
			c.node = n
			n.calls[string(c.id)] = c
			w.place.sent(w, c)
			w.advance(n)
			return
		}
		w.place.refused(w, c, n, c.retryAfter)
		c.avoid = append(c.avoid, n.id)
	}
	w.end(c, string(c.refused))
	if w.retry != nil {
		w.retry(c, c.retryAfter)
	}
}

// advance submits the calls that may start to the engine and runs its next step.
func (w *world) advance(n *node) {
	if n.dead {
		return
	}
	for _, s := range n.gate.next(w.now) {
		s.c.started = w.now
		w.m.started(s.c)
		if err := n.eng.Submit(s.c.seq(s.priority)); err != nil {
			panic(err)
		}
	}
	if n.stepping {
		return
	}
	n.res = n.eng.Step(epoch.Add(w.now))
	if n.res.Took == 0 {
		return
	}
	for _, id := range n.res.Preempted {
		w.m.preemptions++
		n.gate.preempted(n.calls[id], w.now)
	}
	w.m.recomputedTokens += n.res.Redone
	n.stepping = true
	w.at(w.now+n.res.Took, func() { w.finishStep(n) })
}

// finishStep delivers the tokens of a step that has ended.
func (w *world) finishStep(n *node) {
	n.stepping = false
	if n.dead {
		return
	}
	for _, t := range n.res.Tokens {
		c, ok := n.calls[t.ID]
		if !ok {
			continue
		}
		w.m.token(c, w.now)
		if t.Last {
			n.gate.done(c, true)
			w.detach(c)
			w.m.completed(c)
			c.ended = true
			continue
		}
		n.gate.progress(c)
	}
	for _, id := range n.res.Failed {
		if c, ok := n.calls[id]; ok {
			n.gate.done(c, false)
			w.detach(c)
			w.end(c, "outgrown")
		}
	}
	w.advance(n)
}

// yield passes the engines' delayed load reports to the product's gates and
// withdraws a call from each engine whose report shows that memory is running out.
func (w *world) yield() {
	for _, n := range w.nodes {
		g, ok := n.gate.(*controllerGate)
		if !ok || n.dead {
			continue
		}
		l := n.eng.Report(epoch.Add(w.now))
		g.report(l, w.now)
		if c := g.yield(l.Free); c != nil {
			n.eng.Cancel(string(c.id), epoch.Add(w.now))
			w.m.yields++
		}
	}
}

// detach removes a call from its node.
func (w *world) detach(c *call) {
	delete(c.node.calls, string(c.id))
	w.place.ended(w, c)
}

// end closes a call that was not completed.
func (w *world) end(c *call, reason string) {
	c.ended = true
	w.m.failed(c, reason)
}

// abandon cancels the stream of a caller that leaves.
func (w *world) abandon(c *call, reason string) {
	n := c.node
	n.gate.cancel(c)
	n.eng.Cancel(string(c.id), epoch.Add(w.now))
	w.detach(c)
	w.m.discardedTokens += c.delivered
	w.end(c, reason)
	w.advance(n)
	if w.retry != nil {
		w.retry(c, 0)
	}
}

// abandonStalled abandons the calls that have received no token for longer than
// stallPatience after an earlier one.
func (w *world) abandonStalled() {
	for _, n := range w.nodes {
		for _, c := range n.sorted() {
			if c.delivered > 0 && w.now-c.last > stallPatience {
				w.m.stallAbandoned(c, w.now)
				w.abandon(c, "stalled")
			}
		}
	}
}

// sorted returns the node's calls in a fixed order.
func (n *node) sorted() []*call {
	out := make([]*call, 0, len(n.calls))
	for _, c := range n.calls {
		out = append(out, c)
	}
	sortCalls(out)
	return out
}

// crash stops an engine. Calls that have delivered tokens end as interrupted; the
// others are known to have delivered nothing and are dispatched again.
func (w *world) crash(n *node) {
	n.dead = true
	w.place.tick(w)
	for _, c := range n.sorted() {
		n.gate.cancel(c)
		w.detach(c)
		if c.delivered > 0 {
			w.m.discardedTokens += c.delivered
			w.end(c, "interrupted")
			continue
		}
		w.redispatch(c)
	}
}

// startDraining lets an engine finish its running calls and dispatches the calls
// in its queue to other engines.
func (w *world) startDraining(n *node) {
	n.leaving = true
	w.place.tick(w)
	for _, c := range n.gate.drainQueue() {
		w.detach(c)
		w.redispatch(c)
	}
}

func (w *world) redispatch(c *call) {
	c.attempt++
	c.node = nil
	w.dispatch(c)
}
