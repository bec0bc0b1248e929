package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/upstream"
)

// Settings holds the settings of a Relay.
type Settings struct {
	Zone api.Zone
	// Regions maps availability zones to regions; empty if the regions are unknown.
	Regions map[api.Zone]api.Region
	// CallerStall is the longest time for which a caller may read nothing of a response that
	// is ready; zero for the default.
	CallerStall time.Duration
	// CallerMemory bounds the memory, in bytes, that callers which do not read may occupy
	// together; zero for no bound.
	CallerMemory int64
}

// Ports holds the dependencies of a Relay.
type Ports struct {
	// Live holds the configuration in force, nil until the first one arrives.
	Live *atomic.Pointer[routeconf.Table]
	// Newest confirms refusals; if it is nil, the configuration in force counts as the newest.
	Newest  Newest
	Targets *Targets
	Pool    *upstream.Pool
	Dialect Dialect
	Engines Engines
	Retries *Retries
	// LimitReports reports the rate limits of targets to the control group.
	LimitReports *LimitReports
	// Quarantine holds the requests to refuse; if it is nil, the Relay goes by what it observes
	// itself.
	Quarantine *crash.Quarantine
	// Origins finds which software began a stream; if it is nil, streams can be taken up only at this
	// entry.
	Origins  Origins
	Observer Observer
	// Bodies is the memory of request bodies; if it is nil, the Relay keeps its own part of CallerMemory for them.
	Bodies *inbound.Memory
	// Connections returns the memory of the open connections of callers in bytes; nil for unknown.
	Connections func() int64
}

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	settings     Settings
	live         *atomic.Pointer[routeconf.Table]
	newest       Newest
	targets      *Targets
	pool         *upstream.Pool
	dialect      Dialect
	engines      Engines
	retries      *Retries
	limitReports *LimitReports
	obs          Observer
	costRanks    *costRanks
	prefill      *prefillRates
	paces        *paces
	returns      *returns
	moves        *moveEstimates
	crashes      *crashMonitor
	runQuestions runQuestions
	// leftRuns are the runs that their streams have left.
	leftRuns   leftRuns
	quarantine *crash.Quarantine
	origins    Origins
	callers    *callerMemory
	// draining is closed when the instance begins to drain.
	draining   chan struct{}
	startDrain sync.Once
}

// New returns a Relay.
func New(settings Settings, p Ports) *Relay {
	if p.Quarantine == nil {
		p.Quarantine = crash.NewQuarantine(nil, p.Observer)
	}
	if p.Origins == nil {
		p.Origins = origins.NewClient()
	}
	r := &Relay{
		settings: settings, live: p.Live, newest: p.Newest, targets: p.Targets, pool: p.Pool, dialect: p.Dialect,
		engines: p.Engines, retries: p.Retries, limitReports: p.LimitReports, obs: p.Observer, costRanks: newCostRanks(), prefill: newPrefillRates(), returns: newReturns(),
		paces: newPaces(), moves: newMoveEstimates(),
		quarantine: p.Quarantine, origins: p.Origins, callers: newCallerMemory(settings.CallerMemory, p.Bodies, p.Connections),
		draining: make(chan struct{}),
	}
	r.crashes = newCrashMonitor(p.Pool, r.targetCrashed)
	r.runQuestions.ctx, r.runQuestions.cancel = context.WithCancel(context.Background())
	p.Targets.ObserveFaults(p.Observer)
	return r
}

// targetCrashed reports the crash of a target with the requests that were in progress there.
func (r *Relay) targetCrashed(t *Target, lost []LostRequest) {
	r.obs.TargetCrashed(t, lost)
	list := make([]crash.Lost, len(lost))
	for i, l := range lost {
		list[i] = crash.Lost{Identity: l.Request.identity, InProgress: l.InProgress}
	}
	r.quarantine.Crashed(quarantine.Crash{Target: t.Target, Service: t.Service, Born: t.Born, Targets: len(r.targets.Of(t.Service))}, list)
}

