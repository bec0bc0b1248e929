// Package relay implements the reverse proxy for routed traffic. It accepts callers' HTTP
// requests, determines their route, customer and target, and forwards requests and responses
// unchanged.
//
// An entry is a process that accepts callers' requests; each entry for routed traffic (see
// node/process) runs one Relay. The control group is the set of processes that replicates the
// configuration, retry grants, rate limits and evacuations. An engine is a target that serves a
// generative model: it processes the prompt (prefill), generates tokens, and holds the state of
// each run in its KV cache, which is measured in tokens. A run is the execution of one request
// at an engine. When an engine drains, its streams are migrated: another engine continues the
// run from a copy of its KV cache, which is either a standby copy, updated while the run grows,
// or a copy made on demand.
//
// A Relay serves requests concurrently. The configuration and the lists of targets are read
// without a lock and replaced as a whole.
package relay

import (
	"context"
	"net/http"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/upstream"
)

// Ask holds the parameters in the header of a caller's request.
type Ask struct {
	Request api.RequestID
	// Patience is how long the caller will wait, counted from the arrival of the request; zero
	// if unknown.
	Patience time.Duration
	Key      string
	// PromptTokens is the length of the prompt, MaxTokens the maximum number of tokens that may
	// be generated.
	PromptTokens int
	MaxTokens    int
	// LikelyTokens is the caller's estimate of how many tokens will be generated; zero if
	// unknown. The estimate is right at the median, but often far off.
	LikelyTokens int
	// LastEvent is the ID of the last event of an interrupted stream that the caller has
	// received.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of the stream that the caller
	// takes up; empty if the request begins a stream.
	Resumes api.RequestID
	// Parts holds the IDs of the parts that the prompt shares with other prompts, in their order. The
	// last part of a prompt, which belongs to the request itself, is not among them.
	Parts []string
}

// Directive holds the parameters that an entry sends to a target in the header of a request.
type Directive struct {
	Target   api.TargetID
	Customer api.CustomerID
	// Remaining is how long the target may work on the request.
	Remaining time.Duration
	// Urgency orders requests at an engine, 0 first; a negative value is not sent.
	Urgency int
	// Reservation is the ID of the slot and memory that the engine has reserved for the
	// request.
	Reservation string
	// CopyTo is the address of the engine to which the run's KV cache is copied as it grows.
	CopyTo string
	// CopyFrom is the copy from which the run is continued.
	CopyFrom Copy
	// LastEvent is the ID of the event after which the response continues.
	LastEvent string
}

// Copy identifies a copy of a run's KV cache that is kept at an engine.
type Copy struct {
	Address string
	ID      string
}

// Reply holds the statements in the header of a target's response.
type Reply struct {
	Request api.RequestID
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Sealed is set if the response carries the seal that a target adds to each answer.
	Sealed bool
	// WrongTarget is set if another target has the address.
	WrongTarget bool
	// Limited is set if the target announces a rate limit, and Limit is that limit: the
	// requests per second that the target accepts from all instances together.
	Limited bool
	Limit   float64
	// LimitErr is set if the target announces a limit that cannot be parsed.
	LimitErr error
	// Backoff is the time for which the target accepts nothing from this entry; zero if it states
	// none. BackoffErr is set if that time cannot be parsed.
	Backoff    time.Duration
	BackoffErr error
	// Leaving is set if the target states that it is leaving. LeavingErr is set if that
	// statement cannot be parsed.
	Leaving    bool
	LeavingErr error
}

// Dialect encodes and decodes the headers of requests and responses. It is safe for concurrent
// use.
type Dialect interface {
	// Ask decodes a caller's headers. It returns an error if they are malformed.
	Ask(h http.Header) (Ask, error)
	// Direct removes the fields from h that callers must not set, and encodes d.
	Direct(h http.Header, d Directive)
	// Reply decodes the header of a target's response.
	Reply(status int, h http.Header) Reply
}

// Peer is one target as the destination of calls. It is safe for concurrent use.
type Peer interface {
	// Address is the address of the target.
	Address() string
	// Do sends a request to the target and returns its response. It applies to the target what
	// the response states of it. It returns a NotAdmittedError, and sends nothing, if the target's
	// condition does not allow the request.
	Do(ctx context.Context, req *upstream.Request) (*upstream.Exchange, error)
}

// Engines makes calls to model engines other than forwarded requests. Each call is sent through
// the Peer that it names. It is safe for concurrent use.
type Engines interface {
	// Move copies a run's KV cache from the engine at to the engine at address to; with stop, the
	// run is ended first. It returns the copy from which the run can be continued. For a stopped
	// run it returns a copy even with an error: the engine at then keeps the KV cache. It returns
	// ErrNoRun if the engine at has no such run, and ErrCallRefused if the call had no effect. After any
	// other error without a copy the run may have been stopped.
	Move(ctx context.Context, at Peer, run api.RequestID, to string, stop bool) (Copy, error)
	// Run returns the start of the run of the target at, in Unix milliseconds of the target's clock;
	// zero if it states none.
	Run(ctx context.Context, at Peer) (born int64, err error)
	// Events returns the number of events that the engine at has made of a run. It returns ErrNoRun if the
	// engine works on no such run. What an engine states lags by some hundred milliseconds.
	Events(ctx context.Context, at Peer, run api.RequestID) (int, error)
	// Drop frees a copy at the engine at. If that engine made the copy, it is freed at the
	// receiving engine too.
	Drop(ctx context.Context, at Peer, id string) error
	// Reserve reserves a slot and memory for one request for the time ttl. It returns ErrNoRoom
	// if the engine has none left; any other error leaves the outcome unknown.
	Reserve(ctx context.Context, at Peer, tokens int, ttl time.Duration) (string, error)
}

