package main

import (
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
	"almondseam.dev/node/standin"
)

// epoch is the virtual time's zero.
var epoch = time.Unix(1_700_000_000, 0)

// gate stands before one engine and says when a call is given to it.
type gate interface {
	// offer takes a call or gives the reason why not.
	offer(c *call, now time.Duration) (api.Reason, time.Duration)
	// next returns the calls to start now with their engine priorities.
	next(now time.Duration) []started
	progress(c *call)
	// done ends a call that ran; whole tells that its answer is complete.
	done(c *call, whole bool)
	// cancel takes a call away that waits or runs.
	cancel(c *call)
	preempted(c *call, now time.Duration)
	// handBack empties the queue of a target that leaves.
	handBack() []*call
}

type started struct {
	c        *call
	priority int
}

// direct gives every call to the engine at once.
type direct struct{ fresh []started }

func (g *direct) offer(c *call, _ time.Duration) (api.Reason, time.Duration) {
	g.fresh = append(g.fresh, started{c: c})
	return "", 0
}

func (g *direct) next(time.Duration) []started {
	out := g.fresh
	g.fresh = nil
	return out
}

func (g *direct) progress(*call)                 {}
func (g *direct) done(*call, bool)               {}
func (g *direct) cancel(*call)                   {}
func (g *direct) preempted(*call, time.Duration) {}
func (g *direct) handBack() []*call              { return nil }

// reserve starts calls in order of arrival while the sum of what each may come
// to fits: prompt and max_tokens, or with oracle the true length, which no
// system knows and which serves to measure capacity.
type reserve struct {
	capacity int
	oracle   bool
	queue    []*call
	held     int
	running  map[*call]int
	prefixes map[uint64]int
}

func newReserve(capacity int, oracle bool) *reserve {
	return &reserve{capacity: capacity, oracle: oracle, running: map[*call]int{}, prefixes: map[uint64]int{}}
}

func (g *reserve) need(c *call) int {
	if g.oracle {
		return c.prompt - c.spec.prefix + c.output + 16
	}
	return c.prompt - c.spec.prefix + c.spec.maxTokens + 16
}

func (g *reserve) offer(c *call, _ time.Duration) (api.Reason, time.Duration) {
	g.queue = append(g.queue, c)
	return "", 0
}

func (g *reserve) next(time.Duration) []started {
	var out []started
	for len(g.queue) > 0 {
		c := g.queue[0]
		need := g.need(c)
		if g.prefixes[c.prefix] == 0 {
			need += c.spec.prefix
		}
		if g.held+need > g.capacity && len(g.running) > 0 {
			break
		}
		g.queue = g.queue[1:]
		g.held += need
		g.prefixes[c.prefix]++
		g.running[c] = g.need(c)
		out = append(out, started{c: c})
	}
	return out
}

func (g *reserve) progress(*call)                 {}
func (g *reserve) preempted(*call, time.Duration) {}

func (g *reserve) done(c *call, _ bool) { g.cancel(c) }

func (g *reserve) cancel(c *call) {
	need, ok := g.running[c]
	if !ok {
		for i, o := range g.queue {
			if o == c {
				g.queue = append(g.queue[:i], g.queue[i+1:]...)
				return
			}
		}
		return
	}
	delete(g.running, c)
	g.held -= need
	g.prefixes[c.prefix]--
	if g.prefixes[c.prefix] == 0 {
		g.held -= c.spec.prefix
	}
}

func (g *reserve) handBack() []*call {
	out := g.queue
	g.queue = nil
	return out
}

// ours is the product's own controller.
type ours struct {
	ctl     *admission.Controller
	lengths *estimate.Estimator
	calls   map[api.RequestID]*call
	// waiting are the calls accepted and not yet started.
	waiting map[api.RequestID]*call
	order   []*call
	// seen is the preemptions of the last report.
	seen int
}

func newOurs(cfg admission.Config) *ours {
	e := estimate.New(estimate.Config{})
	return &ours{
		ctl: admission.New(cfg, e), lengths: e,
		calls: map[api.RequestID]*call{}, waiting: map[api.RequestID]*call{},
	}
}

func (g *ours) key(c *call) estimate.Key {
	return estimate.Key{Customer: customerID(c.customer), Model: "m", Kind: c.spec.name}
}

func (g *ours) offer(c *call, now time.Duration) (api.Reason, time.Duration) {
	v := g.ctl.Offer(c.request(epoch), epoch.Add(now))
	if !v.Queued {
		return v.Refuse, v.RetryAfter
	}
	c.waitSaid = v.Wait
	c.offered = now
	c.bound90 = g.lengths.Curve(g.key(c)).Quantile(0, 0.9)
	g.calls[c.id] = c
	g.waiting[c.id] = c
	g.order = append(g.order, c)
	return "", 0
}

func (g *ours) next(now time.Duration) []started {
	var out []started
	for _, s := range g.ctl.Next(epoch.Add(now)) {
		c := g.calls[s.ID]
		delete(g.waiting, s.ID)
		out = append(out, started{c: c, priority: s.Priority})
	}
	return out
}

func (g *ours) progress(c *call) {
	if c.delivered == 100 {
		c.bound100 = 100 + g.lengths.Curve(g.key(c)).Quantile(100, 0.9)
	}
	g.ctl.Progress(c.id, c.attempt, c.delivered, epoch.Add(c.last))
}

func (g *ours) done(c *call, whole bool) {
	if whole {
		g.ctl.Done(c.id, c.attempt, c.delivered, epoch)
	} else {
		g.ctl.Failed(c.id, c.attempt)
	}
	delete(g.calls, c.id)
}

func (g *ours) cancel(c *call) {
	g.ctl.Cancel(c.id, c.attempt, epoch)
	delete(g.calls, c.id)
	delete(g.waiting, c.id)
}

// preempted does nothing: an engine doesn't say whose memory it took. The agent
// sees the count in the late report; see report.
func (g *ours) preempted(*call, time.Duration) {}

// report takes an engine's late report.
func (g *ours) report(l standin.Load, now time.Duration) {
	for ; g.seen < l.Preemptions; g.seen++ {
		g.ctl.Preempted("", 0, epoch.Add(now))
	}
}

// yield gives the call that makes room when the engine's report shows that its
// memory is about to run out; it waits again.
func (g *ours) yield(free int) *call {
	id, ok := g.ctl.Yield(free)
	if !ok {
		return nil
	}
	c := g.calls[id]
	g.waiting[id] = c
	g.order = append(g.order, c)
	return c
}

func (g *ours) handBack() []*call {
	var out []*call
	for _, c := range g.order {
		if g.waiting[c.id] == c {
			g.cancel(c)
			out = append(out, c)
		}
	}
	g.order = nil
	return out
}
