// Package entry takes requests that a caller's adapter has parsed, places each on a
// target's agent and returns the answer piece by piece. The caller gets each piece
// once and in order, all pieces come from one generation, and every request ends in
// exactly one of the four outcomes.
package entry

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/wire"
)

// Placer keeps the entry's view of the targets and chooses which of them to ask.
// Its methods are called from several goroutines. Choose must not take a lock that
// a writer holds for long.
type Placer interface {
	// Announce, Report and Remove apply the agents' announcements and load reports
	// and the loss of their links.
	Announce(t routing.Target)
	Report(id api.TargetID, inc api.Incarnation, l routing.Load)
	Remove(id api.TargetID, inc api.Incarnation)
	// Choose returns the targets to ask for a bid, best first. It returns none when
	// no target serves the query.
	Choose(q routing.Query, now time.Time) []routing.Candidate
	// Sent, Ended, Failed and Succeeded correct the view between load reports.
	Sent(id api.TargetID, tokens int, now time.Time)
	Ended(id api.TargetID, tokens int, now time.Time)
	Failed(id api.TargetID, retryAfter time.Duration, now time.Time)
	Succeeded(id api.TargetID)
	// Size returns the number of targets that serve the query's model or service.
	Size(q routing.Query) int
}

// Retrier decides whether a failed attempt is followed by another. Its methods are
// called from several goroutines.
type Retrier interface {
	// Next is called after an attempt failed with err. safeToRetry is true if another
	// attempt can do no harm: the caller has received nothing, and either the
	// attempt is proved not to have run or the request may be repeated. after is
	// the delay before the next attempt.
	Next(a retry.Attempt, err *api.Error, safeToRetry bool, now time.Time) (again bool, after time.Duration)
	// First records a customer's first attempt of a request, which adds to the
	// retry budget.
	First(c api.CustomerID, now time.Time)
}

// Observer receives what the entry decides, for metrics and events. Its methods are
// called from several goroutines.
type Observer interface {
	// Ended is called once for each request that was started and once for each that
	// was resumed.
	Ended(r *Request, end End)
	// Retried is called when another attempt was decided on, before the delay that
	// precedes it. reason is that of the failed attempt.
	Retried(r *Request, reason api.Reason)
	// Dropped is called for each frame that was not used. why is "duplicate",
	// "gap", "foreign", "malformed", "late" or "news_full".
	Dropped(why string)
	// TargetAnnounced is called once on each link for each incarnation that
	// announces itself, TargetLeaving when the target begins to leave, and
	// TargetGone when the link has closed, unless a newer link had replaced it.
	TargetAnnounced(t TargetView)
	TargetLeaving(t TargetView)
	TargetGone(t TargetView)
}

type noObserver struct{}

func (noObserver) Ended(*Request, End)          {}
func (noObserver) Retried(*Request, api.Reason) {}
func (noObserver) Dropped(string)               {}
func (noObserver) TargetAnnounced(TargetView)   {}
func (noObserver) TargetLeaving(TargetView)     {}
func (noObserver) TargetGone(TargetView)        {}

// Request is one parsed request of one customer. The entry owns its strings and
// bytes: an HTTP server that reuses the memory of requests must copy them first.
type Request struct {
	ID       api.RequestID
	Size     wire.Size
	Query    routing.Query
	Service  api.ServiceID // empty for a generation
	Method   string
	Path     string
	Headers  []wire.Header
	Body     []byte
	Arrived  time.Time
	Patience time.Duration // how long after Arrived the caller waits for the first token; 0 for no limit
	Timeout  time.Duration // maximum duration of a plain call; 0 for the agent's default
	// Repeatable is set if running the request twice does no harm.
	Repeatable bool
	// Resumable is set if the caller gets with each item what it may come back with
	// for the rest of the answer.
	Resumable bool
	// Claimed obtains the grant for a request that must not be repeated; nil if the
	// request needs no grant. It is called before each dispatch with the target and
	// its incarnation. An error whose outcome is completed ends the request as
	// completed without a dispatch: the answer of an earlier run is already known.
	Claimed func(t api.TargetID, inc api.Incarnation, n api.Attempt) error

	// identity is what the request has in common with others that are the same.
	identity *crash.Identity
}

// End describes how a request ended.
type End struct {
	Outcome    api.Outcome
	Reason     api.Reason
	RetryAfter time.Duration
	Detail     string
	Peer       string
}

// AsEnd returns the End that err stands for.
func AsEnd(err error) End {
	e := api.AsError(err)
	end := End{Outcome: e.Outcome, Reason: e.Reason, RetryAfter: e.RetryAfter, Peer: e.Peer}
	if e.Err != nil {
		end.Detail = e.Err.Error()
	}
	return end
}
