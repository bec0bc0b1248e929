package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/upstream"
)

// Outcomes of one send of a request, as reported to the observer.
const (
	// Answered is also reported as the outcome of a request that was answered.
	Answered       = "answered"
	outcomeNotSent = "not_sent" // the target has read nothing of the request
	// outcomeHeldBack: nothing was sent, because of the target's condition or because the control
	// group granted no request to the target.
	outcomeHeldBack    = "held_back"
	outcomeNotRun      = "not_run"   // the target states that it did not run the request
	outcomeWrongTarget = "elsewhere" // another target has the address
	outcomeLost        = "lost"      // the response was lost, and the request may have been run
	// outcomeQuarantined: nothing was sent, because the request crashes targets.
	outcomeQuarantined = "quarantined"
	// outcomeOtherSoftware: nothing was sent, because the target may run other software than the one
	// that began the request's stream.
	outcomeOtherSoftware = "other_software"
	// outcomeOtherRun: nothing was sent, because another run of the target answers, which has not been
	// announced.
	outcomeOtherRun = "other_run"
	// outcomeUnknownRun: the target has answered a request that continues a stream, and it is not known
	// which run of the target serves it.
	outcomeUnknownRun = "unknown_run"
	// outcomeOccupied: nothing was sent, because an engine that the stream has left may still work on the
	// request.
	outcomeOccupied = "occupied"
	outcomeNoMove   = "no_move" // the run could not be moved there
	outcomeFailed   = "failed"  // the target answered with an error of its own
)

// send sends the request once, under a permit, and classifies the result. It returns an
// exchange, which the caller of send must close, only if the outcome is Answered.
func (r *Relay) send(ctx context.Context, req *Request, p *permit, d Directive, why string) (*upstream.Exchange, string) {
	t := p.target
	if t.evacuated() {
		r.releasePermit(p)
		r.obs.Attempted(req, t, outcomeNotSent, errEvacuated)
		return nil, outcomeNotSent
	}
	if err := req.checkSoftware(t); err != nil {
		r.releasePermit(p)
		r.obs.Attempted(req, t, outcomeOtherSoftware, err)
		return nil, outcomeOtherSoftware
	}
	if !p.valid(time.Now()) {
		if _, ok := r.permit(ctx, req, t, p.use); !ok {
			return nil, outcomeHeldBack
		}
	}
	if r.mayGoOn(req, d) {
		if err := r.askFirst(ctx, req, t); err != nil {
			r.releasePermit(p)
			r.obs.Attempted(req, t, outcomeOtherRun, err)
			return nil, outcomeOtherRun
		}
	}
	d.Target = t.Target
	d.Customer = req.customerID()
	d.Remaining = time.Until(req.Deadline)
	d.Urgency = urgency(req)
	if err := r.check(t, p.use); err != nil {
		r.releasePermit(p)
		r.obs.Attempted(req, t, outcomeHeldBack, err)
		return nil, outcomeHeldBack
	}
	var since time.Time
	if r.mayGoOn(req, d) {
		since = t.runs.known // an older connection may lead to another run
	}
	r.obs.Sent(req, t, why)
	req.identity.SentTo(t.Target)
	sentAt := time.Now()
	p.sentAt = sentAt
	x, reply, err := r.exchange(ctx, req, t, p.use, t.newSendStart(false), &upstream.Request{
		Method:  req.httpRequest.Method,
		URI:     req.uri,
		Host:    req.httpRequest.Host,
		Header:  r.upstreamHeader(req, d),
		Body:    req.body,
		Context: req.work,
		Match:   func(status int, h http.Header) bool { return r.ownsResponse(req, status, h) },
		Opened: func(o upstream.Opening) {
			p.opening = o
			if !since.IsZero() {
				r.proveRun(req, t, o)
			}
		},
		ConfirmEnd:  func(ctx context.Context) error { return r.confirmEnd(ctx, req, t, sentAt) },
		OpenedSince: since,
		MaxIdle:     r.maxIdleConns(t),
	})
	work := req.workContext(ctx)
	outcome := r.classify(ctx, req, t, reply, err)
	if outcome == outcomeHeldBack || outcome == outcomeQuarantined {
		r.releasePermit(p)
	}
	if mayHaveReadIt(outcome) {
		req.sends++
	}
	r.obs.Attempted(req, t, outcome, err)
	r.recordOutcome(work, req, p, outcome, x, sentAt)
	if outcome == outcomeLost && work.Err() == nil {
		r.crashes.responseLost(req, t, sentAt)
	}
	if outcome != Answered && x != nil {
		x.Close()
		x = nil
	}
	return x, outcome
}

// mayGoOn reports whether a stream may be continued elsewhere after its target has ended, or is
// continued at its target.
func (r *Relay) mayGoOn(req *Request, d Directive) bool {
	return req.Route.Kind == routeconf.KindStream && (req.Route.Resumable || d.CopyTo != "" || d.CopyFrom.ID != "")
}

