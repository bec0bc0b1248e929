package agent

import (
	"errors"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// Handle processes one message from a link. The messages of one link must be
// passed in order and from one goroutine.
func (a *Agent) Handle(from sender, m wire.Message) {
	switch m := m.(type) {
	case *wire.BidRequest:
		a.onBid(from, m)
	case *wire.Offer:
		a.onOffer(from, m)
	case *wire.Ack:
		a.onAck(m)
	case *wire.Cancel:
		a.onCancel(from, m)
	case *wire.Tombstone:
		a.onTombstone(from, m)
	case *wire.Resume:
		a.onResume(from, m)
	case *wire.Drain:
		a.onDrain(m)
	case *wire.Order:
		a.onOrder(from, m)
	case *wire.Pace:
		a.onPace(from, m)
	}
}

// onDrain makes the target leave at the request of an operator. It ignores a
// message for another incarnation: such a message was meant for an earlier start
// of this agent and arrived late.
func (a *Agent) onDrain(m *wire.Drain) {
	if m.Incarnation == a.cfg.Incarnation {
		a.Leave()
	}
}

// request converts the key and the size of an offer or of a bid request to the
// request type of the Admitter.
func (a *Agent) request(k wire.Key, z wire.Size, now time.Time) admission.Request {
	r := admission.Request{
		ID:        k.Request,
		Attempt:   k.Attempt,
		Customer:  z.Customer,
		Model:     z.Model,
		Kind:      z.KindName,
		Prompt:    z.Prompt,
		MaxTokens: z.MaxTokens,
		Weight:    z.Weight,
		Arrived:   now.Add(-z.Age),
	}
	if z.Short {
		r.Class = admission.ClassTag
	}
	if z.Patience > 0 {
		r.Deadline = now.Add(z.Patience)
	}
	return r
}

func (a *Agent) onBid(from sender, m *wire.BidRequest) {
	now := a.cfg.Clock()
	a.mu.Lock()
	bid := admission.Bid{Refuse: api.ReasonTargetLeaving}
	if left := a.target.Backoff(); left > 0 && !a.leaving {
		bid = admission.Bid{Refuse: api.ReasonTargetBackoff, RetryAfter: left}
	} else if !a.leaving {
		bid = a.admitter.Bid(a.request(m.Key, m.Size, now), now)
	}
	a.mu.Unlock()
	_ = from.Send(&wire.Bid{Key: m.Key, Wait: bid.Wait, Cached: bid.Cached, Refuse: bid.Refuse, RetryAfter: bid.RetryAfter})
}

func (a *Agent) onOffer(from sender, m *wire.Offer) {
	now := a.cfg.Clock()
	a.mu.Lock()
	if s, ok := a.sessions[m.Key]; ok {
		a.mu.Unlock()
		_ = from.Send(&wire.Accepted{Key: m.Key, Generation: s.gen})
		return
	}
	if answer := a.answerEnded(m.Key); answer != nil {
		a.mu.Unlock()
		_ = from.Send(answer)
		return
	}
	v := a.decideOffer(m, now)
	if v.Refuse != "" {
		a.mu.Unlock()
		a.cfg.Observer.Refused(m.Key, v.Refuse)
		_ = from.Send(&wire.Refused{Key: m.Key, Reason: v.Refuse, RetryAfter: v.RetryAfter})
		return
	}
	s := newSession(*m, a.newGeneration(), a.replayBytes, a.cfg.MaxUnackedBytes, from, now)
	a.sessions[m.Key] = s
	a.latestKey[m.Key.Request] = m.Key
	a.mu.Unlock()
	a.cfg.Observer.Accepted(m.Key)
	_ = from.Send(&wire.Accepted{Key: m.Key, Generation: s.gen, Position: v.Position, Wait: v.Wait})
	if m.Service != "" {
		a.launch(s, 0)
		return
	}
	a.startReady(now)
}

// decideOffer accepts or refuses an offer. The caller must hold a.mu. The
// tombstone and the incarnation are checked before all else, because other
// processes may already rely on them as proof that the key does not run here.
func (a *Agent) decideOffer(m *wire.Offer, now time.Time) admission.Verdict {
	if _, dead := a.tombstones[m.Key]; dead {
		return admission.Verdict{Refuse: api.ReasonTombstoned}
	}
	if m.Incarnation != a.cfg.Incarnation {
		return admission.Verdict{Refuse: api.ReasonIncarnation}
	}
	if a.leaving {
		return admission.Verdict{Refuse: api.ReasonTargetLeaving}
	}
	if left := a.target.Backoff(); left > 0 {
		return admission.Verdict{Refuse: api.ReasonTargetBackoff, RetryAfter: left}
	}
	if m.Claimed && !claim.DefaultWindow().MayStart(m.Echo, a.uptime()) {
		return admission.Verdict{Refuse: api.ReasonTimeout}
	}
	if m.Service != "" {
		return a.decideCall()
	}
	return a.admitter.Offer(a.request(m.Key, m.Size, now), now)
}

const callRetryAfter = time.Second

func (a *Agent) decideCall() admission.Verdict {
	if a.calls >= a.cfg.MaxCalls {
		return admission.Verdict{Refuse: api.ReasonQueueFull, RetryAfter: callRetryAfter}
	}
	a.calls++
	return admission.Verdict{Queued: true}
}

// lookup returns the session with a key, or nil. Attempt 0 means the request's
// latest attempt. The caller must hold a.mu.
func (a *Agent) lookup(k wire.Key) *session {
	if k.Attempt == 0 {
		k = a.latestKey[k.Request]
	}
	return a.sessions[k]
}

func (a *Agent) onAck(m *wire.Ack) {
	a.mu.Lock()
	s := a.lookup(m.Key)
	a.mu.Unlock()
	if s != nil {
		s.ack(m.Offset, m.End)
	}
}

func (a *Agent) onCancel(from sender, m *wire.Cancel) {
	now := a.cfg.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.lookup(m.Key)
	if s == nil {
		// The entry has chosen the bid of another agent, so the reservation for
		// the bid of this agent is not needed any more.
		a.admitter.Release(m.Key.Request)
		return
	}
	if m.Customer != "" && m.Customer != s.offer.Size.Customer {
		return
	}
	if m.Key.Attempt != 0 && s.callerHasReturned() {
		// The entry of the first dispatch has noticed late that its caller is
		// gone. The caller has reconnected since and would lose its answer.
		return
	}
	if m.Hold > 0 {
		s.hold(from, now.Add(min(m.Hold, a.cfg.DisconnectGrace)-a.cfg.DisconnectGrace))
		return
	}
	a.cancelLocked(s, now)
}

// cancelLocked cancels a session for which no entry waits any more. A queued
// session ends here as not run; a running one ends when its work returns. The
// caller must hold a.mu.
func (a *Agent) cancelLocked(s *session, now time.Time) (notRun bool) {
	s.waiveFinalAck()
	k := s.offer.Key
	waiting := s.offer.Service == "" && !s.hasStarted() && a.admitter.Cancel(k.Request, k.Attempt, now)
	s.stop()
	if waiting {
		a.endSession(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonCancelled})
	}
	return waiting
}

