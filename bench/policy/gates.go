package main

import (
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
	"almondseam.dev/node/standin"
)

// epoch is the zero of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// gate controls admission to one engine: it accepts or refuses calls and decides
// when each accepted call starts.
type gate interface {
	// offer accepts a call and returns an empty reason, or returns the reason for
	// the refusal and the time after which the caller may retry.
	offer(c *call, now time.Duration) (api.Reason, time.Duration)
	// next returns the calls to start now, with their engine priorities.
	next(now time.Duration) []started
	progress(c *call)
	// done ends a call that ran; whole reports whether its answer is complete.
	done(c *call, whole bool)
	// cancel removes a waiting or running call.
	cancel(c *call)
	preempted(c *call, now time.Duration)
	// drainQueue removes and returns the calls that wait at a draining target.
	drainQueue() []*call
}

type started struct {
	c        *call
	priority int
}

// passthrough starts every call at the engine immediately.
type passthrough struct{ pending []started }

func (g *passthrough) offer(c *call, _ time.Duration) (api.Reason, time.Duration) {
	g.pending = append(g.pending, started{c: c})
	return "", 0
}

func (g *passthrough) next(time.Duration) []started {
	out := g.pending
	g.pending = nil
	return out
}

func (g *passthrough) progress(*call)                 {}
func (g *passthrough) done(*call, bool)               {}
func (g *passthrough) cancel(*call)                   {}
func (g *passthrough) preempted(*call, time.Duration) {}
func (g *passthrough) drainQueue() []*call            { return nil }

// reserve starts calls in order of arrival while the sum of their memory
// reservations fits. A reservation covers the prompt and max_tokens or, with
// oracle, the prompt and the true output length, which no real system knows; it
// serves to measure capacity. If no call runs, the next one always starts.
type reserve struct {
	capacity       int
	oracle         bool
	queue          []*call
	reservedTokens int
	running        map[*call]int
	prefixes       map[uint64]int
}

func newReserve(capacity int, oracle bool) *reserve {
	return &reserve{capacity: capacity, oracle: oracle, running: map[*call]int{}, prefixes: map[uint64]int{}}
}

func (g *reserve) requiredTokens(c *call) int {
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
		requiredTokens := g.requiredTokens(c)
		if g.prefixes[c.prefix] == 0 {
			requiredTokens += c.spec.prefix
		}
		if g.reservedTokens+requiredTokens > g.capacity && len(g.running) > 0 {
			break
		}
		g.queue = g.queue[1:]
		g.reservedTokens += requiredTokens
		g.prefixes[c.prefix]++
		g.running[c] = g.requiredTokens(c)
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
	g.reservedTokens -= need
	g.prefixes[c.prefix]--
	if g.prefixes[c.prefix] == 0 {
		g.reservedTokens -= c.spec.prefix
	}
}

func (g *reserve) drainQueue() []*call {
	out := g.queue
	g.queue = nil
	return out
}

// controllerGate is the gate that runs the product's own admission controller.
type controllerGate struct {
	ctl       *admission.Controller
	estimator *estimate.Estimator
	calls     map[api.RequestID]*call
	// waiting holds the accepted calls that have not started yet.
	waiting map[api.RequestID]*call
	order   []*call
	// reportedPreemptions is the engine's preemption count as of the last report.
	reportedPreemptions int
}

func newControllerGate(cfg admission.Config) *controllerGate {
	e := estimate.New(estimate.Config{})
	return &controllerGate{
		ctl: admission.New(cfg, e), estimator: e,
		calls: map[api.RequestID]*call{}, waiting: map[api.RequestID]*call{},
	}
}

func (g *controllerGate) key(c *call) estimate.Key {
	return estimate.Key{Customer: customerID(c.customer), Model: "m", Kind: c.spec.name}
}

func (g *controllerGate) offer(c *call, now time.Duration) (api.Reason, time.Duration) {
	v := g.ctl.Offer(c.request(epoch), epoch.Add(now))
	if !v.Queued {
		return v.Refuse, v.RetryAfter
	}
	c.predictedWait = v.Wait
	c.offered = now
	c.bound90 = g.estimator.Curve(g.key(c)).Quantile(0, 0.9)
	g.calls[c.id] = c
	g.waiting[c.id] = c
	g.order = append(g.order, c)
	return "", 0
}

func (g *controllerGate) next(now time.Duration) []started {
	var out []started
	for _, s := range g.ctl.Next(epoch.Add(now)) {
		c := g.calls[s.ID]
		delete(g.waiting, s.ID)
		out = append(out, started{c: c, priority: s.Priority})
	}
	return out
}

func (g *controllerGate) progress(c *call) {
	if c.delivered == 100 {
		c.bound100 = 100 + g.estimator.Curve(g.key(c)).Quantile(100, 0.9)
	}
	g.ctl.Progress(c.id, c.attempt, c.delivered, epoch.Add(c.last))
}

func (g *controllerGate) done(c *call, whole bool) {
	if whole {
		g.ctl.Done(c.id, c.attempt, c.delivered, epoch)
	} else {
		g.ctl.Failed(c.id, c.attempt)
	}
	delete(g.calls, c.id)
}

func (g *controllerGate) cancel(c *call) {
	g.ctl.Cancel(c.id, c.attempt, epoch)
	delete(g.calls, c.id)
	delete(g.waiting, c.id)
}

// preempted does nothing, because an engine doesn't say which sequence it
// preempted. The agent sees only the count in the delayed load report; see report.
func (g *controllerGate) preempted(*call, time.Duration) {}

// report passes the new preemptions of an engine's delayed load report to the
// controller.
func (g *controllerGate) report(l standin.Load, now time.Duration) {
	for ; g.reportedPreemptions < l.Preemptions; g.reportedPreemptions++ {
		g.ctl.Preempted("", 0, epoch.Add(now))
	}
}

// yield returns the call to withdraw from the engine when the engine's report shows
// that its memory is about to run out, or nil. The call goes back to the queue.
func (g *controllerGate) yield(free int) *call {
	id, ok := g.ctl.Yield(free)
	if !ok {
		return nil
	}
	c := g.calls[id]
	g.waiting[id] = c
	g.order = append(g.order, c)
	return c
}

func (g *controllerGate) drainQueue() []*call {
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
