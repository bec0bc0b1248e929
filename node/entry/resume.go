package entry

import (
	"context"
	"errors"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// ResumePoint is where a caller that comes back had got to.
type ResumePoint struct {
	Target     api.TargetID
	Generation api.GenerationID
	Offset     uint64
}

// Resume attaches a returning caller to the generation it had begun to receive,
// through whichever entry it comes. The agent checks that the customer is the
// one that made the request.
func (e *Entry) Resume(ctx context.Context, r *Request, from ResumePoint) (*Answer, error) {
	p := e.peers.get(from.Target)
	if p == nil {
		return nil, &api.Error{Step: api.StepRoute, Peer: string(from.Target), Outcome: api.OutcomeUnknown, Reason: api.ReasonTargetGone, Err: errors.New("the target that holds the answer is not linked here")}
	}
	a := newAnswer()
	a.recv = stream.NewReceiverAt(from.Generation, from.Offset)
	a.off = from.Offset
	a.acked = from.Offset
	g := newLeg(r, a, 0, p, e.obs)
	if !e.legs.add(g) {
		return nil, &api.Error{Step: api.StepRoute, Peer: string(from.Target), Outcome: api.OutcomeUnknown, Reason: api.ReasonTargetGone, Err: errors.New("no such request")}
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	e.work.Go(func() {
		defer a.cancel(nil)
		end := e.followResumed(ctx, a, g)
		e.obs.Ended(r, end)
		a.finish(end)
	})
	return a, nil
}

func (e *Entry) followResumed(ctx context.Context, a *Answer, g *leg) End {
	defer e.legs.remove(g)
	a.setAck(func(off uint64) { _ = g.link().Send(&wire.Ack{Key: g.key, Offset: off}) })
	defer a.setAck(nil)
	if err := g.link().Send(g.resume()); err != nil {
		return AsEnd(err)
	}
	f := follower{e: e, g: g, accepted: true, deadline: stoppedTimer()}
	for {
		done, err := f.step(ctx)
		if !done {
			continue
		}
		if err != nil {
			return AsEnd(err)
		}
		return End{Outcome: api.OutcomeCompleted}
	}
}
