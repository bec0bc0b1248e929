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

// sender is the end of a link that a session writes to.
type sender interface {
	Send(m wire.Message) error
}

// session is one accepted request, from Accepted to the end of its replay time.
type session struct {
	offer    wire.Offer
	gen      api.GenerationID
	unacked  int // bytes that may wait for acknowledgement
	accepted time.Time

	mu      sync.Mutex
	room    *sync.Cond // signalled when an acknowledgement makes room
	buf     *stream.Buffer
	sent    uint64 // offset after the last item sent on to
	to      sender // nil while no link is attached
	head    *wire.Head
	final   *wire.Final
	started bool
	// received is set when the entry has the final frame or waits for none.
	received bool
	// returned is set once the caller has come back on a road of its own, as a
	// Resume without an attempt tells.
	returned bool
	cancel   context.CancelFunc // set when started
	stopped  bool
	// yielded is set between giving way and the end of that run; again and next
	// when it was let start anew before.
	yielded bool
	again   bool
	next    int
	// orphaned is when the last link was lost, zero while one is attached.
	orphaned time.Time
	ended    time.Time
}

func newSession(o wire.Offer, gen api.GenerationID, window, unacked int, to sender, now time.Time) *session {
	s := &session{
		offer:    o,
		gen:      gen,
		unacked:  unacked,
		accepted: now,
		buf:      stream.NewBuffer(window),
		to:       to,
	}
	s.room = sync.NewCond(&s.mu)
	return s
}

// push appends an item and sends it. It blocks while too much is
// unacknowledged: that holds back the engine's stream, so that a slow caller
// costs a bounded amount of memory here. It returns false once the session has
// been stopped.
func (s *session) push(item []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.buf.Unacked() > s.unacked && !s.stopped {
		s.room.Wait()
	}
	if s.stopped || s.yielded {
		return false
	}
	off := s.buf.Append(item)
	if s.to != nil && s.sent == off {
		s.sendRun(off, 1, stream.Append(nil, item))
	}
	return true
}

func (s *session) sendRun(off uint64, n int, packed []byte) {
	err := s.to.Send(&wire.Data{Key: s.offer.Key, Generation: s.gen, Offset: off, N: n, Packed: packed})
	if err != nil {
		return // the link's end detaches the session
	}
	s.sent = off + uint64(n)
}

func (s *session) tellStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.to != nil {
		_ = s.to.Send(&wire.State{Key: s.offer.Key, Phase: wire.PhaseStarted})
	}
}

func (s *session) setHead(h *wire.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = h
	if s.to != nil {
		_ = s.to.Send(h)
	}
}

// finish fixes the outcome; the first one stays.
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
	s.ended = now
	if s.to != nil && s.sent == f.Count {
		_ = s.to.Send(f)
	}
	return true
}

// attach makes to the session's link and sends everything from off on. back
// tells that it is the caller that came back, not its entry after a lost link.
func (s *session) attach(to sender, off uint64, back bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, _, err := s.buf.From(nil, off, 0); err != nil {
		return err
	}
	s.to = to
	s.returned = s.returned || back
	s.orphaned = time.Time{}
	s.sent = off
	if s.head != nil {
		_ = to.Send(s.head)
	}
	if err := s.resend(); err != nil {
		return err
	}
	if s.final != nil {
		_ = to.Send(s.final)
	}
	return nil
}

const resendRun = 64 << 10

func (s *session) resend() error {
	for s.sent < s.buf.End() {
		packed, n, err := s.buf.From(nil, s.sent, resendRun)
		if err != nil {
			return err
		}
		before := s.sent
		s.sendRun(s.sent, n, packed)
		if s.sent == before {
			return nil // the link has just ended
		}
	}
	return nil
}

func (s *session) hasReturned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returned
}

// detach forgets a link that has ended, unless another has taken its place.
func (s *session) detach(from sender, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.to == from {
		s.to = nil
		s.orphaned = now
	}
}

// hold leaves the session running without a link, as if the link had been lost
// at since: the usual grace then counts from there.
func (s *session) hold(from sender, since time.Time) { s.detach(from, since) }

func (s *session) ack(off uint64, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = s.received || end
	if s.buf.Ack(off) == nil {
		s.room.Broadcast()
	}
}

// forsake notes that no entry waits for the end: it will not be acknowledged,
// and a leaving agent must not wait for that.
func (s *session) forsake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = true
}

// stop cancels the work, started or not.
func (s *session) stop() {
	s.mu.Lock()
	s.stopped = true
	cancel := s.cancel
	s.room.Broadcast()
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// How a launch goes.
type begun uint8

const (
	beginNow     begun = iota
	beginStopped       // it was cancelled before
	beginBusy          // the run that gave way has not returned yet
)

// begin marks the session started.
func (s *session) begin(cancel context.CancelFunc, priority int) begun {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return beginStopped
	}
	if s.started {
		s.again = true
		s.next = priority
		return beginBusy
	}
	s.started = true
	s.cancel = cancel
	return beginNow
}

// yield takes a started session back that has produced nothing; false when it
// has by now. Items that come after it are not taken, so that the next run
// cannot be spliced to this one.
func (s *session) yield() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started || s.stopped || s.final != nil || s.buf.End() > 0 {
		return false
	}
	s.yielded = true
	if s.to != nil {
		_ = s.to.Send(&wire.State{Key: s.offer.Key, Phase: wire.PhaseQueued})
	}
	s.cancel()
	return true
}

// afterRun tells whether the run that has returned gave way, and whether the
// session was let start again meanwhile.
func (s *session) afterRun() (yielded, again bool, priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.yielded || s.stopped {
		return false, false, 0
	}
	again = s.again
	s.yielded, s.again, s.started = false, false, false
	return true, again, s.next
}

// produced is the number of items so far.
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

// settled tells that nothing is left to be done: the request has ended and the
// entry has the end. Nobody waits for one whose link has been gone for grace. An
// agent that left before would take the last tokens with it.
func (s *session) settled(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final == nil {
		return false
	}
	lost := !s.orphaned.IsZero() && now.Sub(s.orphaned) > grace
	return s.received || lost
}

// uses tells whether the request's end has yet to reach an entry over to.
func (s *session) uses(to sender) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.to == to && !s.received
}

// expired tells that the session may be forgotten, and abandoned that nobody
// has asked for it since its link was lost.
func (s *session) expired(now time.Time, keep time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final != nil && now.Sub(s.ended) > keep
}

func (s *session) abandoned(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final == nil && !s.orphaned.IsZero() && now.Sub(s.orphaned) > grace
}

// relay copies the target's answer into the session until it ends, and gives
// the final frame. count is told after each item.
func (s *session) relay(ans Answer, count func(items int)) *wire.Final {
	n := 0
	for {
		item, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return &wire.Final{Outcome: api.OutcomeCompleted}
		}
		if err != nil {
			return s.cutShort(err)
		}
		if !s.push(item) {
			return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: api.ReasonCancelled}
		}
		n++
		count(n)
	}
}

func (s *session) cutShort(err error) *wire.Final {
	if s.isStopped() {
		return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: api.ReasonCancelled}
	}
	e := api.AsError(err)
	return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: e.Reason, Detail: detail(e)}
}

func detail(e *api.Error) string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}