// Origins stores and finds which software began a stream, also a stream that began at another entry
// process. It is safe for concurrent use.
type Origins interface {
	// Began records which software began a stream, to be kept for the time ttl. It does not block.
	Began(k origin.Key, o origin.Origin, ttl time.Duration)
	// Find returns the origin of a stream and from where it is known. The error says why it is not
	// known.
	Find(ctx context.Context, k origin.Key) (o origin.Origin, source string, err error)
}

// StopCall is the result of a call that stops a run. Try counts the calls for this run from 1 on.
type StopCall struct {
	Try    int
	Took   time.Duration
	Result handoff.Stop
	Err    error
}

// Observer is notified of events in the life of requests, for metrics and logs. Its methods are
// called from many goroutines and must not block.
type Observer interface {
	crash.Observer
	FaultObserver

	// Refused reports a request that was answered without having been run.
	Refused(r *Request, status int, reason api.Reason)
	// RefusalChecked reports that a request which the configuration of version held refuses, for the
	// reason refused, was looked up in the newest one: r has its version. reason is why it is refused
	// now, empty if it is not.
	RefusalChecked(r *Request, held uint64, refused, reason api.Reason, waited time.Duration)
	// Held reports that a request waited at the entry for an engine with room.
	Held(r *Request, waited time.Duration)
	// NoRoom reports that an engine made no reservation for a request.
	NoRoom(r *Request, t *Target, err error)
	// OriginFound reports the origin of a stream that a request takes up, from where it is known and
	// after which time, or why it is not known.
	OriginFound(r *Request, o origin.Origin, source string, took time.Duration, err error)
	// RunConfirmed reports that a target was asked whether its run is the known one, because it serves a
	// stream that may be continued; err is nil if it is.
	RunConfirmed(r *Request, t *Target, err error)
	// Sent reports that a request is sent to a target; why is the reason for this send.
	Sent(r *Request, t *Target, why string)
	// ColdStart reports whether a request may be sent to a cold target.
	ColdStart(r *Request, t *Target, v RetryVerdict)
	// LimitChanged reports that this entry applies another limit to a target, either because of
	// the response to r or, if r is nil, because of an update from the control group.
	LimitChanged(r *Request, t *Target, before, after targetlimit.Statement)
	// LimitNotStated reports that a target's limit could not be reported to the control group.
	LimitNotStated(t *Target, err error)
	// BackoffAsked reports that a target, in its response to r, asked this entry to send it
	// nothing for the time backoff, and until when the entry sends it nothing: before and after
	// that response.
	BackoffAsked(r *Request, t *Target, backoff time.Duration, before, after time.Time)
	// LeavingStated reports that a target states, in its response to r, that it is leaving, which
	// this entry did not know.
	LeavingStated(r *Request, t *Target)
	// StatementUnreadable reports a statement of a target about itself that cannot be parsed. It
	// is not called again for the target until one of its responses arrives without an error.
	StatementUnreadable(r *Request, t *Target, err error)
	// LimitedSend reports whether a request may be sent to a rate-limited target.
	LimitedSend(r *Request, t *Target, limit targetlimit.Statement, v RetryVerdict)
	// TargetCrashed reports that a target's process ended while it ran requests of this entry.
	TargetCrashed(t *Target, lost []LostRequest)
	// Attempted reports the outcome of one send.
	Attempted(r *Request, t *Target, outcome string, err error)
	// RetryGranted reports that the retry budget allowed another send; why is the reason for
	// that send.
	RetryGranted(r *Request, why string, v RetryVerdict)
	// RetryDenied reports that the retry budget did not allow another send.
	RetryDenied(r *Request, why string, v RetryVerdict)
	// MigrationSkipped reports that a stream was not migrated from its draining engine, and
	// why.
	MigrationSkipped(r *Request, from *Target, why string)
	// Copied reports one copy of a run between two engines.
	Copied(r *Request, from, to *Target, stop bool, took time.Duration, err error)
	// PaceChanged reports that an engine is now predicted to pause longer than the bound of the
	// streams on it, or to hold the bound again.
	PaceChanged(t *Target, pause, bound time.Duration, holds bool)
	// Placed reports the engine that was chosen for a stream whose route bounds pauses, and the
	// longest pause to expect there; zero if unknown.
	Placed(r *Request, t *Target, pause time.Duration)
	// RunStopped reports what is known in the end of an engine's work on a run that was left, and the error
	// of the last call that stops it: with ErrNoRun, the engine had ended it before.
	RunStopped(r *Request, t *Target, work handoff.Work, took time.Duration, err error)
	// RunLeft reports that a stream has left the run at an engine, and why.
	RunLeft(r *Request, t *Target, why string)
	// StopCalled reports the result of one call that stops a run.
	StopCalled(r *Request, t *Target, c StopCall)
	// LeftRunExamined reports whether an engine still works on a run that was left some time ago, after the
	// calls that stop it: err is nil if it does, and made is the number of events that it has made.
	LeftRunExamined(r *Request, t *Target, left time.Duration, made int, err error)
	// ConnectionEnded reports what the end of a connection was found to mean that ends a response without a
	// length or chunks, and how long that took.
	ConnectionEnded(r *Request, t *Target, end handoff.ConnectionEnd, took time.Duration)
	// Dropped reports that an unused copy of a run was freed, or the error that prevented it.
	Dropped(r *Request, at *Target, err error)
	// Migrated reports that a stream is continued at another engine after a pause.
	Migrated(r *Request, from, to *Target, how string, pause time.Duration)
	// MigrationPaused reports a stream that paused over the bound of its route in a migration.
	MigrationPaused(r *Request, from, to *Target, p MigrationPause)
	// Ended reports the end of a request as seen by its caller.
	Ended(r *Request, status int, outcome string)
}
