// Package agent is the one small process beside a target. It alone sees all
// that its target does, without lag, so it owns for that target the queue, the
// record of what ran, the stream buffers, the leaving state and the fence.
package agent

import (
	"context"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// Work is what an engine or a plain service is asked to do.
type Work struct {
	Request api.RequestID
	Method  string
	Path    string
	Headers []wire.Header
	Body    []byte
	// Priority orders sequences inside the engine where it honours one; lower
	// runs first.
	Priority int
}

// Capabilities tells what a target's protocol offers.
type Capabilities struct {
	// Priority: the engine honours the priority field.
	Priority bool
	// ResumeStream: the engine certifies that a resumed stream belongs to the
	// same generation.
	ResumeStream bool
	// ChecksFence: the target itself refuses an order with an old fence.
	ChecksFence bool
}

// Answer is the running response of a target. Next is called from one
// goroutine; Close may be called from another and makes Next return.
type Answer interface {
	// Head gives the status and headers.
	Head() (status int, headers []wire.Header)
	// Next gives the next item, valid until the following call. io.EOF means
	// that the target itself marked the end; any other error that the answer
	// is cut short.
	Next() ([]byte, error)
	// Close cancels the response if it has not ended.
	Close()
}

// Target is the road to the engine or service beside the agent. Methods may be
// called from several goroutines. An error of Generate or Call is an *api.Error
// whose Outcome is not_run only when not one byte can have reached the target,
// or the target's own protocol says that it refused.
type Target interface {
	// Generate starts a sequence and returns when the target has answered with
	// a head. Items are in the form of node/chunk.
	Generate(ctx context.Context, w Work) (Answer, error)
	// Call passes a plain call on exactly once. Items are runs of body bytes.
	Call(ctx context.Context, w Work) (Answer, error)
	// Load asks for the target's own report; it may lag.
	Load(ctx context.Context) (TargetLoad, error)
	// Capabilities does not change while the target runs.
	Capabilities() Capabilities
}

// TargetLoad is a target's own report. Free and Capacity are in tokens.
type TargetLoad struct {
	Running     int
	Waiting     int
	Free        int
	Capacity    int
	Preemptions uint64
}

// Admitter decides what starts when; core/admission.Controller is one. It is
// called under the agent's lock, with the time passed in.
type Admitter interface {
	Bid(r admission.Request, now time.Time) admission.Bid
	// Release gives up the place that a bid keeps, if there is one.
	Release(id api.RequestID)
	Offer(r admission.Request, now time.Time) admission.Verdict
	// Next gives the sequences to start now.
	Next(now time.Time) []admission.Start
	// Expired removes and gives the queued requests whose deadline has passed.
	Expired(now time.Time) []admission.Start
	// Progress tells that a sequence has produced n tokens in all.
	Progress(id api.RequestID, a api.Attempt, n int, now time.Time)
	// Done tells that a sequence ended by itself after n tokens, Failed that it
	// was cut short.
	Done(id api.RequestID, a api.Attempt, n int, now time.Time)
	Failed(id api.RequestID, a api.Attempt)
	// Cancel withdraws a request, with true only if it never started.
	Cancel(id api.RequestID, a api.Attempt, now time.Time) (neverStarted bool)
	// Preempted tells that the engine took a sequence's memory; an empty ID
	// means that it does not say whose.
	Preempted(id api.RequestID, a api.Attempt, now time.Time)
	// Yield gives the sequence that must give way when free tokens are left in
	// the engine: it has produced nothing and is queued again.
	Yield(free int) (id api.RequestID, ok bool)
	// SetBounds changes the bounds for what is offered from now on.
	SetBounds(b admission.Bounds)
	// Snapshot is the state for a load report.
	Snapshot(now time.Time) admission.Snapshot
}

// Clock gives the time; tests pass their own.
type Clock func() time.Time
