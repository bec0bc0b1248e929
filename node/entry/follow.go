package entry

import (
	"context"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// follow watches an offered request to its end.
func (e *Entry) follow(ctx context.Context, g *leg) error {
	f := follower{e: e, g: g}
	f.deadline = time.NewTimer(e.cfg.Offer)
	defer f.deadline.Stop()
	for {
		done, err := f.step(ctx)
		if done {
			return err
		}
	}
}

// stoppedTimer gives a timer that never fires unless it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// follower is the state of one leg's driver.
type follower struct {
	e        *Entry
	g        *leg
	accepted bool
	// buried is set once a tombstone was sent for an offer without an answer.
	buried   bool
	deadline *time.Timer
}

// step waits for one thing to happen. What the agent has said goes first: a final
// frame with the link's end right behind it is a whole answer, and must not wait
// for an agent that is gone.
func (f *follower) step(ctx context.Context) (bool, error) {
	select {
	case m := <-f.g.news:
		return f.news(m)
	default:
	}
	select {
	case m := <-f.g.news:
		return f.news(m)
	case <-f.g.link().Done():
		return f.reattach(ctx)
	case <-f.deadline.C:
		return f.overdue()
	case <-ctx.Done():
		return true, f.leave(ctx)
	}
}

func (f *follower) news(m wire.Message) (bool, error) {
	switch m := m.(type) {
	case *wire.Accepted:
		f.accepted = true
		f.e.placer.Succeeded(f.g.target)
		f.deadline.Stop()
	case *wire.Refused:
		err := f.e.fail(f.g, api.StepQueue, api.OutcomeNotRun, m.Reason, textError(m.Detail))
		err.RetryAfter = m.RetryAfter
		return true, err
	case *wire.Tombstoned:
		return true, f.tombstoned(m)
	case *wire.Returned:
		return true, f.e.fail(f.g, api.StepRelay, f.lost(), m.Reason, nil)
	case *wire.Final:
		return f.final(m)
	}
	return false, nil
}

func textError(s string) error {
	if s == "" {
		return nil
	}
	return errors.New(s)
}

// overdue: the agent has not answered the offer. The offer may be held up
// anywhere; a tombstone settles whether it can still start.
func (f *follower) overdue() (bool, error) {
	if f.g.heard.Load() {
		return false, nil
	}
	if f.buried {
		return true, f.e.fail(f.g, api.StepDispatch, f.lost(), api.ReasonTimeout, errors.New("agent answers neither offer nor tombstone"))
	}
	f.buried = true
	_ = f.g.link().Send(&wire.Tombstone{Key: f.g.key, Incarnation: f.g.inc})
	f.deadline.Reset(f.e.cfg.Offer)
	return false, nil
}

func (f *follower) tombstoned(m *wire.Tombstoned) error {
	if m.NotRun {
		return f.e.fail(f.g, api.StepDispatch, api.OutcomeNotRun, api.ReasonTombstoned, nil)
	}
	return f.e.fail(f.g, api.StepDispatch, f.lost(), api.ReasonTimeout, nil)
}

// final ends the leg. A completed answer is passed on only when every item has
// arrived and the checksum agrees; missing items are asked for again.
func (f *follower) final(m *wire.Final) (bool, error) {
	missing, err := f.g.answer.complete(m)
	if missing {
		f.g.refetch()
		return false, nil
	}
	_ = f.g.link().Send(&wire.Ack{Key: f.g.key, Offset: m.Count, End: true})
	if err != nil {
		return true, f.e.fail(f.g, api.StepRelay, api.OutcomeInterrupted, api.ReasonIntegrity, err)
	}
	if m.Outcome == api.OutcomeCompleted {
		return true, nil
	}
	end := f.e.fail(f.g, api.StepEngine, m.Outcome, m.Reason, textError(m.Detail))
	end.RetryAfter = m.RetryAfter
	return true, end
}

// lost is the outcome when the agent can no longer be asked.
func (f *follower) lost() api.Outcome {
	if f.g.answer.started() {
		return api.OutcomeInterrupted
	}
	return api.OutcomeUnknown
}

// reattach waits for the agent's next link. The same incarnation is asked for
// the rest; an unanswered offer is sent again, which the agent recognises by
// its key. Another incarnation knows nothing of the request: the process that
// had it is gone.
func (f *follower) reattach(ctx context.Context) (bool, error) {
	f.g.answer.setPhase(wire.PhaseStalled, 0)
	t := time.NewTimer(f.e.cfg.Relink)
	defer t.Stop()
	for {
		changed := f.e.peers.changed()
		if p := f.e.peers.get(f.g.target); p != nil {
			if p.inc != f.g.inc {
				return true, f.e.fail(f.g, api.StepLink, f.lost(), api.ReasonTargetGone, errors.New("agent has restarted"))
			}
			return f.resume(p)
		}
		select {
		case <-changed:
		case <-t.C:
			return true, f.e.fail(f.g, api.StepLink, f.lost(), api.ReasonLinkLost, errors.New("agent did not come back"))
		case <-ctx.Done():
			return true, f.leave(ctx)
		}
	}
}

func (f *follower) resume(p *peer) (bool, error) {
	f.g.relink(p.to)
	if f.accepted || f.g.heard.Load() {
		_ = p.to.Send(f.g.resume())
		f.g.answer.setPhase(wire.PhaseStarted, 0)
		return false, nil
	}
	if f.buried {
		_ = p.to.Send(&wire.Tombstone{Key: f.g.key, Incarnation: f.g.inc})
	} else {
		_ = p.to.Send(f.e.offer(f.g.req, f.g))
	}
	f.deadline.Reset(f.e.cfg.Offer)
	return false, nil
}

// stopHold leaves requests running when this entry is stopped hard: their
// callers may come back through another one, as after a crash.
const stopHold = 30 * time.Second

// leave tells the agent that the caller has gone. What the request's outcome
// was is not proved any more.
func (f *follower) leave(ctx context.Context) error {
	m := &wire.Cancel{Key: f.g.key, Hold: stopHold}
	var held callerHeld
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &held):
		m.Hold = held.hold
	case errors.Is(cause, errCallerGone):
		m.Hold = 0
	}
	_ = f.g.link().Send(m)
	return f.e.fail(f.g, api.StepDeliver, f.lost(), api.ReasonCancelled, context.Cause(ctx))
}
