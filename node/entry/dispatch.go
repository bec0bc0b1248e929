package entry

import (
	"context"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/retry"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
)

// drive makes attempts until one completes or no other may follow.
func (e *Entry) drive(ctx context.Context, a *Answer, r *Request) End {
	e.retrier.First(r.Size.Customer, r.Arrived)
	var last *api.Error
	mayHaveRun := false
	// end returns the end of the request. The proof that the last attempt did not run covers no earlier one.
	end := func(err *api.Error) End {
		out := AsEnd(err)
		if mayHaveRun && out.Outcome == api.OutcomeNotRun {
			out.Outcome = api.OutcomeUnknown
		}
		return out
	}
	for n := api.Attempt(1); ; n++ {
		err := e.attempt(ctx, a, r, n)
		if err == nil {
			e.quarantine.Ended(r.identity)
			return End{Outcome: api.OutcomeCompleted}
		}
		failed := api.AsError(err)
		if failed.Outcome == api.OutcomeCompleted {
			return AsEnd(failed)
		}
		if ctx.Err() != nil {
			return end(e.asCancelled(ctx, r, failed))
		}
		if failed.Reason == api.ReasonQuarantined {
			return end(failed)
		}
		if last != nil && failed.Reason == api.ReasonNoTarget {
			// No target is left that has not failed this request already. The error
			// of the previous attempt tells the caller more than no_target would,
			// such as when a target will accept requests again.
			return end(last)
		}
		safeToRetry := e.safeToRetry(a, r, failed)
		again, after := e.retrier.Next(e.failedAttempt(r, n), failed, safeToRetry, e.cfg.Clock())
		if !again {
			return end(failed)
		}
		last = failed
		mayHaveRun = mayHaveRun || failed.Outcome != api.OutcomeNotRun
		e.obs.Retried(r, failed.Reason)
		if !sleep(ctx, after) {
			return end(e.asCancelled(ctx, r, failed))
		}
	}
}

// failedAttempt returns attempt n in the form that the Retrier takes.
func (e *Entry) failedAttempt(r *Request, n api.Attempt) retry.Attempt {
	at := retry.Attempt{Customer: r.Size.Customer, Number: n}
	if r.Patience > 0 {
		at.Deadline = r.Arrived.Add(r.Patience)
	}
	return at
}

