package entry

import (
	"context"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/wire"
)

// follow waits for the end of a request that was offered to an agent. A nil error
// means that it completed.
func (e *Entry) follow(ctx context.Context, d *dispatch) error {
	f := follower{e: e, d: d}
	f.deadline = time.NewTimer(e.cfg.Offer)
	defer f.deadline.Stop()
	for {
		done, err := f.step(ctx)
		if done {
			return err
		}
	}
}

// stoppedTimer returns a timer that does not fire unless it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// follower is the state of the goroutine that drives one dispatch.
type follower struct {
	e *Entry
	d *dispatch
	// accepted is set once the goroutine has processed the agent's Accepted, or if
	// the dispatch resumes an accepted request.
	accepted bool
	// tombstoneSent is set once a tombstone was sent because the offer got no
	// answer.
	tombstoneSent bool
	// offeredAgain is set once the offer was sent again on another link. refusal is the agent's refusal of that
	// offer, until the agent has answered the tombstone.
	offeredAgain bool
	refusal      error
	// deadline fires when the answer to the offer or the tombstone is overdue.
	deadline *time.Timer
}

// step waits for one event and processes it. It returns true when the dispatch has
// ended. Messages that have arrived are processed before the loss of the link: if
// the final frame arrived just before the link closed, the answer is complete and
// must not wait for an agent that is gone.
func (f *follower) step(ctx context.Context) (bool, error) {
	select {
	case m := <-f.d.received:
		return f.received(m)
	default:
	}
	select {
	case m := <-f.d.received:
		return f.received(m)
	case <-f.d.currentLink().Done():
		return f.reattach(ctx)
	case <-f.deadline.C:
		return f.offerTimedOut()
	case <-ctx.Done():
		return true, f.cancelWork(ctx)
	}
}

// received processes one message of the agent. It returns true when the dispatch has
// ended.
func (f *follower) received(m wire.Message) (bool, error) {
	switch m := m.(type) {
	case *wire.Accepted:
		f.accepted = true
		f.e.placer.Succeeded(f.d.target)
		f.deadline.Stop()
	case *wire.Refused:
		err := f.e.newError(f.d, api.StepQueue, api.OutcomeNotRun, m.Reason, textError(m.Detail))
		err.RetryAfter = m.RetryAfter
		return f.refused(err)
	case *wire.Tombstoned:
		return f.tombstoned(m)
	case *wire.ResumeRefused:
		return true, f.e.newError(f.d, api.StepRelay, f.lostOutcome(), m.Reason, nil)
	case *wire.Head:
		return true, f.badHead(m)
	case *wire.Final:
		return f.final(m)
	}
	return false, nil
}

// refused handles the refusal of an offer. An agent that refuses an offer which was sent again may yet accept the
// first one: that may still wait for the reader of the agent's old link. Only the answer to a tombstone proves then
// that the request does not start.
func (f *follower) refused(refusal error) (bool, error) {
	if !f.offeredAgain {
		return true, refusal
	}
	f.refusal = refusal
	f.sendTombstone()
	return false, nil
}

// textError returns an error with text s, or nil if s is empty.
func textError(s string) error {
	if s == "" {
		return nil
	}
	return errors.New(s)
}

// offerTimedOut is called when the agent has not answered the offer in time. It
// does nothing if Accepted has arrived and only waits to be processed. The offer
// may be delayed anywhere on its way, so the first call sends a tombstone, whose
// answer says whether the request ran or can still start. If that gets no answer in
// time either, the dispatch ends.
func (f *follower) offerTimedOut() (bool, error) {
	if f.d.acceptReceived.Load() {
		return false, nil
	}
	if f.tombstoneSent {
		// Without this a run that has started would go on, though no caller waits for it.
		f.cancel(&wire.Cancel{Key: f.d.key})
		return true, f.e.newError(f.d, api.StepDispatch, f.lostOutcome(), api.ReasonTimeout, errors.New("agent answers neither offer nor tombstone"))
	}
	f.sendTombstone()
	return false, nil
}

func (f *follower) sendTombstone() {
	f.tombstoneSent = true
	_ = f.d.currentLink().Send(&wire.Tombstone{Key: f.d.key, Incarnation: f.d.inc})
	// An agent that is slow gets as long as one whose link is lost.
	f.deadline.Reset(f.e.cfg.Relink)
}

// tombstoned handles the agent's answer to a tombstone. A request that the agent has accepted is
// followed as if its offer had been answered in time.
func (f *follower) tombstoned(m *wire.Tombstoned) (bool, error) {
	if m.NotRun && f.refusal != nil {
		return true, f.refusal
	}
	if m.NotRun {
		return true, f.e.newError(f.d, api.StepDispatch, api.OutcomeNotRun, api.ReasonTombstoned, nil)
	}
	if !f.accepted {
		f.accepted = true
		_ = f.d.currentLink().Send(f.d.resume())
	}
	f.deadline.Stop()
	return false, nil
}

