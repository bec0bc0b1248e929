package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// sender is the sending side of a link.
type sender interface {
	Send(m wire.Message) error
}

// session is one accepted request, from its acceptance until its replay time has
// passed.
type session struct {
	offer      wire.Offer
	gen        api.GenerationID
	maxUnacked int // see Config.MaxUnackedBytes
	acceptedAt time.Time

	mu           sync.Mutex
	unackedFreed *sync.Cond // signalled by ack and stop
	buf          *stream.Buffer
	sent         uint64 // offset after the last item sent on link
	link         sender // nil while no link is attached
	head         *wire.Head
	final        *wire.Final
	started      bool
	// received is set when the entry has acknowledged the Final message, or when
	// no entry waits for it.
	received bool
	// callerReturned is set when the caller itself has reconnected, which a Resume
	// with attempt 0 indicates.
	callerReturned bool
	cancel         context.CancelFunc // set when started
	stopped        bool
	// yielded is set from the withdrawal of the session by yield until its run
	// returns. restart is set if the session is to start again before that, and
	// restartPriority is then its engine priority.
	yielded         bool
	restart         bool
	restartPriority int
	// detachedAt is when the last link was lost, or an earlier time set by hold.
	// It is zero while a link is attached.
	detachedAt time.Time
	endedAt    time.Time
}

func newSession(o wire.Offer, gen api.GenerationID, window, maxUnacked int, link sender, now time.Time) *session {
	s := &session{
		offer:      o,
		gen:        gen,
		maxUnacked: maxUnacked,
		acceptedAt: now,
		buf:        stream.NewBuffer(window),
		link:       link,
	}
	s.unackedFreed = sync.NewCond(&s.mu)
	return s
}

// push appends an item and sends it. It blocks while more than maxUnacked bytes
// are unacknowledged. This applies backpressure to the engine's stream, so that a
// slow caller costs a bounded amount of memory here. It returns false if the
// session has been stopped or yielded.
func (s *session) push(item []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.buf.Unacked() > s.maxUnacked && !s.stopped {
		s.unackedFreed.Wait()
	}
	if s.stopped || s.yielded {
		return false
	}
	off := s.buf.Append(item)
	if s.link != nil && s.sent == off {
		s.sendItems(off, 1, stream.Append(nil, item))
	}
	return true
}

func (s *session) sendItems(off uint64, n int, packed []byte) {
	err := s.link.Send(&wire.Data{Key: s.offer.Key, Generation: s.gen, Offset: off, N: n, Packed: packed})
	if err != nil {
		return // the session is detached when the link ends
	}
	s.sent = off + uint64(n)
}

func (s *session) sendStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		_ = s.link.Send(&wire.State{Key: s.offer.Key, Phase: wire.PhaseStarted})
	}
}

func (s *session) setHead(h *wire.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = h
	if s.link != nil {
		_ = s.link.Send(h)
	}
}

// finish sets the Final message and sends it if all items have been sent. It
// returns false and changes nothing if there is one already.
func (s *session) finish(f *wire.Final, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final != nil {
		return false
	}
	f.Key = s.offer.Key
	f.Generation = s.gen
	f.Count = s.buf.End()
	f.Sum = s.buf.Sum()
	s.final = f
	s.endedAt = now
	if s.link != nil && s.sent == f.Count {
		_ = s.link.Send(f)
	}
	return true
}

// attach makes link the session's link and sends everything from offset off on.
// byCaller is set if the caller itself has reconnected, not its entry after a lost
// link. When the caller returns for the first time, its earlier dispatch ends with the reason that its target is gone.
func (s *session) attach(link sender, off uint64, byCaller bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, _, err := s.buf.From(nil, off, 0); err != nil {
		return err
	}
	if byCaller && !s.callerReturned && s.link != nil {
		_ = s.link.Send(&wire.ResumeRefused{Key: s.offer.Key, Reason: api.ReasonTargetGone})
	}
	s.link = link
	s.callerReturned = s.callerReturned || byCaller
	s.detachedAt = time.Time{}
	s.sent = off
	if s.head != nil {
		_ = link.Send(s.head)
	}
	if err := s.resend(); err != nil {
		return err
	}
	if s.final != nil {
		_ = link.Send(s.final)
	}
	return nil
}

const maxResendBytes = 64 << 10

