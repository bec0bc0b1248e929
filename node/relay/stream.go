package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/retrybudget"
)

// streamRun is one stream on its way from engine to engine to its caller. One
// goroutine reads and gives events; while its engine drains, a second one prepares
// the next leg.
type streamRun struct {
	relay *Relay
	req   *Request
	ctx   context.Context
	flush func() error

	// expected is read by the migration, too.
	expected atomic.Int64
	// began tells that the caller has the answer's head.
	began bool
	// passed tells that an answer that is no stream was passed on.
	passed bool
	// pausedAt is when the last event went out.
	pausedAt time.Time

	mu     sync.Mutex
	lastID string
}

// stream serves a request whose answer is a series of events.
func (r *Relay) stream(ctx context.Context, req *Request) {
	r.firstSend(req)
	s := &streamRun{relay: r, req: req, ctx: ctx, lastID: req.Ask.LastEvent, pausedAt: req.Arrived}
	s.flush = http.NewResponseController(req.out).Flush
	s.expected.Store(int64(req.tokens))
	s.run()
}

func (s *streamRun) run() {
	l, outcome := s.first()
	for l != nil {
		end := s.follow(l)
		l.end()
		if end == nil {
			s.forget(l)
			s.finish(l)
			return
		}
		l = s.next(l, end)
		outcome = outcomeLost
	}
	s.noMore(outcome)
}

// first finds the engine that the stream begins at.
func (s *streamRun) first() (*leg, string) {
	why := "first"
	outcome := outcomeNotRun
	for {
		at := s.relay.reserveFor(s.ctx, s.req)
		if at == nil {
			return nil, outcome
		}
		s.req.asked = append(s.req.asked, at.permit.target)
		var l *leg
		l, outcome = s.begin(s.ctx, at.permit, Directive{LastEvent: s.last(), Reservation: at.reservation}, why)
		if outcome == Answered {
			return l, outcome
		}
		if s.ctx.Err() != nil {
			return nil, outcome
		}
		if outcome == outcomeLost && l.standby != nil {
			return s.next(l, errNoHead), outcome
		}
		if !s.relay.mayGoOn(s.req, outcome) || !s.relay.mayRetry(s.ctx, s.req, outcome) {
			return nil, outcome
		}
		why = outcome
	}
}

// errNoHead is an answer that was lost before its head.
var errNoHead = errors.New("the answer was lost before its head")

// follow passes events on until the stream ends, nil if it ended whole.
func (s *streamRun) follow(l *leg) error {
	if !l.isStream() {
		return s.passOn(l)
	}
	events := newEventReader(l.x.Body)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.relay.reading.learn(s.req.Service, l.begun)
		if err := s.give(l, ev); err != nil {
			return err
		}
		if s.req.Stream.Events%growEvery == 0 {
			s.grow(l)
		}
		if l.migration == nil && l.target.draining.Load() {
			s.startMigration(l)
		}
	}
}

// growEvery is after how many events a stream's memory is counted anew.
const growEvery = 32

func (s *streamRun) grow(l *leg) {
	e := s.engine()
	if e == nil {
		return
	}
	tokens := expectedTokens(&s.req.Ask, s.req.Stream.Events*e.TokensPerEvent)
	s.expected.Store(int64(tokens))
	l.grow(tokens)
}

// tokens is the memory that the stream takes within the next seconds.
func (s *streamRun) tokens() int { return int(s.expected.Load()) }

func (s *streamRun) situation(l *leg, cause handoff.Cause) handoff.Situation {
	return handoff.Situation{
		Cause:      cause,
		Events:     s.req.Stream.Events,
		Ran:        s.req.mayHaveRun,
		Resumable:  s.req.Route.Resumable,
		HasStandby: s.hasStandby(l, cause),
		CanMove:    s.canMove(),
		Migrations: s.req.Stream.Migrations,
	}
}

// hasStandby tells whether the run may be continued from its standby copy. An engine that
// drains still holds one; it is asked only where the run is lost otherwise.
func (s *streamRun) hasStandby(l *leg, cause handoff.Cause) bool {
	if l.standby == nil || l.standby.evacuated() {
		return false
	}
	return cause == handoff.CauseLost || !l.standby.draining.Load()
}

// give passes one event on, unless the caller has it.
//
// Events are numbered without gaps. An engine that goes on after the last one gives it again;
// whatever is not above the last one given is a repetition.
func (s *streamRun) give(l *leg, ev event) error {
	if s.req.Stream.Migrations > 0 && !after(ev.id, s.lastID) {
		return nil
	}
	s.observe()
	s.begun(l)
	if _, err := s.req.out.Write(ev.raw); err != nil {
		return err
	}
	if len(ev.id) > 0 {
		s.setLast(string(ev.id))
	}
	return s.flush()
}

// begun gives the caller the head of the answer, that of the first engine, unless it has it.
func (s *streamRun) begun(l *leg) {
	if s.began {
		return
	}
	copyAnswerHead(s.req.out.Header(), l.x.Header)
	s.req.out.WriteHeader(l.x.Status)
	s.began = true
}

