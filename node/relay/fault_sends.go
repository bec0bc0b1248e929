package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"almondseam.dev/core/placement"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/upstream"
)

// recordOutcome counts the outcome of a send. That of a plain response is counted by recordRead.
func (r *Relay) recordOutcome(ctx context.Context, req *Request, p *permit, outcome string, x *upstream.Exchange, sentAt time.Time) {
	t := p.target
	switch {
	case outcome == outcomeLost && ctx.Err() == nil:
		r.recordFault(req, t, failureLost)
	case outcome == Answered && x.Status >= http.StatusInternalServerError:
		r.recordFault(req, t, failureError)
		outcome = outcomeFailed
	case outcome == Answered && req.Route.Kind != routeconf.KindStream:
		return
	case outcome == Answered:
		t.recordAnswer(sentAt)
	}
	r.trialEnded(req, p, outcome)
}

// recordRead counts a plain response below status 500 after it was read, or lost while it was.
func (r *Relay) recordRead(ctx context.Context, req *Request, p *permit, sentAt time.Time, err error) {
	outcome := Answered
	switch {
	case err == nil:
		p.target.recordAnswer(sentAt)
	case ctx.Err() == nil:
		outcome = outcomeLost
		r.recordFault(req, p.target, failureLost)
	default:
		outcome = outcomeLost
	}
	r.trialEnded(req, p, outcome)
}

// trialEnded ends a trial.
func (r *Relay) trialEnded(req *Request, p *permit, outcome string) {
	if p.use == targetstate.UseTrial {
		p.target.endTrial()
		r.obs.TrialEnded(req, p.target, outcome)
	}
}

// replaceFailure keeps an engine's error response to a stream that has not begun, so that another
// engine may be tried. It reports whether one may.
func (s *streamRun) replaceFailure(l *leg) bool {
	if l.x.Status < http.StatusInternalServerError || !s.relay.mayReplaceFailure(s.req) {
		return false
	}
	body, _, err := s.relay.readResponse(s.ctx, s.req, l.x)
	if err == nil {
		s.req.failure = &failure{status: l.x.Status, header: l.x.Header, body: body}
	} else {
		s.relay.obs.Attempted(s.req, l.target, outcomeLost, err)
	}
	l.end()
	return true
}

// usual returns the use of a target for a request that the target has not begun.
func (req *Request) usual() targetstate.Use {
	if req.Route != nil && !req.Route.Repeatable() {
		return targetstate.UseOnce
	}
	return targetstate.UseNew
}

// useOf returns the use of a target that was selected for a request. A target at which this entry
// has lost an answer is selected for a request that must not run twice only if there is no other.
func (r *Relay) useOf(req *Request, t *Target) targetstate.Use {
	use, now := req.usual(), time.Now()
	if use == targetstate.UseOnce && t.state().Fault.IsHeld(now) && r.onlyHeld(req, now) {
		return targetstate.UseLast
	}
	return use
}

// withholds reports whether a target that returns is left out of a choice, so that it gets its share.
func withholds(s *targetstate.Status, now time.Time) bool {
	return !s.Fault.ReturningSince.IsZero() && rand.Float64() >= s.Fault.Share(now)
}

// allowHeld includes the targets at which this entry has lost an answer in a choice that has no
// other.
func (r *Relay) allowHeld(req *Request, list, exclude []*Target, out []placement.Candidate, now time.Time) {
	if !r.onlyHeld(req, now) {
		return
	}
	for i, t := range list {
		s := t.state()
		if s.Check(targetstate.UseLast, now) == targetstate.None && !s.IsRefused(now) && r.mayServe(req, t) && !contains(exclude, t) {
			out[i].Excluded = false
		}
	}
}

// onlyHeld reports whether all targets that may serve a request are such that this entry has lost
// an answer there.
func (r *Relay) onlyHeld(req *Request, now time.Time) bool {
	for _, t := range r.targets.Of(req.Service) {
		if r.usable(req, t, t.state(), now) {
			return false
		}
	}
	return true
}

// pickTrial selects a faulty target that is due to be tried with a request, and acquires the permit
// for it; nil if there is none. A request that another target can still answer is preferred.
func (r *Relay) pickTrial(req *Request, now time.Time) *Target {
	f := r.targets.faultsOf(req.Service)
	if f == nil {
		return nil
	}
	out := f.out.Load()
	if out == nil {
		return nil
	}
	once := !req.Route.Repeatable() || req.Route.MaxTargets < 2
	for _, t := range *out {
		s := t.state()
		if req.sends > 0 || contains(req.tried, t) || s.Check(targetstate.UseTrial, now) != targetstate.None || s.IsRefused(now) || !r.mayServe(req, t) {
			continue
		}
		if t.beginTrial(once, now) {
			return t
		}
	}
	r.obs.KeptAway(req)
	return nil
}

// beginTrial reports whether a trial may be sent to the target now, and if so begins it.
func (t *Target) beginTrial(once bool, now time.Time) bool {
	began := false
	t.update(func(s targetstate.Status) (next targetstate.Status) {
		next, began = s.BeginTrial(once, now)
		return next
	})
	return began
}

// endTrial ends a trial after its outcome was counted, or if it could not be sent.
func (t *Target) endTrial() {
	now := time.Now()
	t.update(func(s targetstate.Status) targetstate.Status { return s.EndTrial(now) })
}