// final ends the dispatch. A completed answer counts as complete only if every item
// has arrived and the checksum matches. Missing items are requested again.
func (f *follower) final(m *wire.Final) (bool, error) {
	missing, err := f.d.answer.complete(m)
	if missing {
		f.d.requestMissing()
		return false, nil
	}
	_ = f.d.currentLink().Send(&wire.Ack{Key: f.d.key, Offset: m.Count, End: true})
	if err != nil {
		return true, f.e.newError(f.d, api.StepRelay, api.OutcomeInterrupted, api.ReasonIntegrity, err)
	}
	if m.Outcome == api.OutcomeCompleted {
		return true, nil
	}
	if m.Crash != nil {
		f.e.targetCrashed(f.d, m.Crash)
	}
	end := f.e.newError(f.d, api.StepEngine, m.Outcome, m.Reason, textError(m.Detail))
	end.RetryAfter = m.RetryAfter
	return true, end
}

// lostOutcome returns the outcome of a request whose end at the agent is not known:
// interrupted if the caller may have received a part of the answer, otherwise
// unknown.
func (f *follower) lostOutcome() api.Outcome {
	if f.d.answer.started() {
		return api.OutcomeInterrupted
	}
	return api.OutcomeUnknown
}

// reattach waits for the agent to link again. If its incarnation is the same, the
// dispatch continues on the new link. Another incarnation knows nothing of the
// request. The process that had it is usually gone, but may also run on, as after the
// wait has ended without an agent.
func (f *follower) reattach(ctx context.Context) (bool, error) {
	f.d.answer.setPhase(wire.PhaseStalled, 0)
	t := time.NewTimer(f.e.cfg.Relink)
	defer t.Stop()
	for {
		changed := f.e.peers.changed()
		// The link that has ended may still be in the table.
		if p := f.e.peers.get(f.d.target); p != nil && p.link != f.d.currentLink() {
			if p.inc != f.d.inc {
				f.leave()
				return true, f.e.newError(f.d, api.StepLink, f.lostOutcome(), api.ReasonTargetGone, errors.New("agent has restarted"))
			}
			return f.resume(p)
		}
		select {
		case <-changed:
		case <-t.C:
			f.leave()
			return true, f.e.newError(f.d, api.StepLink, f.lostOutcome(), api.ReasonLinkLost, errors.New("agent did not come back"))
		case <-ctx.Done():
			return true, f.cancelWork(ctx)
		}
	}
}

// cancel sends a cancellation, and sends it again once the agent links anew if it cancels at once: the link may be lost
// with the message on its way.
func (f *follower) cancel(m *wire.Cancel) {
	_ = f.d.currentLink().Send(m)
	// A resumption that the agent has not accepted may name another customer's request.
	if m.Hold == 0 && (f.d.key.Attempt != 0 || f.d.acceptReceived.Load()) {
		f.e.leaveRun(f.d)
	}
}

// leave stops an abandoned attempt once its agent links again.
func (f *follower) leave() {
	if f.useless() {
		f.e.leaveRun(f.d)
	}
}

// useless reports whether the rest of an abandoned attempt cannot be used: its caller cannot resume it, and the request
// is not one that runs to its end.
func (f *follower) useless() bool {
	return f.d.req.Repeatable && !(f.d.req.Resumable && f.d.answer.started())
}

// resume continues the dispatch on the agent's new link. It requests the rest of an
// accepted request. Otherwise it sends the offer or the tombstone again; the agent
// recognises a repeated offer by its key.
func (f *follower) resume(p *peer) (bool, error) {
	f.d.relink(p.link)
	if f.accepted || f.d.acceptReceived.Load() {
		_ = p.link.Send(f.d.resume())
		f.d.answer.setPhase(wire.PhaseStarted, 0)
		return false, nil
	}
	if f.tombstoneSent {
		_ = p.link.Send(&wire.Tombstone{Key: f.d.key, Incarnation: f.d.inc})
	} else {
		f.offeredAgain = true
		_ = p.link.Send(f.e.offer(f.d.req, f.d))
	}
	f.deadline.Reset(f.e.cfg.Offer)
	return false, nil
}

// shutdownHold is how long agents keep requests running after this entry was
// stopped without draining. Their callers may come back through another entry, as
// after a crash.
const shutdownHold = 30 * time.Second

// cancelWork tells the agent that the caller has gone, and returns the error that
// ends the dispatch. It does not wait for the agent, so the outcome of the request
// is not proved.
func (f *follower) cancelWork(ctx context.Context) error {
	m := &wire.Cancel{Key: f.d.key, Hold: shutdownHold}
	if f.d.key.Attempt == 0 {
		m.Customer = f.d.req.Size.Customer
	}
	var detached callerDetached
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &detached):
		m.Hold = detached.hold
	case errors.Is(cause, errCallerGone), errors.Is(cause, crash.ErrQuarantined):
		m.Hold = 0
	}
	if f.useless() {
		m.Hold = 0
	}
	f.cancel(m)
	return f.e.newError(f.d, api.StepDeliver, f.lostOutcome(), api.ReasonCancelled, context.Cause(ctx))
}