func (s *session) resend() error {
	for s.sent < s.buf.End() {
		packed, n, err := s.buf.From(nil, s.sent, maxResendBytes)
		if err != nil {
			return err
		}
		before := s.sent
		s.sendItems(s.sent, n, packed)
		if s.sent == before {
			return nil // sending failed, since the link has ended
		}
	}
	return nil
}

func (s *session) callerHasReturned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callerReturned
}

// detach removes a link that has ended, unless another one has replaced it.
func (s *session) detach(from sender, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == from {
		s.link = nil
		s.detachedAt = now
	}
}

// hold detaches the link as if it had been lost at since. The session continues
// without a link, and the disconnect grace starts at since.
func (s *session) hold(from sender, since time.Time) { s.detach(from, since) }

func (s *session) ack(off uint64, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = s.received || end
	if s.buf.Ack(off) == nil {
		s.unackedFreed.Broadcast()
	}
}

// waiveFinalAck records that no entry waits for the end of the session. The end
// will not be acknowledged, so a leaving agent must not wait for that.
func (s *session) waiveFinalAck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = true
}

// stop cancels the session, whether it has started or not.
func (s *session) stop() {
	s.mu.Lock()
	s.stopped = true
	cancel := s.cancel
	s.unackedFreed.Broadcast()
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// beginResult is the result of session.begin.
type beginResult uint8

const (
	beginNow      beginResult = iota
	beginStopped              // the session has been stopped
	beginDeferred             // a previous run has not returned yet
)

// begin marks the session as started, unless it has been stopped. If a previous
// run has not returned yet, it records instead that the session is to be restarted
// with this priority.
func (s *session) begin(cancel context.CancelFunc, priority int) beginResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return beginStopped
	}
	if s.started {
		s.restart = true
		s.restartPriority = priority
		return beginDeferred
	}
	s.started = true
	s.cancel = cancel
	return beginNow
}

// yield withdraws a started session that has produced nothing: it cancels the run
// and reports the session as queued again. It returns false if the session has
// produced an item by now, is not running, or has been stopped. Items that the
// cancelled run still produces are dropped, so that they are not mixed with those
// of the next run.
func (s *session) yield() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started || s.stopped || s.final != nil || s.buf.End() > 0 {
		return false
	}
	s.yielded = true
	if s.link != nil {
		_ = s.link.Send(&wire.State{Key: s.offer.Key, Phase: wire.PhaseQueued})
	}
	s.cancel()
	return true
}

// afterRun reports whether the run that has returned was yielded, and whether the
// session was started again meanwhile and with which priority.
func (s *session) afterRun() (yielded, restart bool, priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.yielded || s.stopped {
		return false, false, 0
	}
	restart = s.restart
	s.yielded, s.restart, s.started = false, false, false
	return true, restart, s.restartPriority
}

// produced returns the number of items so far.
func (s *session) produced() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.buf.End())
}

func (s *session) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

func (s *session) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// settled reports whether nothing remains to be done: the request has ended, and
// its entry has acknowledged the end or has had no link for longer than grace. An
// agent that stopped earlier would lose the last tokens.
func (s *session) settled(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final == nil {
		return false
	}
	lost := !s.detachedAt.IsZero() && now.Sub(s.detachedAt) > grace
	return s.received || lost
}

// uses reports whether link is the session's link and the end of the request has
// yet to be acknowledged on it.
func (s *session) uses(link sender) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link == link && !s.received
}

// expired reports whether the session ended more than keep ago and may be removed.
func (s *session) expired(now time.Time, keep time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final != nil && now.Sub(s.endedAt) > keep
}

// abandoned reports whether the session has not ended and has had no link for
// longer than grace.
func (s *session) abandoned(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final == nil && !s.detachedAt.IsZero() && now.Sub(s.detachedAt) > grace
}

// copyAnswer appends the items of the target's response to the session until the
// response ends, and returns the Final message. After each item it calls count
// with the number of items so far.
func (s *session) copyAnswer(ans Answer, count func(items int)) *wire.Final {
	n := 0
	for {
		item, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return &wire.Final{Outcome: api.OutcomeCompleted}
		}
		if err != nil {
			return s.finalForInterruption(err)
		}
		if !s.push(item) {
			return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: api.ReasonCancelled}
		}
		n++
		count(n)
	}
}

func (s *session) finalForInterruption(err error) *wire.Final {
	if s.isStopped() {
		return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: api.ReasonCancelled}
	}
	e := api.AsError(err)
	return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: e.Reason, Detail: errorDetail(e)}
}

func errorDetail(e *api.Error) string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}
