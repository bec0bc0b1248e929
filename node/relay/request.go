package relay

import (
	"net/http"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
)

// Request is one request of a caller on its way: what came, what was decided by the
// configuration, and what became of it so far.
type Request struct {
	Ask      Ask
	Arrived  time.Time
	Deadline time.Time
	// Stream tells how its stream goes, if it has one.
	Stream StreamStats

	received
	decision
	progress
}

// received is the request as the caller sent it.
type received struct {
	caller *http.Request
	out    http.ResponseWriter
	uri    string
	body   []byte
}

// decision is what the configuration, and what is known of earlier requests, says of
// the request. It does not change any more.
type decision struct {
	Route    *routeconf.Route
	Service  api.ServiceID
	Customer *routeconf.Customer
	// Version is that of the configuration by which it was decided.
	Version uint64
	// tokens is the memory that it is expected to take at an engine.
	tokens int
	// length is the rank of its likely length among those of late, 0 to 1.
	length float64
}

// progress is what became of the request so far.
type progress struct {
	// asked are the targets that the request was meant for; sends counts those
	// that may have read it.
	asked []*Target
	sends int
	// failure is a target's own failure that another target may do better than.
	failure *failure
	// mayHaveRun is set once a target may have begun to work on it.
	mayHaveRun bool
}

// StreamStats tell how a stream went, for metrics and logs.
type StreamStats struct {
	// First is the time from the request's arrival to its first event.
	First      time.Duration
	LongestGap time.Duration
	Events     int
	// Migrations is how often the stream went on elsewhere.
	Migrations int
}

// began notes that a target may have begun to work on the request. A migration that outlives its
// stream finds it noted already and writes nothing, as the stream's end may be reading it.
func (req *Request) began() {
	if !req.mayHaveRun {
		req.mayHaveRun = true
	}
}

// callerGone tells whether the caller has closed its connection.
func (req *Request) callerGone() bool { return req.caller.Context().Err() != nil }

// headerBytes is the size of a request's headers as they came, but for spaces.
func headerBytes(h http.Header) int {
	const separators = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// requestURI gives path and query as the caller sent them.
func requestURI(hr *http.Request) string {
	if strings.HasPrefix(hr.RequestURI, "/") {
		return hr.RequestURI
	}
	return hr.URL.RequestURI() // a request line in absolute form
}

// deadline is when the caller gives up, or the route's timeout if that is sooner.
func deadline(req *Request) time.Time {
	limit := req.Route.Timeout
	if p := req.Ask.Patience; p > 0 && p < limit {
		limit = p
	}
	return req.Arrived.Add(limit)
}

// growthAhead is how far ahead a stream's growth is counted, in tokens: what an
// engine makes for one stream in about two seconds. Most streams end long before
// the most that they may make, and the caller's guess is often far off; counted to
// their end, streams would fill engines that are half empty.
const growthAhead = 256

// expectedTokens is the memory that a generation takes within the next seconds
// once it has made so many tokens.
func expectedTokens(a *Ask, made int) int {
	return a.PromptTokens + made + min(growthAhead, max(a.MaxTokens-made, 0))
}
