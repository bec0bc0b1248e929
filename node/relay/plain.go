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

// maxWhole is the largest answer that is read whole before the caller is given
// any of it. A longer one is passed on as it comes, and a break ends the caller's
// connection before its end.
const maxWhole = 256 << 10

// plain serves a request whose answer is one body.
func (r *Relay) plain(ctx context.Context, req *Request) {
	r.firstSend(req)
	why := "first"
	for {
		p := r.placePermitted(ctx, req)
		if p == nil {
			r.nonePermitted(ctx, req)
			return
		}
		req.asked = append(req.asked, p.target)
		outcome, done := r.tryPlain(ctx, req, p, why)
		if done {
			return
		}
		if req.callerGone() {
			r.gone(req)
			return
		}
		if ctx.Err() != nil {
			r.timedOut(req)
			return
		}
		if !r.mayGoOn(req, outcome) || !r.mayRetry(ctx, req, outcome) {
			r.exhausted(req, outcome)
			return
		}
		why = outcome
	}
}

// tryPlain sends the request to one target; done tells that the caller has been
// answered.
func (r *Relay) tryPlain(ctx context.Context, req *Request, p *permit, why string) (outcome string, done bool) {
	t := p.target
	t.hold(0, 0)
	defer t.release(0)
	x, outcome := r.send(ctx, req, p, Directive{}, why)
	if x == nil {
		return outcome, false
	}
	defer x.Close()
	body, whole, err := readUpTo(x.Body, maxWhole)
	if err != nil {
		r.obs.Attempted(req, t, outcomeLost, err)
		return outcomeLost, false
	}
	if x.Status >= http.StatusInternalServerError && whole && r.betterElsewhere(req) {
		req.failure = &failure{status: x.Status, header: x.Header, body: body}
		return outcomeFailed, false
	}
	r.answer(req, x, body, whole)
	return Answered, true
}

// failure is a target's own failure, kept in case that no other target does
// better.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// betterElsewhere tells whether a target's own failure is better replaced by
// another target's answer.
func (r *Relay) betterElsewhere(req *Request) bool {
	return req.Route.Repeatable() && req.sends < req.Route.MaxTargets &&
		len(r.targets.Of(req.Service)) > 1 && time.Until(req.Deadline) > 0
}

// readUpTo reads a body whole if it is not longer than limit.
func readUpTo(from io.Reader, limit int64) (b []byte, whole bool, err error) {
	b, err = io.ReadAll(io.LimitReader(from, limit))
	if err != nil || int64(len(b)) == limit {
		return b, false, err
	}
	return b, true, nil
}

// answerFailure passes the kept failure on, if there is one.
func (r *Relay) answerFailure(req *Request) bool {
	if req.failure == nil {
		return false
	}
	f := req.failure
	r.answer(req, &upstream.Exchange{Status: f.status, Header: f.header}, f.body, true)
	return true
}

// answer passes a target's answer on.
func (r *Relay) answer(req *Request, x *upstream.Exchange, body []byte, whole bool) {
	h := req.out.Header()
	copyAnswerHead(h, x.Header)
	if whole {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	req.out.WriteHeader(x.Status)
	_, err := req.out.Write(body)
	if err == nil && !whole {
		_, err = io.Copy(req.out, x.Body)
	}
	if err != nil {
		// The answer is not whole, and must not look so: the connection ends
		// without the last chunk.
		r.obs.Ended(req, x.Status, outcomeLost)
		panic(http.ErrAbortHandler)
	}
	r.obs.Ended(req, x.Status, Answered)
}

// nonePermitted ends a request that may be sent to no target (any more).
func (r *Relay) nonePermitted(ctx context.Context, req *Request) {
	switch {
	case req.callerGone():
		r.gone(req)
	case ctx.Err() != nil:
		r.timedOut(req)
	default:
		r.noTarget(req)
	}
}

// noTarget answers when no target may be asked (any more).
func (r *Relay) noTarget(req *Request) {
	if r.answerFailure(req) {
		return
	}
	if req.mayHaveRun {
		r.fail(req, http.StatusBadGateway, api.ReasonEngineDied, 0)
		return
	}
	reason, retry := r.whyNoTarget(req)
	r.refuse(req, http.StatusServiceUnavailable, reason, retry)
}

// whyNoTarget tells why no target may be asked, and when asking again makes sense.
func (r *Relay) whyNoTarget(req *Request) (api.Reason, time.Duration) {
	switch {
	case r.outsideHomes(req):
		return api.ReasonOutsideHomes, retryOperator
	case r.targets.allEvacuated(req.Service):
		return api.ReasonZoneEvacuated, retryOperator
	}
	if wait := r.heldBackFor(req, time.Now()); wait > 0 {
		// Spread, callers that were refused together do not come back together.
		return api.ReasonTargetLimit, wait + time.Duration(rand.Float64()*float64(wait))
	}
	return api.ReasonNoTarget, retryNoTarget
}

// timedOut answers when the route's timeout or the caller's patience has passed.
func (r *Relay) timedOut(req *Request) {
	if r.answerFailure(req) {
		return
	}
	if !req.mayHaveRun {
		r.refuse(req, http.StatusServiceUnavailable, api.ReasonTimeout, retryBusy)
		return
	}
	r.fail(req, http.StatusGatewayTimeout, api.ReasonTimeout, 0)
}

// exhausted answers when no more targets may be tried.
func (r *Relay) exhausted(req *Request, outcome string) {
	if r.answerFailure(req) {
		return
	}
	if !req.mayHaveRun {
		if reason, _ := r.whyNoTarget(req); reason != api.ReasonNoTarget {
			r.noTarget(req)
			return
		}
		r.refuse(req, http.StatusServiceUnavailable, api.ReasonQueueFull, retryAfter(req))
		return
	}
	reason := api.ReasonEngineDied
	if outcome == outcomeNotRun {
		reason = api.ReasonEngineRefused
	}
	r.fail(req, http.StatusBadGateway, reason, 0)
}
