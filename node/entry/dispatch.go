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

// drive makes attempts until one completes or none may follow.
func (e *Entry) drive(ctx context.Context, a *Answer, r *Request) End {
	e.retrier.First(r.Size.Customer, r.Arrived)
	var last *api.Error
	for n := api.Attempt(1); ; n++ {
		err := e.attempt(ctx, a, r, n)
		if err == nil {
			return End{Outcome: api.OutcomeCompleted}
		}
		failed := api.AsError(err)
		if failed.Outcome == api.OutcomeCompleted {
			return AsEnd(failed)
		}
		if ctx.Err() != nil {
			return AsEnd(e.callerLeft(failed))
		}
		if last != nil && failed.Reason == api.ReasonNoTarget {
			// Only targets that have failed this request are left: their answer
			// says when to come back, and that there is none would not.
			return AsEnd(last)
		}
		movable := e.movable(a, r, failed)
		again, after := e.retrier.Next(e.failedAttempt(r, n), failed, movable, e.cfg.Clock())
		if !again {
			return AsEnd(failed)
		}
		last = failed
		e.obs.Retried(r, failed.Reason)
		if !sleep(ctx, after) {
			return AsEnd(e.callerLeft(failed))
		}
	}
}

func (e *Entry) failedAttempt(r *Request, n api.Attempt) retry.Attempt {
	at := retry.Attempt{Customer: r.Size.Customer, Number: n}
	if r.Patience > 0 {
		at.Deadline = r.Arrived.Add(r.Patience)
	}
	return at
}

// movable tells whether a further attempt can do no harm: the last one is
// proved not to have run, or the request may be repeated and nothing of it was
// received, so that no two generations can meet in one answer.
func (e *Entry) movable(a *Answer, r *Request, err *api.Error) bool {
	if a.started() {
		return false
	}
	return err.Outcome == api.OutcomeNotRun || r.Repeatable
}

// callerLeft keeps the proof of not_run, if there is one, for the record.
func (e *Entry) callerLeft(err *api.Error) *api.Error {
	left := *err
	left.Reason = api.ReasonCancelled
	return &left
}

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

// attempt places the request once and follows it to its end. A nil error means
// completed.
func (e *Entry) attempt(ctx context.Context, a *Answer, r *Request, n api.Attempt) error {
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
	g := newLeg(r, a, n, p, e.obs)
	g.echo = echo
	e.legs.add(g)
	defer e.legs.remove(g)
	a.setAck(func(off uint64) { _ = g.link().Send(&wire.Ack{Key: g.key, Offset: off}) })
	defer a.setAck(nil)
	if err := g.to.Send(e.offer(r, g)); err != nil {
		return e.fail(g, api.StepDispatch, api.OutcomeNotRun, api.ReasonLinkLost, err)
	}
	err = e.follow(ctx, g)
	if err != nil {
		e.refusedBy(r, p.target, api.AsError(err).Reason)
	}
	return err
}

// refusedBy keeps a request from going back to a target that failed it, and
// puts the target aside for all when the reason is not the request's own.
func (e *Entry) refusedBy(r *Request, id api.TargetID, reason api.Reason) {
	r.Query.Avoid = append(r.Query.Avoid, id)
	if !ownReason[reason] {
		e.placer.Failed(id, 0, e.cfg.Clock())
	}
}

// ownReason lists the reasons that say nothing about the target's next request:
// what is hopeless for one deadline is in time for another.
var ownReason = map[api.Reason]bool{
	api.ReasonCancelled:        true,
	api.ReasonBadRequest:       true,
	api.ReasonNeverFits:        true,
	api.ReasonDeadlineHopeless: true,
	api.ReasonDuplicate:        true,
	api.ReasonTombstoned:       true,
}

func (e *Entry) fail(g *leg, step api.Step, o api.Outcome, reason api.Reason, err error) *api.Error {
	return &api.Error{Step: step, Peer: string(g.target), Outcome: o, Reason: reason, Err: err}
}

func (e *Entry) offer(r *Request, g *leg) *wire.Offer {
	return &wire.Offer{
		Key:         g.key,
		Incarnation: g.inc,
		Size:        e.size(r),
		Service:     r.Service,
		Method:      r.Method,
		Path:        r.Path,
		Headers:     r.Headers,
		Body:        r.Body,
		Repeatable:  r.Repeatable,
		Timeout:     r.Timeout,
		Claimed:     r.Claimed != nil,
		Echo:        g.echo,
	}
}

// claim asks for the grant of a call that must not be repeated, and gives the
// agent's clock reading that goes with the dispatch. The reading is taken before
// this entry looks at its own clock: a stop before it shows here, and one after
// it at the agent (see claim.Window).
func (e *Entry) claim(r *Request, p *peer, n api.Attempt) (time.Duration, error) {
	if r.Claimed == nil {
		return 0, nil
	}
	asked := e.cfg.Clock()
	if err := r.Claimed(p.target, p.inc, n); err != nil {
		return 0, err
	}
	echo := time.Duration(p.clock.Load())
	if !claim.DefaultWindow().MayDispatch(asked, e.cfg.Clock()) {
		return 0, api.NotRun(api.StepClaim, string(p.target), api.ReasonTimeout, errors.New("the grant came too late to be used"))
	}
	return echo, nil
}

// size is the request's size with its age and what is left of its patience.
func (e *Entry) size(r *Request) wire.Size {
	z := r.Size
	z.Age = e.cfg.Clock().Sub(r.Arrived)
	if r.Patience > 0 {
		z.Patience = max(r.Patience-z.Age, time.Millisecond)
	}
	return z
}

// place chooses the target: the best of the bids, or the only candidate there
// is. The bids are worth their round trip because load reports are late; see
// docs/design/routing.md.
func (e *Entry) place(ctx context.Context, r *Request, n api.Attempt) (*peer, error) {
	query := r.Query
	query.Evacuated = e.evacuatedZones()
	ask := e.linked(e.placer.Choose(query, e.cfg.Clock()))
	if len(ask) == 0 {
		return nil, e.noTarget(r)
	}
	if len(ask) == 1 || r.Service != "" {
		return ask[0].peer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Bid)
	defer cancel()
	key := wire.Key{Request: r.ID, Attempt: n}
	got := e.bids.collect(ctx, key, e.size(r), ask)
	if len(got) == 0 {
		return ask[0].peer, nil // all silent: the offer's own deadline decides
	}
	best := routing.BestBid(got)
	if best < 0 {
		for _, b := range got {
			e.refusedBy(r, b.From.ID, b.Refuse)
		}
		return nil, routing.Refusal(got)
	}
	e.release(ask, got, best, key)
	return e.chosen(ask, got[best].From.ID), nil
}

// release gives back the places that the other bids keep. Until their time is
// over, requests of others would be told to wait for them.
func (e *Entry) release(ask []asked, got []routing.Bid, best int, key wire.Key) {
	for i := range got {
		if i != best && got[i].Refuse == "" {
			_ = e.chosen(ask, got[i].From.ID).to.Send(&wire.Cancel{Key: key})
		}
	}
}

func (e *Entry) chosen(ask []asked, id api.TargetID) *peer {
	for _, a := range ask {
		if a.cand.ID == id {
			return a.peer
		}
	}
	return ask[0].peer
}

func (e *Entry) linked(cands []routing.Candidate) []asked {
	out := make([]asked, 0, len(cands))
	for _, c := range cands {
		if p := e.peers.get(c.ID); p != nil {
			out = append(out, asked{c, p})
		}
	}
	return out
}

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
