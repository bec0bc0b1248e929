package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/upstream"
)

// Settings of a Relay.
type Settings struct {
	Zone api.Zone
	// Regions are the regions by availability zone; empty where they aren't known.
	Regions map[api.Zone]api.Region
}

// Ports of a Relay.
type Ports struct {
	// Live is the configuration in force; nil in it means none yet.
	Live    *atomic.Pointer[routeconf.Table]
	Targets *Targets
	Pool    *upstream.Pool
	Dialect Dialect
	Engines Engines
	Retries *Retries
	// LimitReports tell the control group of targets' limits.
	LimitReports *LimitReports
	Observer     Observer
}

// Relay handles callers' requests.
type Relay struct {
	set          Settings
	live         *atomic.Pointer[routeconf.Table]
	targets      *Targets
	pool         *upstream.Pool
	dialect      Dialect
	engines      Engines
	retries      *Retries
	limitReports *LimitReports
	obs          Observer
	lengths      *lengths
	reading      *readingSpeeds
}

// New makes a relay.
func New(set Settings, p Ports) *Relay {
	return &Relay{
		set: set, live: p.Live, targets: p.Targets, pool: p.Pool, dialect: p.Dialect,
		engines: p.Engines, retries: p.Retries, limitReports: p.LimitReports, obs: p.Observer, lengths: newLengths(), reading: newReadingSpeeds(),
	}
}

// Retry-After values of refusals, where nothing better is known.
const (
	// retryNoConfig: an entry that has just started gets its configuration within a
	// second.
	retryNoConfig = time.Second
	// retryNoTarget: targets announce themselves every second or so.
	retryNoTarget = 700 * time.Millisecond
	// retryBusy: a full target has a free place after a fraction of a second.
	retryBusy = 300 * time.Millisecond
	// retryRoom to twice that: memory of engines is scarce for as long as the
	// streams last that hold it, some seconds. Spread, callers that were refused
	// together do not come back together.
	retryRoom = 2 * time.Second
)

// retryAfter tells a caller when there is likely to be room.
func retryAfter(req *Request) time.Duration {
	if !req.Route.Generates {
		return retryBusy
	}
	spread := retryRoom + time.Duration(rand.Float64()*float64(retryRoom))
	// Callers come back within a part of their patience only.
	return min(spread, time.Until(req.Deadline)/patienceShare)
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	req := &Request{Arrived: time.Now(), received: received{caller: hr, out: w}}
	if !r.admit(req) {
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), req.Deadline)
	defer cancel()
	control := http.NewResponseController(w)
	// A caller that does not read would hold this goroutine past the deadline.
	_ = control.SetWriteDeadline(req.Deadline.Add(writeGrace))
	r.awaitTargets(ctx, req)
	if req.Route.Kind == routeconf.KindStream {
		r.stream(ctx, req)
	} else {
		r.plain(ctx, req)
	}
	_ = control.SetWriteDeadline(time.Time{})
}

// writeGrace lets the answer to a timeout out after the deadline itself.
const writeGrace = 300 * time.Millisecond

// admit finds route, service and customer, and reads the body. On false the
// request has been answered.
func (r *Relay) admit(req *Request) bool {
	hr := req.caller
	ask, err := r.dialect.Ask(hr.Header)
	if err != nil {
		return r.refuse(req, http.StatusBadRequest, api.ReasonBadRequest, 0)
	}
	req.Ask = ask
	table := r.awaitConfig(req)
	if table == nil {
		return r.refuse(req, http.StatusServiceUnavailable, api.ReasonNoConfig, retryNoConfig)
	}
	req.Version = table.Config.Version
	if limit := table.Config.Limits.HeaderBytes; limit > 0 && headerBytes(hr.Header) > limit {
		return r.refuse(req, http.StatusRequestHeaderFieldsTooLarge, api.ReasonTooLarge, 0)
	}
	req.uri = requestURI(hr)
	path, _, _ := strings.Cut(req.uri, "?")
	req.Route = table.Route(hr.Host, path)
	if req.Route == nil {
		return r.refuse(req, http.StatusNotFound, api.ReasonUnknownService, 0)
	}
	if table.Config.HasCustomers && !req.Route.Public {
		req.Customer = table.Customer(ask.Key)
		if req.Customer == nil {
			return r.refuse(req, http.StatusUnauthorized, api.ReasonUnauthenticated, 0)
		}
	}
	req.Deadline = deadline(req)
	req.Service = req.Route.Pick(rand.Float64())
	req.tokens = expectedTokens(&req.Ask, 0)
	req.length = r.lengths.rank(req.Service, cost(&req.Ask, req.tokens))
	return r.readBody(req, table.Config.Limits)
}