// Retry-After values for refused requests, used if no better value is known.
const (
	// retryNoConfig: an entry that has just started receives its configuration within a second.
	retryNoConfig = time.Second
	// retryNoTarget: targets announce themselves about once a second.
	retryNoTarget = 700 * time.Millisecond
	// retryBusy: a full target has a free slot after a fraction of a second.
	retryBusy = 300 * time.Millisecond
	// retryRoom to twice that: the memory of engines stays scarce until the streams that occupy
	// it end, which takes some seconds. The random part keeps callers that were refused
	// together from retrying together.
	retryRoom = 2 * time.Second
	// retryElsewhere: other instances serve the request at once.
	retryElsewhere = 50 * time.Millisecond
)

// retryAfter returns the time after which there is likely to be room for the request.
func retryAfter(req *Request) time.Duration {
	if !req.Route.Generates {
		return retryBusy
	}
	spread := retryRoom + time.Duration(rand.Float64()*float64(retryRoom))
	// Callers retry only within a fraction of their patience.
	return min(spread, time.Until(req.Deadline)/patienceDivisor)
}

// Drain lets no request wait for room any more: those that wait are refused, so that their callers are
// served by other instances, and would not be cut off when this one exits. Responses ask callers to close
// their connections.
func (r *Relay) Drain() { r.startDrain.Do(func() { close(r.draining) }) }

func (r *Relay) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

// Stop ends what outlives requests. No request may be in progress.
func (r *Relay) Stop() {
	r.crashes.stop()
	r.runQuestions.stop()
	r.quarantine.Stop()
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	caller := newCallerResponse(w, r.callers, cmp.Or(r.settings.CallerStall, callerStallTimeout))
	defer caller.release()
	defer func() { r.callers.releaseBody(caller.requestBytes + caller.responseBytes) }()
	caller.close = r.isDraining
	defer func() {
		if !caller.complete && !hr.ProtoAtLeast(1, 1) {
			caller.reset()
		}
	}()
	r.serve(&Request{Arrived: time.Now(), received: received{httpRequest: hr, writer: caller}})
	if !caller.complete {
		// The server would complete the response: with status 200 if nothing has been written.
		panic(http.ErrAbortHandler)
	}
}

// serve answers a request.
func (r *Relay) serve(req *Request) {
	hr := req.httpRequest
	if !r.admit(req) {
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), req.Deadline)
	defer cancel()
	if !r.resolveOrigin(ctx, req) {
		return
	}
	req.identity = &crash.Identity{
		Customer: req.customerID(), Host: req.Route.Host, Method: hr.Method, URI: req.uri, Body: req.body, Service: req.Service, Parts: req.Ask.Parts,
	}
	if r.refuseQuarantined(req) {
		return
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	endWork := req.detachWork(ctx)
	defer endWork()
	defer r.quarantine.Begin(req.identity, func(cause error) {
		end(cause)
		endWork()
	})()
	req.writer.limit = req.Deadline.Add(writeGrace)
	r.awaitTargets(ctx, req)
	if req.Route.Kind == routeconf.KindStream {
		r.stream(ctx, req)
	} else {
		r.plain(ctx, req)
	}
}

// writeGrace is how long after the deadline the response to a timeout may be written.
const writeGrace = 300 * time.Millisecond

// admit determines the route, service and customer of a request, and reads its body. If it
// returns false, the request has been answered.
func (r *Relay) admit(req *Request) bool {
	hr := req.httpRequest
	ask, err := r.dialect.Ask(hr.Header)
	if err != nil {
		return r.refuse(req, http.StatusBadRequest, api.ReasonBadRequest, 0)
	}
	req.Ask = ask
	table := r.awaitConfig(req)
	if table == nil {
		return r.refuse(req, http.StatusServiceUnavailable, api.ReasonNoConfig, retryNoConfig)
	}
	req.uri = requestURI(hr)
	if table = r.find(req, table); table == nil {
		return false
	}
	req.Deadline = deadline(req)
	req.Service = req.Route.Pick(rand.Float64())
	req.tokens = expectedTokens(&req.Ask, 0)
	req.costRank = r.costRanks.rank(req.Service, cost(&req.Ask, req.tokens))
	return r.readBody(req, table.Config.Limits)
}

