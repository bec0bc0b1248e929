package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/targetlimit"
)

// permit is the right to send one request to a target. Every send needs one: what a target
// bears in all, no entry can count alone.
type permit struct {
	target *Target
	// grants are those of the control group; empty where the target bears what comes.
	grants []Retry
}

// valid tells whether the permit may still be used.
func (p *permit) valid(now time.Time) bool {
	for i := range p.grants {
		if !p.grants[i].valid(now) {
			return false
		}
	}
	return true
}

// errHeldBack reports a send that was held back because the group has granted others all that
// the target bears.
var errHeldBack = errors.New("others are granted all the requests that the target bears")

// permit takes the right to send a request to a target, false if there is none for now: the
// target is then passed over for a while.
//
// A target that is cold, or that names a limit, seems empty to every entry, and each alone sends
// little. Grants are entries of the replicated log, so that the sum holds however many entries
// there are and whatever they know of each other. An entry without an answer sends nothing.
func (r *Relay) permit(ctx context.Context, req *Request, t *Target) (*permit, bool) {
	p := &permit{target: t}
	if r.withinLimit(ctx, req, p) && r.mayStart(ctx, req, p) {
		return p, true
	}
	r.giveBack(p)
	r.obs.Attempted(req, t, outcomeHeldBack, errHeldBack)
	return nil, false
}

// giveBack returns a permit that was not used.
func (r *Relay) giveBack(p *permit) {
	for _, g := range p.grants {
		r.retries.GiveBack(g)
	}
	p.grants = nil
}

// withinLimit takes the grant for a request to a target that names a limit.
func (r *Relay) withinLimit(ctx context.Context, req *Request, p *permit) bool {
	t := p.target
	limit := t.view().Current
	if !limit.Limited {
		return true
	}
	grant, v := r.retries.ForTarget(ctx, retrybudget.PurposeLimited, t.Service, t.Target, limit.Rate)
	if v.OK {
		p.grants = append(p.grants, grant)
	} else if ctx.Err() == nil {
		t.passOverFor(targetlimit.RetryDelay(limit.Rate, r.targets.Entries(), v.RetryAfter, rand.Float64()))
	}
	r.obs.LimitedSend(req, t, limit, v)
	return v.OK
}

// mayStart takes the grant for a request to a target that is cold.
func (r *Relay) mayStart(ctx context.Context, req *Request, p *permit) bool {
	t := p.target
	rate := r.service(t.Service).ColdRate
	if rate <= 0 || !r.cold(t, time.Now()) {
		return true
	}
	grant, v := r.retries.ForTarget(ctx, retrybudget.PurposeColdStart, t.Service, t.Target, rate)
	if v.OK {
		p.grants = append(p.grants, grant)
	} else if ctx.Err() == nil {
		t.passOverFor(refusedFor)
	}
	r.obs.ColdStart(req, t, v)
	return v.OK
}

// heldBackFor gives how long the targets are passed over that a request could go to, zero if
// there are none or one is not.
func (r *Relay) heldBackFor(req *Request, now time.Time) time.Duration {
	soonest := time.Duration(0)
	for _, t := range r.targets.Of(req.Service) {
		if !r.inUse(req, t) || contains(req.asked, t) {
			continue
		}
		left := time.Duration(t.heldBackTill.Load() - now.UnixNano())
		if left <= 0 {
			return 0
		}
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// passOverFor leaves the target alone for a while, as the group has refused a request to it.
func (t *Target) passOverFor(d time.Duration) { t.heldBackTill.Store(time.Now().Add(d).UnixNano()) }

// heldBack tells whether the group has just refused a request to the target.
func (t *Target) heldBack(now time.Time) bool { return now.UnixNano() < t.heldBackTill.Load() }
