package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/node/upstream"
)

// stopCalls records the calls that stop the runs of one request. An engine closes the stream of a run
// that it stops. It is safe for concurrent use.
type stopCalls struct {
	mu    sync.Mutex
	calls []*stopCall
}

// stopCall is one call that stops the run of a request at an engine. Its fields are guarded by the mutex
// of its stopCalls.
type stopCall struct {
	target  *Target
	begunAt time.Time
	state   handoff.Stop
	// endedAt is when the result was known, zero before that; ended is closed then.
	endedAt time.Time
	ended   chan struct{}
}

// begin records a call before it is sent.
func (c *stopCalls) begin(t *Target) *stopCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := &stopCall{target: t, begunAt: time.Now(), state: handoff.StopSent, ended: make(chan struct{})}
	c.calls = append(c.calls, call)
	return call
}

// end records the result of a call.
func (c *stopCalls) end(call *stopCall, made Copy, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.state, call.endedAt = stopResult(made, err), time.Now()
	close(call.ended)
}

func stopResult(made Copy, err error) handoff.Stop {
	switch {
	case made.ID != "" || err == nil:
		return handoff.StopDone
	case errors.Is(err, ErrNoRun):
		return handoff.StopNoRun
	case isNotAdmitted(err) || errors.Is(err, upstream.ErrNotSent) || errors.Is(err, ErrCallRefused):
		return handoff.StopNone
	}
	return handoff.StopUnknown
}

// at returns what is known of the calls to an engine that may have stopped a run which was sent there at
// the given time. A call reaches no later process at the engine's address: that is another target.
func (c *stopCalls) at(t *Target, sentAt time.Time) handoff.Stop {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := handoff.StopNone
	for _, call := range c.calls {
		if call.target == t && call.mayConcern(sentAt) {
			state = max(state, call.state)
		}
	}
	return state
}

// latest returns what is known of the last call to an engine that may have stopped a run which was sent there at
// the given time, and when that call was sent.
func (c *stopCalls) latest(t *Target, sentAt time.Time) (state handoff.Stop, begunAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.target == t && call.mayConcern(sentAt) && state < handoff.StopDone {
			state, begunAt = call.state, call.begunAt
		}
	}
	return state, begunAt
}

// await waits until all calls to an engine have been answered, or ctx ends, and returns
// what at returns then.
func (c *stopCalls) await(ctx context.Context, t *Target, sentAt time.Time) handoff.Stop {
	for {
		unanswered := c.unanswered(t)
		if unanswered == nil {
			return c.at(t, sentAt)
		}
		select {
		case <-unanswered:
		case <-ctx.Done():
			return c.at(t, sentAt)
		}
	}
}

// unanswered returns a channel that is closed when a call to an engine is answered, nil
// if all have been.
func (c *stopCalls) unanswered(t *Target) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.target == t && call.endedAt.IsZero() {
			return call.ended
		}
	}
	return nil
}

// settle records that an engine continues the run from a copy of its own, so that it has
// received every call that stops the run.
func (c *stopCalls) settle(t *Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.target == t && call.state == handoff.StopUnknown {
			call.state = handoff.StopDone
		}
	}
}

// mayConcern reports whether the call may have stopped a run that was sent at the given time. A call
// whose answer was lost may arrive at any time.
func (c *stopCall) mayConcern(sentAt time.Time) bool {
	return c.endedAt.IsZero() || c.state == handoff.StopUnknown || !c.endedAt.Before(sentAt)
}
