// Package relay is the front of the system for routed traffic: it takes callers'
// HTTP requests as they are, finds their route, customer and target, and passes
// requests and answers on unchanged.
//
// A Relay serves many requests at once. What it routes by, the configuration and
// the table of targets, is read without a lock and replaced whole.
package relay

import (
	"context"
	"net/http"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/targetlimit"
)

// Ask is what a caller's request says of itself.
type Ask struct {
	Request api.RequestID
	// Patience is how long the caller will wait, counted from the arrival of the
	// request; zero if it does not say.
	Patience time.Duration
	Key      string
	// PromptTokens and MaxTokens are the length of the prompt and the most tokens
	// that may be generated.
	PromptTokens int
	MaxTokens    int
	// LikelyTokens is the caller's guess of how many will be generated: right at the
	// median, often far off; zero if it does not say.
	LikelyTokens int
	// LastEvent is the last event of a broken stream that the caller has.
	LastEvent string
}

// Directive is what the system tells a target along with a request.
type Directive struct {
	Target   api.TargetID
	Customer api.CustomerID
	// Remaining is how long the target may work.
	Remaining time.Duration
	// Urgency orders requests at an engine, 0 first; below zero is not said.
	Urgency int
	// Reservation names the slot and memory that the engine has set aside for the
	// request.
	Reservation string
	// CopyTo is the address of the engine to which the run's memory is copied as
	// it grows.
	CopyTo string
	// CopyFrom names the memory to continue from.
	CopyFrom Copy
	// LastEvent is the event after which the answer continues.
	LastEvent string
}

// Copy names the memory of a run that is kept at an engine.
type Copy struct {
	Address string
	ID      string
}

// Reply is what a target's answer says of itself.
type Reply struct {
	Request api.RequestID
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set when another target has the address.
	WrongTarget bool
	// Limited is set when the target names a limit, and Limit is that: the requests a
	// second that it takes from all instances together.
	Limited bool
	Limit   float64
	// LimitErr tells that the target names a limit that can't be read.
	LimitErr error
}

// Dialect encodes and decodes the headers of requests and answers. It is safe for
// concurrent use.
type Dialect interface {
	// Ask decodes a caller's headers. An error means that they can't be read.
	Ask(h http.Header) (Ask, error)
	// Direct takes out of h what only the system may say, and sets d.
	Direct(h http.Header, d Directive)
	// Reply decodes a target's answer.
	Reply(status int, h http.Header) Reply
}

// Engines are the calls to model engines beside requests. Safe for concurrent use.
type Engines interface {
	// Move copies a run's memory to another engine; with stop the run ends first. It
	// gives the name under which the memory can be taken up. A stopped run has one
	// also with an error: the engine that it ran at keeps its memory.
	Move(ctx context.Context, at string, run api.RequestID, to string, stop bool) (Copy, error)
	// Drop frees the memory of a copy at an engine; at the one that made the copy, at both.
	Drop(ctx context.Context, at string, id string) error
	// Reserve sets a slot and memory aside for one request, for a while. ErrNoRoom
	// says that the engine has none; with any other error nothing is known.
	Reserve(ctx context.Context, at string, tokens int, ttl time.Duration) (string, error)
}

// Observer is notified of requests, for metrics and events. Its methods are called from
// many goroutines and must not block.
type Observer interface {
	// Refused tells of a request that was answered without having run.
	Refused(r *Request, status int, reason api.Reason)
	// Held tells that a request waited at the entry for an engine with room.
	Held(r *Request, waited time.Duration)
	// NoRoom tells that an engine set no room aside for a request.
	NoRoom(r *Request, t *Target, err error)
	// Sent tells of each time that a request goes to a target.
	Sent(r *Request, t *Target, why string)
	// ColdStart tells whether a request may be sent to a target that is cold.
	ColdStart(r *Request, t *Target, v RetryVerdict)
	// LimitChanged tells that this entry goes by another limit of a target: by its answer to a
	// request, or, where that is nil, by what the control group tells.
	LimitChanged(r *Request, t *Target, before, after targetlimit.Statement)
	// LimitNotStated tells that the control group could not be told of a target's limit.
	LimitNotStated(t *Target, err error)
	// LimitUnreadable tells that a target's answer names a limit that can't be read. It is
	// told once until the target names one that can be.
	LimitUnreadable(r *Request, t *Target, err error)
	// LimitedSend tells whether a request may be sent to a target that names a limit.
	LimitedSend(r *Request, t *Target, limit targetlimit.Statement, v RetryVerdict)
	// Attempted tells what one send came to.
	Attempted(r *Request, t *Target, outcome string, err error)
	// RetryGranted tells that the retry budget allowed one more send; why is what it is
	// for.
	RetryGranted(r *Request, why string, v RetryVerdict)
	// RetryDenied tells that it did not.
	RetryDenied(r *Request, why string, v RetryVerdict)
	// MigrationSkipped tells that a stream was not migrated from its draining engine, and why.
	MigrationSkipped(r *Request, from *Target, why string)
	// Copied tells of one copy of a run between two engines.
	Copied(r *Request, from, to *Target, stop bool, took time.Duration, err error)
	// Dropped tells that a copy of a run which nobody takes up was freed, or why not.
	Dropped(r *Request, at *Target, err error)
	// Migrated tells that a stream is continued at another engine after a pause.
	Migrated(r *Request, from, to *Target, how string, pause time.Duration)
	// Ended tells how a request ended towards its caller.
	Ended(r *Request, status int, outcome string)
}
