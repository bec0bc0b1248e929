package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondseam.dev/core/retrybudget"
	"almondseam.dev/node/upstream"
)

// What one send of a request came to, as observers are told.
const (
	// Answered is told to observers of a whole answer too.
	Answered       = "answered"
	outcomeNotSent = "not_sent" // the target has read nothing of it
	// outcomeHeldBack: nothing was sent, as others are granted all that the target bears.
	outcomeHeldBack = "held_back"
	outcomeNotRun   = "not_run"   // the target states that it did not run it
	outcomeElse     = "elsewhere" // another target has the address
	outcomeLost     = "lost"      // it may have run
	outcomeNoMove   = "no_move"   // the run could not be moved there
	outcomeFailed   = "failed"    // the target answered with a failure of its own
)

// send sends the request once, by a permit, and classifies what came back. Only with
// Answered there is an exchange, which the caller closes.
func (r *Relay) send(ctx context.Context, req *Request, p *permit, d Directive, why string) (*upstream.Exchange, string) {
	t := p.target
	if t.evacuated() {
		r.giveBack(p)
		r.obs.Attempted(req, t, outcomeNotSent, errEvacuated)
		return nil, outcomeNotSent
	}
	if !p.valid(time.Now()) {
		if _, ok := r.permit(ctx, req, t); !ok {
			return nil, outcomeHeldBack
		}
	}
	d.Target = t.Target
	if req.Customer != nil {
		d.Customer = req.Customer.Name
	}
	d.Remaining = time.Until(req.Deadline)
	d.Urgency = urgency(req)
	r.obs.Sent(req, t, why)
	began := t.sendBegins()
	x, err := r.pool.Do(ctx, t.Address, &upstream.Request{
		Method: req.caller.Method,
		URI:    req.uri,
		Host:   req.caller.Host,
		Header: r.upstreamHeader(req, d),
		Body:   req.body,
		Mine:   func(h http.Header) bool { return r.mine(req, h) },

		KeepMost: r.keepMost(t),
	})
	outcome := r.judge(ctx, req, t, x, began, err)
	if outcome != outcomeNotSent && outcome != outcomeElse {
		req.sends++
	}
	r.obs.Attempted(req, t, outcome, err)
	if outcome != Answered && x != nil {
		x.Close()
		x = nil
	}
	return x, outcome
}

// keptShare is the part of the connections that a target accepts which all entries together
// keep idle; the rest is for requests at a peak.
const keptShare = 0.5

// keepMost is how many idle connections to a target this entry may keep.
func (r *Relay) keepMost(t *Target) int {
	accepts := r.service(t.Service).Connections
	if accepts <= 0 {
		return upstream.MaxIdlePerTarget
	}
	return max(int(keptShare*float64(accepts))/r.targets.Entries(), 1)
}

// mine tells whether an answer belongs to the request: targets echo its ID.
func (r *Relay) mine(req *Request, h http.Header) bool {
	got := r.dialect.Reply(http.StatusOK, h).Request
	return got == "" || got == req.Ask.Request
}

// judge classifies what came of a send.
func (r *Relay) judge(ctx context.Context, req *Request, t *Target, x *upstream.Exchange, began sendBegan, err error) string {
	if err != nil {
		if ctx.Err() == nil {
			t.failed(time.Now())
		}
		if errors.Is(err, upstream.ErrNotSent) {
			return outcomeNotSent
		}
		req.began()
		return outcomeLost
	}
	reply := r.dialect.Reply(x.Status, x.Header)
	if reply.WrongTarget {
		// The address belongs to another target now; the one that was meant is gone.
		t.drain()
		return outcomeElse
	}
	r.learnLimit(req, t, reply, began)
	if reply.NotRun {
		return outcomeNotRun
	}
	req.began()
	t.served()
	return Answered
}

// usualUrgency is the urgency of all generations at their engines.
//
// A more urgent request takes its memory from a running stream, whose prompt is then read again.
// Ranks count where nothing is taken away: in which order requests find room from the entry.
const usualUrgency = 5

// urgency gives the engine's order of a request; below zero says none.
func urgency(req *Request) int {
	if !req.Route.Generates {
		return -1
	}
	return usualUrgency
}

func rank(req *Request) int {
	if req.Customer != nil && req.Customer.HasRank {
		return req.Customer.Rank
	}
	return req.Route.Rank
}

// mayGoOn tells whether the request may be sent to one more target after an
// outcome: never when it may have run and must not run twice.
func (r *Relay) mayGoOn(req *Request, outcome string) bool {
	if outcome == outcomeNotSent || outcome == outcomeElse || outcome == outcomeHeldBack {
		return len(req.asked) < maxLooks
	}
	if req.sends >= req.Route.MaxTargets {
		return false
	}
	return !req.mayHaveRun || req.Route.Repeatable()
}

// maxLooks bounds how many targets are tried that turn out to be unreachable.
const maxLooks = 6

// retry takes one retry from the budget; why is what it is for.
func (r *Relay) retry(ctx context.Context, req *Request, p retrybudget.Purpose, why string) (Retry, bool) {
	taken, v := r.retries.Take(ctx, req.Service, p)
	if v.OK {
		r.obs.RetryGranted(req, why, v)
	} else {
		r.obs.RetryDenied(req, why, v)
	}
	return taken, v.OK
}

// mayRetry takes one retry for a request of which its caller has nothing yet. None is
// needed where no target was sent anything.
func (r *Relay) mayRetry(ctx context.Context, req *Request, why string) bool {
	if why == outcomeHeldBack {
		return true
	}
	_, ok := r.retry(ctx, req, retrybudget.PurposeRetry, why)
	return ok
}

// firstSend counts a request towards the budget.
func (r *Relay) firstSend(req *Request) { r.retries.First(req.Service, time.Now()) }