const (
	// startWait is how long a request is held while this entry has no configuration
	// or knows no target of its service, which after a start is over within a
	// second: refused, the caller would come back later than it is served now.
	startWait = 1200 * time.Millisecond
	// startLook is the interval at which that is checked.
	startLook = 25 * time.Millisecond
	// patienceShare is the part of a caller's patience that it may be held for, one
	// in so many: what is left is enough to be served, or to come back.
	patienceShare = 3
)

// awaitConfig gives the configuration in force; after a start it waits for the
// first one, but no longer than a share of the caller's patience.
func (r *Relay) awaitConfig(req *Request) *routeconf.Table {
	table := r.live.Load()
	if table != nil {
		return table
	}
	wait := startWait
	if p := req.Ask.Patience / patienceShare; p > 0 {
		wait = min(wait, p)
	}
	hold(req.caller.Context(), wait, startLook, func() bool {
		table = r.live.Load()
		return table != nil
	})
	return table
}

// awaitTargets waits for the first target of a service to be known.
func (r *Relay) awaitTargets(ctx context.Context, req *Request) {
	known := func() bool { return len(r.targets.Of(req.Service)) > 0 }
	if known() {
		return
	}
	wait := time.Until(req.Arrived.Add(startWait))
	if p := req.Ask.Patience / patienceShare; p > 0 {
		wait = min(wait, time.Until(req.Arrived.Add(p)))
	}
	hold(ctx, wait, startLook, known)
}

// hold waits until done, which it checks at an interval, for some time at most.
func hold(ctx context.Context, wait, interval time.Duration, done func() bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	look := time.NewTicker(interval)
	defer look.Stop()
	for !done() {
		select {
		case <-look.C:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) readBody(req *Request, limits routeconf.Limits) bool {
	hr := req.caller
	body := io.Reader(hr.Body)
	if limits.BodyBytes > 0 {
		body = http.MaxBytesReader(req.out, hr.Body, int64(limits.BodyBytes))
	}
	control := http.NewResponseController(req.out)
	_ = control.SetReadDeadline(req.Deadline)
	b, err := io.ReadAll(body)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		req.body = b
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return r.refuse(req, http.StatusRequestEntityTooLarge, api.ReasonTooLarge, 0)
	}
	req.out.Header().Set("Connection", "close")
	return r.refuse(req, http.StatusRequestTimeout, api.ReasonTimeout, 0)
}

// refuse answers a request that has not run, and gives false.
func (r *Relay) refuse(req *Request, status int, reason api.Reason, retry time.Duration) bool {
	r.obs.Refused(req, status, reason)
	r.fail(req, status, reason, retry)
	return false
}

// fail writes an answer of the system's own.
func (r *Relay) fail(req *Request, status int, reason api.Reason, retry time.Duration) {
	h := req.out.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	text := string(reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	req.out.WriteHeader(status)
	_, _ = io.WriteString(req.out, text) // a caller that has left needs no answer
	r.obs.Ended(req, status, string(reason))
}

// gone notes the end of a request whose caller has left.
func (r *Relay) gone(req *Request) { r.obs.Ended(req, 0, string(api.ReasonCancelled)) }

// upstreamHeader gives the headers for a target: the caller's own but for those
// of one connection, and the system's directive.
func (r *Relay) upstreamHeader(req *Request, d Directive) http.Header {
	h := make(http.Header, len(req.caller.Header)+4)
	for name, values := range req.caller.Header {
		h[name] = values
	}
	dropHopHeaders(h)
	r.dialect.Direct(h, d)
	return h
}

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func dropHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// copyAnswerHead gives the caller the headers of a target's answer.
func copyAnswerHead(to http.Header, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	dropHopHeaders(to)
}
