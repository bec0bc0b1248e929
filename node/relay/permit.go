package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/upstream"
)

// permit is the right to send one request to a target. Every send needs one, because no entry
// alone can count the requests that a target receives in total.
type permit struct {
	target *Target
	use    targetstate.Use
	// grants are from the control group; empty if the target is neither cold nor rate limited.
	grants []Retry
	// opening is that of the connection on which the request was sent, zero before.
	opening upstream.Opening
	// sentAt is when the request was sent, zero before.
	sentAt time.Time
}

// valid reports whether the permit may still be used.
func (p *permit) valid(now time.Time) bool {
	for i := range p.grants {
		if !p.grants[i].valid(now) {
			return false
		}
	}
	return true
}

// errHeldBack reports a send that was skipped because the control group has granted all of the
// target's capacity to other requests.
var errHeldBack = errors.New("the target's capacity is granted to other requests")

// permit acquires the right to send a request to a target. It returns false if there is
// none at present; the target is then excluded for a while.
//
// A target that is cold or announces a rate limit seems idle to every entry, even when all
// entries together overload it, because each of them sends only a few requests. Grants are
// recorded in the replicated log, so that their total is bounded however many entries there are
// and whatever they know of each other. An entry that gets no answer from the control group
// sends nothing.
func (r *Relay) permit(ctx context.Context, req *Request, t *Target, use targetstate.Use) (*permit, bool) {
	p := &permit{target: t, use: use}
	if err := r.check(t, use); err != nil {
		r.releasePermit(p)
		r.obs.Attempted(req, t, outcomeHeldBack, err)
		return nil, false
	}
	if r.acquireLimitGrant(ctx, req, p) && r.acquireColdGrant(ctx, req, p) {
		return p, true
	}
	r.releasePermit(p)
	r.obs.Attempted(req, t, outcomeHeldBack, errHeldBack)
	return nil, false
}

// releasePermit returns the grants of a permit that was not used.
func (r *Relay) releasePermit(p *permit) {
	if p.use == targetstate.UseTrial {
		p.target.endTrial()
	}
	for _, g := range p.grants {
		r.retries.GiveBack(g)
	}
	p.grants = nil
}

// acquireLimitGrant acquires the grant that a request to a rate-limited target needs.
func (r *Relay) acquireLimitGrant(ctx context.Context, req *Request, p *permit) bool {
	t := p.target
	limit := t.view().Current
	if !limit.Limited {
		return true
	}
	grant, v := r.retries.ForTarget(ctx, retrybudget.PurposeLimited, t.Service, t.Target, limit.Rate)
	if v.OK {
		p.grants = append(p.grants, grant)
	} else if ctx.Err() == nil {
		t.refuse(targetlimit.RetryDelay(limit.Rate, r.targets.EntryCount(), v.RetryAfter, rand.Float64()))
	}
	r.obs.LimitedSend(req, t, limit, v)
	return v.OK
}

// acquireColdGrant acquires the grant that a request to a cold target needs.
func (r *Relay) acquireColdGrant(ctx context.Context, req *Request, p *permit) bool {
	t := p.target
	rate := r.service(t.Service).ColdRate
	if rate <= 0 || !r.isCold(t, time.Now()) {
		return true
	}
	grant, v := r.retries.ForTarget(ctx, retrybudget.PurposeColdStart, t.Service, t.Target, rate)
	if v.OK {
		p.grants = append(p.grants, grant)
	} else if ctx.Err() == nil {
		t.refuse(maxRefusalTime)
	}
	r.obs.ColdStart(req, t, v)
	return v.OK
}

// unavailable returns the time until the first of the request's targets is available again, and
// why none is. It returns zero if one is available or if none is known to become available. A
// target that was tried counts only while it is unavailable: it will not be tried again, but
// serves the caller's next request.
func (r *Relay) unavailable(req *Request, now time.Time) (soonest time.Duration, reason api.Reason) {
	for _, t := range r.targets.Of(req.Service) {
		if !r.eligible(req, t) {
			continue
		}
		s := t.state()
		left := s.UnavailableFor(now)
		if left == 0 && contains(req.tried, t) {
			continue
		}
		if left == 0 {
			return 0, ""
		}
		if soonest == 0 || left < soonest {
			soonest, reason = left, api.ReasonTargetLimit
			if s.Check(targetstate.UseNew, now) == targetstate.Backoff {
				reason = api.ReasonTargetBackoff
			}
		}
	}
	return soonest, reason
}