// onTombstone ensures that a key which is unknown here will not start later. Without it, an offer
// delayed in a stalled link could start after the caller was told that its request
// did not run. A tombstone outlives any such offer: a stalled link is closed
// within its silence bound, and the messages queued on it are lost with it. If the
// message names another incarnation, nothing is proved, since the process that may
// have run the request is gone.
func (a *Agent) onTombstone(from sender, m *wire.Tombstone) {
	now := a.cfg.Clock()
	a.mu.Lock()
	notRun := a.addTombstone(m, now)
	a.mu.Unlock()
	_ = from.Send(&wire.Tombstoned{Key: m.Key, NotRun: notRun})
}

// addTombstone reports whether the key has not run at this agent and never will.
// It stores a tombstone if the key is unknown. A session that waits or runs continues:
// the entry follows it as if the acceptance had arrived in time. The caller must hold
// a.mu.
func (a *Agent) addTombstone(m *wire.Tombstone, now time.Time) bool {
	if m.Incarnation != a.cfg.Incarnation {
		return false
	}
	if r, ok := a.ended[m.Key]; ok {
		return r.notRun
	}
	s, ok := a.sessions[m.Key]
	if !ok {
		a.tombstones[m.Key] = now.Add(a.cfg.TombstoneTime)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final != nil && s.final.Outcome == api.OutcomeNotRun
}

func (a *Agent) onResume(from sender, m *wire.Resume) {
	s, reason := a.sessionToResume(m)
	if reason != "" {
		_ = from.Send(&wire.ResumeRefused{Key: m.Key, Reason: reason})
		return
	}
	if m.Key.Attempt == 0 {
		// The entry sends nothing to a returning caller before it has received
		// this message. Until then nothing but the caller's own claim shows that
		// the request belongs to it.
		_ = from.Send(&wire.Accepted{Key: m.Key, Generation: s.gen})
	}
	err := s.attach(from, m.Offset, m.Key.Attempt == 0)
	if errors.Is(err, stream.ErrBeforeWindow) {
		_ = from.Send(&wire.ResumeRefused{Key: m.Key, Reason: api.ReasonReplayWindowPassed})
		return
	}
	if err != nil {
		_ = from.Send(&wire.ResumeRefused{Key: m.Key, Reason: api.ReasonIntegrity})
	}
}

// sessionToResume returns the session that a Resume requests. An entry that the caller
// has left for another one gets nothing. The request of
// another customer is reported like one that does not exist, so that the reason
// does not reveal its existence.
func (a *Agent) sessionToResume(m *wire.Resume) (*session, api.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.lookup(m.Key)
	if s == nil || s.offer.Size.Customer != m.Customer {
		return nil, api.ReasonTargetGone
	}
	if m.Generation != "" && m.Generation != s.gen {
		return nil, api.ReasonTargetGone
	}
	if m.Key.Attempt != 0 && s.callerHasReturned() {
		// The entry of the first dispatch has not noticed that its caller is gone.
		return nil, api.ReasonTargetGone
	}
	return s, ""
}
