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

// Handle takes one message from a link. Messages of one link come in order, on
// one goroutine.
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

// onDrain leaves on an operator's behalf. A message meant for an earlier start
// of this agent came late and is dropped.
func (a *Agent) onDrain(m *wire.Drain) {
	if m.Incarnation == a.cfg.Incarnation {
		a.Leave()
	}
}

// request gives the admission's view of an offer or a bid.
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
	if !a.leaving {
		bid = a.admit.Bid(a.request(m.Key, m.Size, now), now)
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
	v := a.judge(m, now)
	if v.Refuse != "" {
		a.mu.Unlock()
		a.cfg.Observer.Refused(m.Key, v.Refuse)
		_ = from.Send(&wire.Refused{Key: m.Key, Reason: v.Refuse, RetryAfter: v.RetryAfter})
		return
	}
	s := newSession(*m, a.newGeneration(), a.replay, a.cfg.Unacked, from, now)
	a.sessions[m.Key] = s
	a.latest[m.Key.Request] = m.Key
	a.mu.Unlock()
	a.cfg.Observer.Accepted(m.Key)
	_ = from.Send(&wire.Accepted{Key: m.Key, Generation: s.gen, Position: v.Position, Wait: v.Wait})
	if m.Service != "" {
		a.launch(s, 0)
		return
	}
	a.startReady(now)
}

// judge decides an offer under the lock. The order matters: a tombstone and a
// wrong incarnation are proofs given to others and are looked at first.
func (a *Agent) judge(m *wire.Offer, now time.Time) admission.Verdict {
	if _, dead := a.tombstones[m.Key]; dead {
		return admission.Verdict{Refuse: api.ReasonTombstoned}
	}
	if m.Incarnation != a.cfg.Incarnation {
		return admission.Verdict{Refuse: api.ReasonIncarnation}
	}
	if a.leaving {
		return admission.Verdict{Refuse: api.ReasonTargetLeaving}
	}
	if m.Claimed && !claim.DefaultWindow().MayStart(m.Echo, a.uptime()) {
		return admission.Verdict{Refuse: api.ReasonTimeout}
	}
	if m.Service != "" {
		return a.judgeCall()
	}
	return a.admit.Offer(a.request(m.Key, m.Size, now), now)
}

const callRetryAfter = time.Second

func (a *Agent) judgeCall() admission.Verdict {
	if a.calls >= a.cfg.CallSlots {
		return admission.Verdict{Refuse: api.ReasonQueueFull, RetryAfter: callRetryAfter}
	}
	a.calls++
	return admission.Verdict{Queued: true}
}

// lookup finds a session by its key; attempt 0 means the request's latest.
func (a *Agent) lookup(k wire.Key) *session {
	if k.Attempt == 0 {
		k = a.latest[k.Request]
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
		// The entry has taken another's bid: the place that ours kept is free.
		a.admit.Release(m.Key.Request)
		return
	}
	if m.Key.Attempt != 0 && s.hasReturned() {
		// The first dispatch's entry has noticed late that its caller is gone.
		// The caller has come back meanwhile, and would lose its answer.
		return
	}
	if m.Hold > 0 {
		s.hold(from, now.Add(min(m.Hold, a.cfg.Grace)-a.cfg.Grace))
		return
	}
	a.cancelLocked(s, now)
}

// cancelLocked stops a session that nobody waits for any more. One that was
// still waiting ends here as not run; a running one ends when its work returns.
func (a *Agent) cancelLocked(s *session, now time.Time) (notRun bool) {
	s.forsake()
	k := s.offer.Key
	waiting := s.offer.Service == "" && !s.hasStarted() && a.admit.Cancel(k.Request, k.Attempt, now)
	s.stop()
	if waiting {
		a.end(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonCancelled})
	}
	return waiting
}

// onTombstone forbids a key. An offer that is still on its way, held up in a
// stalled link, would otherwise start after the caller was told that it did not
// run; the tombstone outlives any such offer, since a link's queue dies with
// the link within its silence bound. For another incarnation nothing is proved:
// the process that may have run the request is gone.
func (a *Agent) onTombstone(from sender, m *wire.Tombstone) {
	now := a.cfg.Clock()
	a.mu.Lock()
	notRun := a.bury(m, now)
	a.mu.Unlock()
	_ = from.Send(&wire.Tombstoned{Key: m.Key, NotRun: notRun})
}

func (a *Agent) bury(m *wire.Tombstone, now time.Time) bool {
	if m.Incarnation != a.cfg.Incarnation {
		return false
	}
	s, ok := a.sessions[m.Key]
	if !ok {
		a.tombstones[m.Key] = now.Add(a.cfg.TombstoneTime)
		return true
	}
	if a.cancelLocked(s, now) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final != nil && s.final.Outcome == api.OutcomeNotRun
}

func (a *Agent) onResume(from sender, m *wire.Resume) {
	s, reason := a.find(m)
	if reason != "" {
		_ = from.Send(&wire.ResumeRefused{Key: m.Key, Reason: reason})
		return
	}
	if m.Key.Attempt == 0 {
		// The entry gives a returning caller nothing before this: until here only
		// the caller's own word said whose request it is.
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

// find gives the session that a Resume asks for. Another customer's request is
// answered like one that does not exist, so that its existence is not told.
func (a *Agent) find(m *wire.Resume) (*session, api.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.lookup(m.Key)
	if s == nil || s.offer.Size.Customer != m.Customer {
		return nil, api.ReasonTargetGone
	}
	if m.Generation != "" && m.Generation != s.gen {
		return nil, api.ReasonTargetGone
	}
	return s, ""
}
