// Package admission decides, for one target, which sequence starts when, which
// one yields when the engine's memory fills, and what is refused. It is pure:
// the caller passes the time in and runs what it is told to run. A controller
// is used from one goroutine at a time (the agent holds a lock).
package admission

import (
	"time"

	"almondseam.dev/core/api"
)

// Class tells short answers from long ones, as the customer's configuration
// or the request's own bound says.
type Class uint8

const (
	// ClassNote is a long, open-ended answer.
	ClassNote Class = iota
	// ClassTag is a short answer, such as a label.
	ClassTag
)

// Request is one sequence that wants to run on the target.
type Request struct {
	ID       api.RequestID
	Attempt  api.Attempt
	Customer api.CustomerID
	Model    api.ModelID
	// Kind separates output-length histograms within a model, for example
	// "note" and "tag".
	Kind  string
	Class Class
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Cached is the number of prompt tokens believed to be in the prefix cache.
	Cached int
	// Prefix names the first PrefixTokens tokens of the prompt, which running
	// sequences of the same prefix share in memory; zero means none is shared.
	Prefix       uint64
	PrefixTokens int
	// MaxTokens bounds the output in tokens; zero means no bound was given.
	MaxTokens int
	// Weight is the customer's share; zero counts as 1.
	Weight int
	// Arrived is when the caller's request first reached an entry.
	Arrived time.Time
	// Deadline is when the caller gives up waiting for the first token; zero
	// means never.
	Deadline time.Time
}

// Bid answers "when could you start this".
type Bid struct {
	// Wait is the expected time until the first token.
	Wait time.Duration
	// Cached is the number of prompt tokens held in the prefix cache.
	Cached int
	// Refuse is set when the target would refuse the request.
	Refuse api.Reason
}

// Verdict is the answer to an offered request.
type Verdict struct {
	// Queued tells that the request was accepted; Position is its place in
	// the queue from 0.
	Queued   bool
	Position int
	// Wait is the expected time until it starts.
	Wait time.Duration
	// Refuse and RetryAfter are set when it was not accepted.
	Refuse     api.Reason
	RetryAfter time.Duration
}

// Start is an instruction to start a sequence now with an engine priority
// (lower runs first, as engines count).
type Start struct {
	ID       api.RequestID
	Attempt  api.Attempt
	Priority int
}

// Snapshot is what a load report carries.
type Snapshot struct {
	Running int
	Waiting int
	// Free is the memory in tokens not expected to be used at the coming peak.
	Free     int
	Capacity int
	// WaitNote and WaitTag are the expected waits of a request that came now.
	WaitNote time.Duration
	WaitTag  time.Duration
	// Preemptions counts those seen; Margin is the number of standard
	// deviations that the controller now keeps free.
	Preemptions int
	Margin      float64
	// OldestWait is how long the oldest queued request has waited.
	OldestWait time.Duration
}