func (s *streamRun) setLast(id string) {
	s.mu.Lock()
	s.lastID = id
	s.mu.Unlock()
}

// last gives the last event that the caller has.
func (s *streamRun) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

// observe notes the time of an event, for the log.
func (s *streamRun) observe() {
	now := time.Now()
	st := &s.req.Stream
	if st.Events == 0 {
		st.First = now.Sub(s.req.Arrived)
	} else {
		st.LongestGap = max(st.LongestGap, now.Sub(s.pausedAt))
	}
	st.Events++
	s.pausedAt = now
}

// after tells whether an event's number is above the last one's. Events without
// numbers can't be told apart and are passed on.
func after(id []byte, last string) bool {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return true
	}
	given, err := strconv.ParseUint(last, 10, 64)
	return err != nil || n > given
}

// passOn gives the caller an engine's answer that is no stream.
func (s *streamRun) passOn(l *leg) error {
	if s.began {
		return errors.New("engine answered " + strconv.Itoa(l.x.Status) + " to a stream that is continued")
	}
	body, whole, err := readUpTo(l.x.Body, maxWhole)
	if err != nil {
		return err
	}
	s.relay.answer(s.req, l.x, body, whole)
	s.passed = true
	return nil
}

// next finds the leg that continues the stream after one has ended early.
func (s *streamRun) next(l *leg, end error) *leg {
	if s.ctx.Err() != nil {
		s.forget(l)
		return nil
	}
	if next := s.migrated(l); next != nil || s.ctx.Err() != nil {
		return next
	}
	l.target.failed(time.Now())
	s.relay.obs.Attempted(s.req, l.target, outcomeLost, end)
	cause := handoff.CauseLost
	for {
		s.req.Stream.Migrations++
		switch handoff.Next(s.situation(l, cause)) {
		case handoff.ActionFromStandby:
			if next := s.fromStandby(l); next != nil || s.ctx.Err() != nil {
				return next
			}
			cause = handoff.CauseNoStandby
		case handoff.ActionRestart:
			return s.again(l)
		default:
			return nil
		}
	}
}

// fromStandby continues the run at the engine that keeps its standby copy.
func (s *streamRun) fromStandby(l *leg) *leg {
	p, ok := s.relay.permit(s.ctx, s.req, l.standby)
	if !ok {
		return nil
	}
	if !s.mayResume(s.ctx, howStandby) {
		s.relay.giveBack(p)
		return nil
	}
	next, outcome := s.begin(s.ctx, p, s.resumeFrom(Copy{Address: l.standby.Address, ID: string(s.req.Ask.Request)}), howStandby)
	if outcome != Answered {
		return nil
	}
	s.relay.obs.Migrated(s.req, l.target, l.standby, howStandby, time.Since(s.pausedAt))
	return next
}

// mayResume takes the retry for a stream that is continued at another engine.
func (s *streamRun) mayResume(ctx context.Context, how string) bool {
	_, ok := s.relay.retry(ctx, s.req, retrybudget.PurposeResume, how)
	return ok
}

// again runs the request anew after the last event.
func (s *streamRun) again(l *leg) *leg {
	s.req.asked = append(s.req.asked, l.target)
	if !s.relay.mayGoOn(s.req, outcomeLost) || !s.mayResume(s.ctx, howRestart) {
		return nil
	}
	p := s.relay.placePermitted(s.ctx, s.req)
	if p == nil {
		return nil
	}
	next, outcome := s.begin(s.ctx, p, Directive{LastEvent: s.last()}, howRestart)
	if outcome != Answered {
		return nil
	}
	s.relay.obs.Migrated(s.req, l.target, p.target, howRestart, time.Since(s.pausedAt))
	return next
}

// finish ends a stream that was given whole.
func (s *streamRun) finish(l *leg) {
	if s.passed {
		return
	}
	s.begun(l)
	s.relay.obs.Ended(s.req, http.StatusOK, Answered)
}

// noMore ends a stream that nothing more can be done for.
func (s *streamRun) noMore(outcome string) {
	switch {
	case s.req.callerGone():
		s.relay.gone(s.req)
	case s.ctx.Err() != nil:
		s.broken(api.ReasonTimeout)
	case s.began || s.req.mayHaveRun && outcome == outcomeLost:
		s.broken(api.ReasonEngineDied)
	default:
		s.relay.exhausted(s.req, outcome)
	}
}

// broken ends a stream early. One that has begun ends without its last chunk, so
// that it doesn't look whole.
func (s *streamRun) broken(reason api.Reason) {
	if s.began {
		s.relay.obs.Ended(s.req, http.StatusOK, string(reason))
		panic(http.ErrAbortHandler)
	}
	if reason == api.ReasonTimeout {
		s.relay.timedOut(s.req)
		return
	}
	s.relay.fail(s.req, http.StatusBadGateway, reason, 0)
}
