package entry

import (
	"context"
	"errors"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// ResumePoint is the position in an answer from which a returning caller continues.
type ResumePoint struct {
	Target     api.TargetID
	Generation api.GenerationID
	Offset     uint64
}

// gone returns the error of a caller that comes back for an answer which is not to be had here.
func (p ResumePoint) gone(detail string) *api.Error {
	return &api.Error{
		Step: api.StepRoute, Peer: string(p.Target), Outcome: api.OutcomeUnknown, Reason: api.ReasonTargetGone,
		Err: errors.New(detail),
	}
}

// Resume attaches a returning caller to the generation that it had begun to
// receive, at this or another entry. The agent checks that the request is the
// customer's own.
func (e *Entry) Resume(ctx context.Context, r *Request, from ResumePoint) (*Answer, error) {
	p := e.peers.get(from.Target)
	if p == nil {
		return nil, from.gone("the target that holds the answer is not linked here")
	}
	a := newAnswer()
	a.recv = stream.NewReceiverAt(from.Generation, from.Offset)
	a.offset = from.Offset
	a.acked = from.Offset
	d := newDispatch(r, a, 0, p, e.obs)
	if !e.dispatches.add(d) {
		return nil, from.gone("no such request")
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	e.work.Go(func() {
		defer a.cancel(nil)
		end := e.followResumed(ctx, a, d)
		e.obs.Ended(r, end)
		a.finish(end)
	})
	return a, nil
}

// followResumed requests the rest of the answer and waits for its end.
func (e *Entry) followResumed(ctx context.Context, a *Answer, d *dispatch) End {
	defer e.dispatches.remove(d)
	a.setAck(func(off uint64) { _ = d.currentLink().Send(&wire.Ack{Key: d.key, Offset: off}) })
	defer a.setAck(nil)
	if err := d.currentLink().Send(d.resume()); err != nil {
		return AsEnd(err)
	}
	f := follower{e: e, d: d, accepted: true, deadline: stoppedTimer()}
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
