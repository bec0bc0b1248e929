package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/upstream"
)

// plain serves a request whose response is a single body.
func (r *Relay) plain(ctx context.Context, req *Request) {
	r.countFirstSend(req)
	why := "first"
	for {
		p := r.pickPermitted(ctx, req)
		if p == nil {
			r.failWithoutPermit(ctx, req)
			return
		}
		req.tried = append(req.tried, p.target)
		outcome, done := r.sendPlain(ctx, req, p, why)
		if done {
			return
		}
		if req.callerGone() {
			r.failCancelled(req)
			return
		}
		if ctx.Err() != nil || req.workContext(ctx).Err() != nil {
			r.failTimeout(req)
			return
		}
		if !r.mayTryAnother(req, outcome) || !r.acquireResend(ctx, req, outcome) {
			r.failExhausted(req, outcome)
			return
		}
		why = outcome
	}
}

// sendPlain sends the request to one target; done reports that the caller has been answered.
func (r *Relay) sendPlain(ctx context.Context, req *Request, p *permit, why string) (outcome string, done bool) {
	t := p.target
	t.addRequest(0, 0)
	defer t.removeRequest(0)
	sentAt := time.Now()
	x, outcome := r.send(ctx, req, p, Directive{}, why)
	if x == nil {
		return outcome, false
	}
	defer x.Close()
	work := req.workContext(ctx)
	body, whole, err := r.readResponse(work, req, x)
	req.recordEnding(x, t, sentAt)
	if x.Status < http.StatusInternalServerError {
		r.recordRead(work, req, p, sentAt, err)
	}
	if err != nil {
		r.obs.Attempted(req, t, outcomeLost, err)
		if work.Err() == nil {
			r.crashes.responseLost(req, t, sentAt)
		}
		return outcomeLost, false
	}
	if x.Status >= http.StatusInternalServerError && whole && r.mayReplaceFailure(req) {
		req.failure = &failure{status: x.Status, header: x.Header, body: body}
		return outcomeFailed, false
	}
	r.writeResponse(req, x, body, whole)
	return Answered, true
}

// failure is an error response of a target, kept in case no other target succeeds.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// mayReplaceFailure reports whether another target may be tried after a target has answered
// with an error of its own.
func (r *Relay) mayReplaceFailure(req *Request) bool {
	return req.Route.Repeatable() && req.sends < req.Route.MaxTargets &&
		len(r.targets.Of(req.Service)) > 1 && time.Until(req.Deadline) > 0
}

// writeStoredFailure forwards the stored error response, if there is one.
func (r *Relay) writeStoredFailure(req *Request) bool {
	if req.failure == nil {
		return false
	}
	f := req.failure
	r.writeResponse(req, &upstream.Exchange{Status: f.status, Header: f.header}, f.body, true)
	return true
}

// writeResponse forwards a target's response to the caller.
func (r *Relay) writeResponse(req *Request, x *upstream.Exchange, body []byte, whole bool) {
	h := req.writer.Header()
	copyResponseHeader(h, x.Header)
	if whole {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	req.writer.WriteHeader(x.Status)
	_, err := req.writer.Write(body)
	if err == nil && !whole {
		_, err = io.Copy(req.writer, x.Body)
	}
	if err != nil {
		// The response is incomplete and must not look complete: abort the connection without
		// the last chunk.
		outcome := outcomeLost
		if req.writer.stalled {
			outcome = string(api.ReasonSlowCaller)
		}
		r.obs.Ended(req, x.Status, outcome)
		panic(http.ErrAbortHandler)
	}
	req.writer.complete = true
	r.quarantine.Ended(req.identity)
	r.obs.Ended(req, x.Status, Answered)
}

// failWithoutPermit ends a request for which no target, or no further target, may be used.
func (r *Relay) failWithoutPermit(ctx context.Context, req *Request) {
	switch {
	case req.callerGone():
		r.failCancelled(req)
	case ctx.Err() != nil:
		r.failTimeout(req)
	default:
		r.failNoTarget(req)
	}
}

// failNoTarget answers a request for which no target, or no further target, is available.
func (r *Relay) failNoTarget(req *Request) {
	if r.writeStoredFailure(req) || r.failQuarantined(req) {
		return
	}
	if req.mayHaveRun {
		r.writeError(req, http.StatusBadGateway, api.ReasonEngineDied, 0)
		return
	}
	reason, retry := r.noTargetReason(req)
	r.refuse(req, http.StatusServiceUnavailable, reason, retry)
}

// noTargetReason returns why no target is available, and the Retry-After value for it.
func (r *Relay) noTargetReason(req *Request) (api.Reason, time.Duration) {
	switch {
	case r.isDraining():
		return api.ReasonShuttingDown, retryElsewhere
	case r.noneInAllowedRegion(req):
		return api.ReasonOutsideHomes, operatorRetryAfter
	case r.targets.allEvacuated(req.Service):
		return api.ReasonZoneEvacuated, operatorRetryAfter
	case r.noneContinues(req):
		return api.ReasonVersionGone, retryFresh
	}
	now := time.Now()
	if wait, reason := r.unavailable(req, now); wait > 0 {
		spread := r.returns.spread(req, now, now.Add(wait), r.targets)
		return reason, wait + time.Duration(rand.Float64()*float64(spread))
	}
	return api.ReasonNoTarget, retryNoTarget
}

// failTimeout answers a request whose route timeout or whose caller's patience has expired.
func (r *Relay) failTimeout(req *Request) {
	if r.writeStoredFailure(req) || r.failQuarantined(req) {
		return
	}
	if !req.mayHaveRun {
		r.refuse(req, http.StatusServiceUnavailable, api.ReasonTimeout, retryBusy)
		return
	}
	r.writeError(req, http.StatusGatewayTimeout, api.ReasonTimeout, 0)
}

// failExhausted answers a request that may not be sent to another target.
func (r *Relay) failExhausted(req *Request, outcome string) {
	if r.writeStoredFailure(req) || r.failQuarantined(req) {
		return
	}
	if !req.mayHaveRun {
		if reason, _ := r.noTargetReason(req); reason != api.ReasonNoTarget {
			r.failNoTarget(req)
			return
		}
		r.refuse(req, http.StatusServiceUnavailable, api.ReasonQueueFull, retryAfter(req))
		return
	}
	reason := api.ReasonEngineDied
	if outcome == outcomeNotRun {
		reason = api.ReasonEngineRefused
	}
	r.writeError(req, http.StatusBadGateway, reason, 0)
}