// idleConnShare is the fraction of the connections accepted by a target that all entries
// together keep idle; the rest is left for peaks.
const idleConnShare = 0.5

// maxIdleConns returns how many idle connections to a target this entry may keep.
func (r *Relay) maxIdleConns(t *Target) int {
	accepts := r.service(t.Service).Connections
	if accepts <= 0 {
		return upstream.MaxIdlePerTarget
	}
	return max(int(idleConnShare*float64(accepts))/r.targets.EntryCount(), 1)
}

// ownsResponse reports whether a response belongs to the request: targets echo the request ID. A success
// without an ID is no target's answer to any request, unless it is sealed.
func (r *Relay) ownsResponse(req *Request, status int, h http.Header) bool {
	reply := r.dialect.Reply(status, h)
	if reply.Request == "" {
		return !isSuccess(status) || reply.Sealed
	}
	return reply.Request == req.Ask.Request
}

func isSuccess(status int) bool { return status/100 == http.StatusOK/100 }

// errUnsealed reports a success without the target's seal: the request may have run, and its answer is
// lost.
var errUnsealed = fmt.Errorf("%w: the success has no seal", upstream.ErrLost)

// classify determines the outcome of a send, and updates the target and the request
// accordingly.
func (r *Relay) classify(ctx context.Context, req *Request, t *Target, reply Reply, err error) string {
	switch {
	case isNotAdmitted(err):
		return outcomeHeldBack
	case errors.Is(err, errEvacuated):
		return outcomeNotSent
	case errors.Is(err, crash.ErrQuarantined):
		return outcomeQuarantined
	case errors.Is(err, upstream.ErrNotSent):
		if ctx.Err() == nil {
			t.recordFailure(time.Now())
		}
		return outcomeNotSent
	case err != nil:
		if req.workContext(ctx).Err() == nil {
			t.recordFailure(time.Now())
		}
		req.began()
		return outcomeLost
	}
	if reply.WrongTarget {
		// Another target has the address now, so the selected one is gone.
		t.drain()
		return outcomeWrongTarget
	}
	if reply.NotRun {
		return outcomeNotRun
	}
	req.began()
	t.recordSuccess()
	return Answered
}

// generationUrgency is the urgency of all generations at their engines.
//
// An engine takes the memory for a more urgent request from a running stream, whose prompt must
// then be processed again. So ranks have an effect only where nothing is preempted: in the
// order in which waiting requests get room from the entry.
const generationUrgency = 5

// urgency returns the request's urgency at the engine, negative if it is not sent.
func urgency(req *Request) int {
	if !req.Route.Generates {
		return -1
	}
	return generationUrgency
}

func rank(req *Request) int {
	if req.Customer != nil && req.Customer.HasRank {
		return req.Customer.Rank
	}
	return req.Route.Rank
}

// mayHaveReadIt reports whether the target may have read the request after an outcome.
func mayHaveReadIt(outcome string) bool {
	switch outcome {
	case outcomeNotSent, outcomeWrongTarget, outcomeHeldBack, outcomeQuarantined, outcomeOtherSoftware, outcomeOtherRun, outcomeOccupied:
		return false
	}
	return true
}

// mayTryAnother reports whether the request may be sent to another target after an outcome:
// never if it may have been run and must not be run twice.
func (r *Relay) mayTryAnother(req *Request, outcome string) bool {
	if outcome == outcomeQuarantined || outcome == outcomeOccupied {
		return false
	}
	if !mayHaveReadIt(outcome) {
		return len(req.tried) < maxTargetTries
	}
	if req.sends >= req.Route.MaxTargets {
		return false
	}
	return !req.mayHaveRun || req.Route.Repeatable()
}

// maxTargetTries bounds how many targets are tried for a request while none has read it.
const maxTargetTries = 6

// acquireRetry acquires one retry from the budget; why is the reason for the send.
func (r *Relay) acquireRetry(ctx context.Context, req *Request, p retrybudget.Purpose, why string) (Retry, bool) {
	taken, v := r.retries.Take(ctx, req.Service, p)
	if v.OK {
		r.obs.RetryGranted(req, why, v)
	} else {
		r.obs.RetryDenied(req, why, v)
	}
	return taken, v.OK
}

// acquireResend acquires one retry for a request whose caller has received nothing yet. After
// outcomeHeldBack, outcomeOtherSoftware and outcomeOtherRun none is needed, because nothing was sent.
func (r *Relay) acquireResend(ctx context.Context, req *Request, why string) bool {
	if why == outcomeHeldBack || why == outcomeOtherSoftware || why == outcomeOtherRun {
		return true
	}
	_, ok := r.acquireRetry(ctx, req, retrybudget.PurposeRetry, why)
	return ok
}

// countFirstSend counts a request towards the retry budget.
func (r *Relay) countFirstSend(req *Request) { r.retries.First(req.Service, time.Now()) }
