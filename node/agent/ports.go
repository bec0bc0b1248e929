// Package agent implements the agent, the process beside a target. Only the agent
// sees without delay everything that its target does. It therefore holds for that
// target the queue, the record of which requests ran, the stream buffers, the
// leaving state and the fence of orders.
package agent

import (
	"context"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// Work is a request that the agent sends to its target, a generation or a plain
// call.
type Work struct {
	Request api.RequestID
	Method  string
	Path    string
	Headers []wire.Header
	Body    []byte
	// Priority orders the sequences inside an engine that supports priorities;
	// lower numbers run first.
	Priority int
}

// Capabilities states which optional features a target supports.
type Capabilities struct {
	// Priority means that the engine honours the priority field.
	Priority bool
	// ResumeStream means that the engine guarantees that a resumed stream belongs
	// to the same generation.
	ResumeStream bool
	// ChecksFence means that the target itself rejects an order with an old fence.
	ChecksFence bool
}

// Answer is the response of a target while it is being read. Next is called from
// one goroutine. Close may be called from another one and makes Next return.
type Answer interface {
	// Head returns the status, that of a final response (200 to 599), and the headers.
	Head() (status int, headers []wire.Header)
	// Next returns the next item, which is valid until the following call. io.EOF
	// means that the target itself marked the end, any other error that the
	// response was cut short.
	Next() ([]byte, error)
	// Close cancels the response if it has not ended.
	Close()
}

// Target sends requests to the engine or service beside the agent. Its methods may
// be called from several goroutines. An error of Generate or Call is an
// *api.Error. Its Outcome is not_run only if no byte can have reached the target,
// or if a response of the target means by its protocol that the request was
// rejected.
type Target interface {
	// Generate starts a sequence and returns when the header of the response has
	// arrived. The items are encoded as in node/chunk.
	Generate(ctx context.Context, w Work) (Answer, error)
	// Call sends a plain call exactly once. The items are pieces of the response
	// body.
	Call(ctx context.Context, w Work) (Answer, error)
	// Load requests the target's own load report, which may lag.
	Load(ctx context.Context) (TargetLoad, error)
	// Backoff returns the time left of the backoff that the target has asked for, zero if there is
	// none. Until it ends every other method that sends something returns an error with
	// the outcome not_run and the reason target_backoff, and sends nothing.
	Backoff() time.Duration
	// Gone reports whether the target's process has ended: its address refuses connections.
	Gone(ctx context.Context) bool
	// Capabilities returns the same value as long as the target runs.
	Capabilities() Capabilities
}

// TargetLoad is a target's own load report. Free and Capacity are in tokens.
type TargetLoad struct {
	Running     int
	Waiting     int
	Free        int
	Capacity    int
	Preemptions uint64
}

// Admitter decides when requests start; admission.Controller implements it. The
// agent calls it with a lock held and passes the current time.
type Admitter interface {
	// Bid estimates when a request could start, and may reserve memory for it.
	Bid(r admission.Request, now time.Time) admission.Bid
	// Release drops the reservation that a bid made for the request, if there is
	// one.
	Release(id api.RequestID)
	// Offer queues a request or refuses it.
	Offer(r admission.Request, now time.Time) admission.Verdict
	// Next returns the sequences to start now.
	Next(now time.Time) []admission.Start
	// Expired removes the queued requests whose deadline has passed and returns
	// them.
	Expired(now time.Time) []admission.Start
	// Progress records that a sequence has produced n tokens in total.
	Progress(id api.RequestID, a api.Attempt, n int, now time.Time)
	// Done records that a sequence ended by itself after n tokens, Failed that it
	// was cut short.
	Done(id api.RequestID, a api.Attempt, n int, now time.Time)
	Failed(id api.RequestID, a api.Attempt)
	// Cancel withdraws a request. It returns true only if the request was waiting
	// in the queue.
	Cancel(id api.RequestID, a api.Attempt, now time.Time) (neverStarted bool)
	// Preempted records that the engine preempted a sequence and took its memory.
	// The ID is empty if the engine does not report which sequence that was.
	Preempted(id api.RequestID, a api.Attempt, now time.Time)
	// Yield returns the sequence to withdraw from the engine when free tokens of
	// the engine's memory are left. It chooses a sequence that has produced
	// nothing and puts it back into the queue. ok is false if no sequence is to be
	// withdrawn.
	Yield(free int) (id api.RequestID, ok bool)
	// SetBounds changes the bounds that apply to later bids and offers.
	SetBounds(b admission.Bounds)
	// Snapshot returns the state for a load report.
	Snapshot(now time.Time) admission.Snapshot
}

// Clock returns the current time. A test may use its own.
type Clock func() time.Time
