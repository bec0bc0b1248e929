// Package entry takes requests that a caller's adapter has parsed, places each
// on a target's agent, and hands the answer back piece by piece: once, in order,
// from one generation, ending in exactly one of the four outcomes.
package entry

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
)

// Placer keeps the entry's view of targets and chooses whom to ask. Methods are
// called from several goroutines; Choose must not take a lock that a writer
// holds for long.
type Placer interface {
	// Announce, Report and Remove follow the agents' messages and links.
	Announce(t routing.Target)
	Report(id api.TargetID, inc api.Incarnation, l routing.Load)
	Remove(id api.TargetID, inc api.Incarnation)
	// Choose gives the targets to ask for a bid, best first; none when no
	// target serves the query.
	Choose(q routing.Query, now time.Time) []routing.Candidate
	// Sent, Ended, Failed and Succeeded correct the view between reports.
	Sent(id api.TargetID, tokens int, now time.Time)
	Ended(id api.TargetID, tokens int, now time.Time)
	Failed(id api.TargetID, retryAfter time.Duration, now time.Time)
	Succeeded(id api.TargetID)
}

// Retrier decides whether a failed attempt is followed by another. It is called
// from several goroutines.
type Retrier interface {
	// Next is asked after an attempt failed with err. movable tells that
	// another can do no harm: it is proved that nothing ran, or nothing was
	// delivered of a request that may be repeated.
	Next(a retry.Attempt, err *api.Error, movable bool, now time.Time) (again bool, after time.Duration)
	// First counts a customer's first attempt, which earns budget.
	First(c api.CustomerID, now time.Time)
}

// Observer hears what the entry decides, for metrics and events. Methods are
// called from several goroutines.
type Observer interface {
	// Ended is told once for each request.
	Ended(r *Request, end End)
	// Retried is told before each attempt after the first.
	Retried(r *Request, reason api.Reason)
	// Dropped counts frames that were not taken: duplicate, gap, foreign, late.
	Dropped(why string)
	// TargetAnnounced is told of each start of a target on each link,
	// TargetLeaving once when it begins to leave, TargetGone when its link ended.
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

// Request is one parsed request of one customer. Its strings and bytes belong to
// the entry: an HTTP server that reuses request memory must copy them first.
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
	Patience time.Duration // 0: waits for ever
	Timeout  time.Duration
	// Repeatable tells that running it twice does no harm.
	Repeatable bool
	// Claimed is called before the dispatch of a request that must not be
	// repeated, with the target and its incarnation; nil for none. An error of
	// outcome completed ends the request in order: its answer is there already.
	Claimed func(t api.TargetID, inc api.Incarnation, n api.Attempt) error
}

// End is how a request ended.
type End struct {
	Outcome    api.Outcome
	Reason     api.Reason
	RetryAfter time.Duration
	Detail     string
	Peer       string
}

// AsEnd gives the end that an error stands for.
func AsEnd(err error) End {
	e := api.AsError(err)
	end := End{Outcome: e.Outcome, Reason: e.Reason, RetryAfter: e.RetryAfter, Peer: e.Peer}
	if e.Err != nil {
		end.Detail = e.Err.Error()
	}
	return end
}