const (
	// startupWait is how long a request waits while this entry has no configuration, or knows
	// no target of its service. After a start both arrive within a second, so that a caller
	// that was refused would be served later than one that waits.
	startupWait = 1200 * time.Millisecond
	// startupPoll is the interval at which a waiting request checks for them.
	startupPoll = 25 * time.Millisecond
	// patienceDivisor bounds the wait to this fraction, 1/patienceDivisor, of the caller's
	// patience: the rest suffices to serve the request, or for the caller to retry.
	patienceDivisor = 3
)

// awaitConfig returns the configuration in force. If there is none yet, it waits for the first
// one, but no longer than a fraction of the caller's patience; it returns nil if none arrives.
func (r *Relay) awaitConfig(req *Request) *routeconf.Table {
	table := r.live.Load()
	if table != nil {
		return table
	}
	wait := startupWait
	if p := req.Ask.Patience / patienceDivisor; p > 0 {
		wait = min(wait, p)
	}
	waitUntil(req.httpRequest.Context(), wait, startupPoll, func() bool {
		table = r.live.Load()
		return table != nil
	})
	return table
}

// awaitTargets waits until a target of the request's service is known, for a limited time.
func (r *Relay) awaitTargets(ctx context.Context, req *Request) {
	known := func() bool { return len(r.targets.Of(req.Service)) > 0 }
	if known() {
		return
	}
	waitUntil(ctx, time.Until(startupDeadline(req)), startupPoll, known)
}

// startupDeadline returns until when a request waits for what an entry that has just started still has to
// learn.
func startupDeadline(req *Request) time.Time {
	wait := startupWait
	if p := req.Ask.Patience / patienceDivisor; p > 0 {
		wait = min(wait, p)
	}
	return req.Arrived.Add(wait)
}

// waitUntil polls done at an interval until it returns true, wait has passed or ctx ends.
func waitUntil(ctx context.Context, wait, interval time.Duration, done func() bool) {
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
	hr := req.httpRequest
	body := io.Reader(hr.Body)
	if limits.BodyBytes > 0 {
		body = http.MaxBytesReader(req.writer.ResponseWriter, hr.Body, int64(limits.BodyBytes))
	}
	control := http.NewResponseController(req.writer)
	_ = control.SetReadDeadline(req.Deadline)
	abort := func() { _ = control.SetReadDeadline(time.Now()) } // test writers have no deadline
	b, err := r.callers.bodies.ReadBody(body, hr.ContentLength, abort)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		req.body, req.writer.requestBytes = b, cap(b)
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return r.refuseBody(req, limits)
	}
	req.writer.Header().Set("Connection", "close")
	if errors.Is(err, inbound.ErrBodyMemory) {
		return r.refuse(req, http.StatusServiceUnavailable, api.ReasonQueueFull, retryBusy)
	}
	return r.refuse(req, http.StatusRequestTimeout, api.ReasonTimeout, 0)
}

// refuse answers a request that has not been run, and returns false.
func (r *Relay) refuse(req *Request, status int, reason api.Reason, retry time.Duration) bool {
	r.obs.Refused(req, status, reason)
	r.writeError(req, status, reason, retry)
	return false
}

// writeError writes an error response of the entry's own.
func (r *Relay) writeError(req *Request, status int, reason api.Reason, retry time.Duration) {
	h := req.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	text := string(reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	req.writer.WriteHeader(status)
	_, err := io.WriteString(req.writer, text)
	req.writer.complete = err == nil
	r.obs.Ended(req, status, string(reason))
}

// failCancelled answers a request whose caller has closed its connection. A caller that has closed only
// its sending side looks the same, and reads the answer.
func (r *Relay) failCancelled(req *Request) {
	if r.writeStoredFailure(req) {
		return
	}
	if !req.mayHaveRun {
		r.writeError(req, http.StatusServiceUnavailable, api.ReasonCancelled, retryBusy)
		return
	}
	r.writeError(req, http.StatusGatewayTimeout, api.ReasonCancelled, 0)
}

// upstreamHeader returns the header for a target: the caller's fields without the hop-by-hop
// ones, and the entry's directive.
func (r *Relay) upstreamHeader(req *Request, d Directive) http.Header {
	h := make(http.Header, len(req.httpRequest.Header)+4)
	for name, values := range req.httpRequest.Header {
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

// copyResponseHeader copies the header of a target's response, without hop-by-hop fields.
func copyResponseHeader(to http.Header, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	dropHopHeaders(to)
}
