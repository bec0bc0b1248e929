package relay

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/upstream"
)

// Request is a caller's request in progress: what was received, what was decided by the
// configuration, and what has been done so far.
type Request struct {
	Ask      Ask
	Arrived  time.Time
	Deadline time.Time
	// Stream holds statistics of the request's event stream, if it has one.
	Stream StreamStats
	// Ending describes the end of the last response that was read.
	Ending Ending

	received
	decision
	progress
}

// received is the request as the caller sent it.
type received struct {
	httpRequest *http.Request
	writer      *callerResponse
	uri         string
	body        []byte
}

// decision is what was decided on admission, from the configuration and from earlier requests.
// It does not change afterwards.
type decision struct {
	Route    *routeconf.Route
	Service  api.ServiceID
	Customer *routeconf.Customer
	// Version is the version of the configuration that was used.
	Version uint64
	// tokens is the KV cache, in tokens, that the request is expected to occupy at an engine.
	tokens int
	// identity is what the request has in common with others that are the same.
	identity *crash.Identity
	// costRank is the rank of the request's expected cost among the recent ones of its service,
	// from 0 to 1.
	costRank float64
}

// progress is what has been done for the request so far.
type progress struct {
	// tried holds the targets that were selected for the request; sends counts those that may
	// have read it.
	tried []*Target
	sends int
	// failure is an error response of a target that another target may improve on.
	failure *failure
	// fault is the last failure that was counted towards the judgement on a target, zero if there is none.
	fault countedFault
	// mayHaveRun is set once a target may have begun to work on the request.
	mayHaveRun bool
	// work is the context of the work at a target if that may outlive the caller, nil otherwise.
	work context.Context
	// origin is the software that began the request's stream, nil before its first event. A
	// migration reads it while the stream goes on.
	origin atomic.Pointer[origin.Origin]
	// stops holds the calls that stop the request's runs.
	stops stopCalls
	// connectionEndedAt is when the connection of a response without a length or chunks ended last.
	connectionEndedAt time.Time
}

// Ending describes the end of a target's response, for logs.
type Ending struct {
	Framing upstream.Framing
	// Stop is what was known, at the end of the response, of calls that stop its run.
	Stop handoff.Stop
}

// StreamStats are statistics of one stream, for metrics and logs.
type StreamStats struct {
	// First is the time from the request's arrival to its first event.
	First      time.Duration
	LongestGap time.Duration
	Events     int
	// Migrations counts the attempts to continue the stream at another engine.
	Migrations int
}

// recordEnding records the end of a target's response to the request that was sent to it at a time.
func (req *Request) recordEnding(x *upstream.Exchange, t *Target, sentAt time.Time) {
	req.Ending = Ending{Framing: x.Framing, Stop: req.stops.at(t, sentAt)}
}

// began records that a target may have begun to work on the request. It writes nothing if this
// is recorded already: a migration that outlives its stream would otherwise race with the reads
// at the end of the stream.
func (req *Request) began() {
	if !req.mayHaveRun {
		req.mayHaveRun = true
	}
}

// Fingerprint identifies the request among those that its customer sends again. It must not be
// called before the request has been admitted and its stream's origin is resolved.
func (req *Request) Fingerprint() quarantine.Fingerprint { return req.identity.Fingerprint() }

// customerID returns the customer's ID, empty on a public route.
func (req *Request) customerID() api.CustomerID {
	if req.Customer == nil {
		return ""
	}
	return req.Customer.Name
}

// callerGone reports whether the caller has closed its connection.
func (req *Request) callerGone() bool { return req.httpRequest.Context().Err() != nil }

// detachWork lets the work on a call that must not be repeated outlive its caller, until end is called or
// its deadline: if it were broken off, its outcome would be unknown, also to a caller that has closed
// only its sending side and waits for the answer.
func (req *Request) detachWork(ctx context.Context) (end context.CancelFunc) {
	if req.Route.Kind != routeconf.KindOnce {
		return func() {}
	}
	req.work, end = context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	return end
}

// workContext returns the context of the work at a target, for a request that is served under ctx.
func (req *Request) workContext(ctx context.Context) context.Context { return cmp.Or(req.work, ctx) }

// headerBytes returns the least number of bytes in which the fields can have been sent: without a space after the colon,
// which is optional.
func headerBytes(h http.Header) int {
	const separators = len(":\r\n")
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// requestURI returns the path and query as the caller sent them.
func requestURI(hr *http.Request) string {
	if strings.HasPrefix(hr.RequestURI, "/") {
		return hr.RequestURI
	}
	return hr.URL.RequestURI() // a request line in absolute form
}

// deadline returns when the caller's patience or the route's timeout expires, whichever is
// first.
func deadline(req *Request) time.Time {
	limit := req.Route.Timeout
	if p := req.Ask.Patience; p > 0 && p < limit {
		limit = p
	}
	return req.Arrived.Add(limit)
}

// growthWindow is how far ahead the growth of a stream is counted, in tokens: what an engine
// generates for one stream in about two seconds. Most streams end long before their maximum
// length, and the caller's estimate is often far off. If streams were counted at their full
// length, engines that are half empty would look full.
const growthWindow = 256

// expectedTokens returns the KV cache, in tokens, that a generation occupies within the next
// seconds once it has generated made tokens.
func expectedTokens(a *Ask, made int) int {
	return a.PromptTokens + made + min(growthWindow, max(a.MaxTokens-made, 0))
}
