// Package admission decides for one target, an inference engine, when each
// sequence starts, which sequence is withdrawn when the engine's memory fills up,
// and which requests are refused. A sequence is the processing of one request by
// the engine. The package does no I/O: the caller passes the current time and
// carries out the decisions. A controller must be used from one goroutine at a
// time (the agent calls it under a lock).
//
// Requests have one of two classes, which the configuration calls note and tag:
// a note has a long, open-ended output, a tag a short one, such as a label.
package admission

import (
	"time"

	"almondseam.dev/core/api"
)

// Class distinguishes requests with short outputs from those with long ones,
// according to the configuration or the request's own output limit.
type Class uint8

const (
	// ClassNote is the class of requests with a long, open-ended output.
	ClassNote Class = iota
	// ClassTag is the class of requests with a short output, such as a label.
	ClassTag
)

// Request describes one sequence to be run on the target.
type Request struct {
	ID       api.RequestID
	Attempt  api.Attempt
	Customer api.CustomerID
	Model    api.ModelID
	// Kind separates the learned output lengths within a model, for example
	// "note" and "tag".
	Kind  string
	Class Class
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Cached is the number of prompt tokens believed to be in the prefix cache.
	Cached int
	// Prefix identifies the first PrefixTokens tokens of the prompt, which
	// running sequences with the same prefix share in memory; zero means that
	// no prefix is shared.
	Prefix       uint64
	PrefixTokens int
	// MaxTokens is the request's output limit in tokens; zero means no limit.
	MaxTokens int
	// Weight is the customer's weight in the fair queue; zero counts as 1.
	Weight int
	// Arrived is when the caller's request first reached an entry process.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the first token; zero means
	// never.
	Deadline time.Time
}

// Bid is the answer to the question when the target could start a request.
type Bid struct {
	// Wait is the expected time until the first token.
	Wait time.Duration
	// Cached is the number of prompt tokens that the engine need not compute,
	// since they are in the prefix cache or in a prefix shared with a running
	// sequence.
	Cached int
	// Refuse is set if the target would refuse the request. RetryAfter is then
	// the time after which to ask again, or zero if asking again does not help.
	Refuse     api.Reason
	RetryAfter time.Duration
}

// Verdict is the answer to an offered request.
type Verdict struct {
	// Queued reports that the request was accepted. Position is then the number
	// of requests of its class that were queued before it.
	Queued   bool
	Position int
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// Refuse is the reason if the request was not accepted. RetryAfter is then
	// the time after which to ask again, or zero if asking again does not help.
	Refuse     api.Reason
	RetryAfter time.Duration
}

// Start is an instruction to start a sequence now with an engine priority; the
// engine runs lower numbers first. Expired returns requests in the same form.
type Start struct {
	ID       api.RequestID
	Attempt  api.Attempt
	Priority int
}

// Snapshot is the state of a controller for a load report.
type Snapshot struct {
	Running int
	Waiting int
	// Free is the memory in tokens that stays free at the predicted peak
	// including the margin.
	Free     int
	Capacity int
	// WaitNote and WaitTag are the expected waits of a note and of a tag that
	// would be queued now, for a customer with no other waiting requests.
	WaitNote time.Duration
	WaitTag  time.Duration
	// Preemptions is the number of preemptions so far. Margin is the number of
	// standard deviations of memory that the controller now keeps free.
	Preemptions int
	Margin      float64
	// OldestWait is how long the oldest queued request has waited since it
	// arrived at an entry process.
	OldestWait time.Duration
}