// safeToRetry reports whether another attempt can do no harm. The caller must have
// received nothing, so that no two generations are mixed in one answer. In
// addition, the last attempt must be proved not to have run, or the request must be
// repeatable.
func (e *Entry) safeToRetry(a *Answer, r *Request, err *api.Error) bool {
	if a.started() {
		return false
	}
	return err.Outcome == api.OutcomeNotRun || r.Repeatable
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt places the request once and follows it to its end. A nil error means that
// it completed.
func (e *Entry) attempt(ctx context.Context, a *Answer, r *Request, n api.Attempt) error {
	if err := e.refuseQuarantined(r); err != nil {
		return err
	}
	p, err := e.place(ctx, r, n)
	if err != nil {
		return err
	}
	echo, err := e.claim(r, p, n)
	if err != nil {
		return err
	}
	tokens := r.Size.Prompt
	e.placer.Sent(p.target, tokens, e.cfg.Clock())
	defer func() { e.placer.Ended(p.target, tokens, e.cfg.Clock()) }()
	d := newDispatch(r, a, n, p, e.obs)
	d.echo = echo
	e.dispatches.add(d)
	defer e.dispatches.remove(d)
	a.setAck(func(off uint64) { _ = d.currentLink().Send(&wire.Ack{Key: d.key, Offset: off}) })
	defer a.setAck(nil)
	if err := d.link.Send(e.offer(r, d)); err != nil {
		return e.newError(d, api.StepDispatch, api.OutcomeNotRun, api.ReasonLinkLost, err)
	}
	err = e.follow(ctx, d)
	if err != nil {
		e.recordFailure(r, p.target, api.AsError(err).Reason)
	}
	return err
}

// recordFailure excludes a target that failed a request from its further attempts.
// Unless the reason is specific to the request, it also reports the failure to the
// placer, which then avoids the target for all requests for a while.
func (e *Entry) recordFailure(r *Request, id api.TargetID, reason api.Reason) {
	r.Query.Avoid = append(r.Query.Avoid, id)
	if !requestSpecific[reason] {
		e.placer.Failed(id, 0, e.cfg.Clock())
	}
}

// requestSpecific lists the reasons that say nothing about other requests to the
// target. For example, a target that cannot meet the deadline of one request may
// meet that of another.
var requestSpecific = map[api.Reason]bool{
	api.ReasonCancelled:        true,
	api.ReasonBadRequest:       true,
	api.ReasonNeverFits:        true,
	api.ReasonDeadlineHopeless: true,
	api.ReasonDuplicate:        true,
	api.ReasonTombstoned:       true,
}

// newError returns an error of the target that the dispatch went to.
func (e *Entry) newError(d *dispatch, step api.Step, o api.Outcome, reason api.Reason, err error) *api.Error {
	return &api.Error{Step: step, Peer: string(d.target), Outcome: o, Reason: reason, Err: err}
}

func (e *Entry) offer(r *Request, d *dispatch) *wire.Offer {
	return &wire.Offer{
		Key:         d.key,
		Incarnation: d.inc,
		Size:        e.size(r),
		Service:     r.Service,
		Method:      r.Method,
		Path:        r.Path,
		Headers:     r.Headers,
		Body:        r.Body,
		Repeatable:  r.Repeatable,
		Timeout:     r.Timeout,
		Claimed:     r.Claimed != nil,
		Echo:        d.echo,
	}
}

// claim obtains the grant for a request that must not be repeated. It returns the
// latest reading of the agent's clock, which the dispatch carries back to the
// agent. The reading is taken before the entry checks its own clock: if the process
// is paused for too long before the reading, the check here fails; if it is paused
// after the reading, the agent rejects the dispatch (see claim.Window).
func (e *Entry) claim(r *Request, p *peer, n api.Attempt) (time.Duration, error) {
	if r.Claimed == nil {
		return 0, nil
	}
	requestedAt := e.cfg.Clock()
	if err := r.Claimed(p.target, p.inc, n); err != nil {
		return 0, err
	}
	echo := time.Duration(p.clock.Load())
	if !claim.DefaultWindow().MayDispatch(requestedAt, e.cfg.Clock()) {
		return 0, api.NotRun(api.StepClaim, string(p.target), api.ReasonTimeout, errors.New("the grant came too late to be used"))
	}
	return echo, nil
}

// size returns the size of the request with its current age and what is left of the
// caller's patience.
func (e *Entry) size(r *Request) wire.Size {
	out := r.Size
	out.Age = e.cfg.Clock().Sub(r.Arrived)
	if r.Patience > 0 {
		out.Patience = max(r.Patience-out.Age, time.Millisecond)
	}
	return out
}

// place returns the target with the best bid. It uses the placer's first choice
// without bids if there is only one candidate or the request is for a service, and
// also if no bid arrives in time. Bids are worth a round trip because load reports
// lag behind; see docs/design/routing.md.
func (e *Entry) place(ctx context.Context, r *Request, n api.Attempt) (*peer, error) {
	query := r.Query
	query.Evacuated = e.evacuatedZones()
	candidates := e.linkedCandidates(e.placer.Choose(query, e.cfg.Clock()))
	if len(candidates) == 0 {
		return nil, e.noTarget(r)
	}
	if len(candidates) == 1 || r.Service != "" {
		return candidates[0].peer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Bid)
	defer cancel()
	key := wire.Key{Request: r.ID, Attempt: n}
	received := e.bids.collect(ctx, key, e.size(r), candidates)
	if len(received) == 0 {
		return candidates[0].peer, nil // no bids: the timeout of the offer detects an agent that does not respond
	}
	best := routing.BestBid(received)
	if best < 0 {
		for _, b := range received {
			e.recordFailure(r, b.From.ID, b.Refuse)
		}
		return nil, routing.Refusal(received)
	}
	e.cancelOtherBids(candidates, received, best, key)
	return e.peerOf(candidates, received[best].From.ID), nil
}

// cancelOtherBids releases the reservations behind the bids that were not chosen.
// Until the reservations expire, the targets would make other requests wait for
// them.
func (e *Entry) cancelOtherBids(candidates []linkedCandidate, received []routing.Bid, best int, key wire.Key) {
	for i := range received {
		if i != best && received[i].Refuse == "" {
			_ = e.peerOf(candidates, received[i].From.ID).link.Send(&wire.Cancel{Key: key})
		}
	}
}

// peerOf returns the peer of the candidate with the given ID, or of the first
// candidate if there is none with that ID.
func (e *Entry) peerOf(candidates []linkedCandidate, id api.TargetID) *peer {
	for _, c := range candidates {
		if c.cand.ID == id {
			return c.peer
		}
	}
	return candidates[0].peer
}

// linkedCandidates returns the candidates whose agents are linked, with their
// links.
func (e *Entry) linkedCandidates(cands []routing.Candidate) []linkedCandidate {
	out := make([]linkedCandidate, 0, len(cands))
	for _, c := range cands {
		if p := e.peers.get(c.ID); p != nil {
			out = append(out, linkedCandidate{c, p})
		}
	}
	return out
}

// noTargetRetry is the RetryAfter of a request that no target serves.
const noTargetRetry = time.Second

func (e *Entry) noTarget(r *Request) error {
	name := string(r.Query.Model)
	if r.Service != "" {
		name = string(r.Service)
	}
	err := api.NotRun(api.StepRoute, name, api.ReasonNoTarget, errors.New("no target serves it at the moment"))
	err.RetryAfter = noTargetRetry
	return err
}
