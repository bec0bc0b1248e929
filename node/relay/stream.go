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
	"almondseam.dev/core/targetstate"
)

// streamRun forwards one stream to its caller, from one engine after the other. One goroutine
// reads and forwards events; while the engine drains, a second one prepares the next leg.
type streamRun struct {
	relay *Relay
	req   *Request
	ctx   context.Context
	flush func() error

	// tokenEstimate is the KV cache that the stream is expected to occupy, in tokens. The
	// migration's goroutine reads it too.
	tokenEstimate atomic.Int64
	// latestLeg is the leg that was sent last.
	latestLeg atomic.Pointer[leg]
	// left holds the runs that the stream has left, and usedCopy the copy from which the latest leg
	// continues, zero if from none.
	left     []*leftRun
	usedCopy Copy
	// unflushed is set while written events have not been sent.
	unflushed bool
	// headerSent is set once the caller has been sent the response's header.
	headerSent bool
	// passedThrough is set if the engine's response was not an event stream and was forwarded.
	passedThrough bool
	// lastEventAt is when the last event was forwarded; before the first one, when the request
	// arrived.
	lastEventAt time.Time
	// paused is set from a migration to the next event.
	paused *migrationRecord

	mu          sync.Mutex
	lastEventID string
}

// stream serves a request whose response is a stream of events.
func (r *Relay) stream(ctx context.Context, req *Request) {
	r.countFirstSend(req)
	s := &streamRun{relay: r, req: req, ctx: ctx, lastEventID: req.Ask.LastEvent, lastEventAt: req.Arrived}
	s.flush = req.writer.FlushError
	s.tokenEstimate.Store(int64(req.tokens))
	s.run()
}

func (s *streamRun) run() {
	defer s.endLeft()
	l, outcome := s.startFirstLeg()
	for l != nil {
		end := s.forwardEvents(l)
		s.req.recordEnding(l.x, l.target, l.sentAt)
		l.end()
		if end == nil {
			s.cancelMigration(l)
			s.finish(l)
			return
		}
		l = s.nextLeg(l, end)
		s.releaseLeft()
		outcome = outcomeLost
	}
	s.failStream(outcome)
}

// startFirstLeg selects engines until one serves the stream. It returns nil if none does, and
// the outcome of the last send.
func (s *streamRun) startFirstLeg() (*leg, string) {
	why := "first"
	outcome := outcomeNotRun
	for {
		at := s.relay.reserveFor(s.ctx, s.req)
		if at == nil {
			return nil, outcome
		}
		s.req.tried = append(s.req.tried, at.permit.target)
		s.relay.reportPlaced(s.req, at.permit.target)
		var l *leg
		l, outcome = s.startLeg(s.ctx, at.permit, Directive{LastEvent: s.lastEvent(), Reservation: at.reservation}, why)
		if outcome == Answered && !s.replaceFailure(l) {
			return l, outcome
		}
		if outcome == Answered {
			outcome = outcomeFailed
		}
		if s.ctx.Err() != nil {
			return nil, outcome
		}
		if outcome == outcomeLost && l.standby != nil {
			next := s.nextLeg(l, errNoHeader)
			s.releaseLeft()
			return next, outcome
		}
		if !s.awaitLeft(s.ctx) || !s.relay.mayTryAnother(s.req, outcome) || !s.relay.acquireResend(s.ctx, s.req, outcome) {
			return nil, outcome
		}
		why = outcome
	}
}

// errNoHeader reports a response that was lost before its header arrived.
var errNoHeader = errors.New("response was lost before its header arrived")

// forwardEvents forwards events until the leg ends. It returns nil if the stream is complete.
func (s *streamRun) forwardEvents(l *leg) error {
	if !l.isStream() {
		return s.passThrough(l)
	}
	events := newEventReader(l.x.Body, s.relay.callers, l.x.Abort)
	defer events.close()
	silence := s.watchSilence(l)
	defer silence.arrived()
	for {
		silence.await()
		ev, err := events.next()
		silence.arrived()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return silence.cause(err)
		}
		l.setBacklogOnce() // travels with the report that the prompt has been processed
		s.relay.prefill.record(s.req.Service, l.finishPrefill)
		if err := s.forward(l, ev, events.hasNext()); err != nil {
			return err
		}
		if s.req.Stream.Events%recountEvents == 0 {
			s.updateTokens(l)
		}
		if l.migration == nil && l.target.isDraining() {
			s.startMigration(l)
		}
	}
}

// recountEvents is the number of events after which the KV cache of a stream is estimated
// again.
const recountEvents = 32

func (s *streamRun) updateTokens(l *leg) {
	e := s.engine()
	if e == nil {
		return
	}
	tokens := expectedTokens(&s.req.Ask, s.req.Stream.Events*e.TokensPerEvent)
	s.tokenEstimate.Store(int64(tokens))
	l.updateTokens(tokens)
}

// tokens returns the KV cache, in tokens, that the stream occupies within the next seconds.
func (s *streamRun) tokens() int { return int(s.tokenEstimate.Load()) }

func (s *streamRun) situation(l *leg, cause handoff.Cause) handoff.Situation {
	return handoff.Situation{
		Cause:      cause,
		Events:     s.req.Stream.Events,
		Ran:        s.req.mayHaveRun,
		Resumable:  s.req.Route.Resumable,
		HasStandby: s.hasStandby(l, cause),
		CanMove:    s.canMove(),
		Migrations: s.req.Stream.Migrations,
		EndsInTime: cause == handoff.CauseDraining && s.endsInTime(l),
	}
}

// endsInTime reports whether the run certainly ends before its draining engine does.
func (s *streamRun) endsInTime(l *leg) bool {
	e := s.engine()
	if e == nil || !e.Moves {
		return false
	}
	st := &s.req.Stream
	r := handoff.Remainder{
		MaxTokens: s.req.Ask.MaxTokens, TokensPerEvent: e.TokensPerEvent, Events: st.Events,
		Took: s.lastEventAt.Sub(s.req.Arrived.Add(st.First)), LongestGap: st.LongestGap,
	}
	return r.EndsWithin(time.Until(s.relay.noticeEnd(l.target)))
}

// hasStandby reports whether the run may be continued from its standby copy. A draining engine
// still holds its copy, but is used only if the run would otherwise be lost.
func (s *streamRun) hasStandby(l *leg, cause handoff.Cause) bool {
	if l.standby == nil || l.standby.evacuated() || !s.relay.isRun(l.target, l.opening) {
		return false
	}
	return cause == handoff.CauseLost || !l.standby.isDraining()
}

// forward sends one event to the caller, unless the caller already has it. If more events have arrived,
// it is written together with them: the slower the process gets processor time, the more events arrive
// in between, and the less each of them costs.
//
// Events are numbered without gaps. An engine that continues after the last event may repeat
// it, so after a migration every event whose number is not above that of the last forwarded one
// is a repetition.
func (s *streamRun) forward(l *leg, ev event, more bool) error {
	if s.req.Stream.Migrations > 0 && !isAfter(ev.id, s.lastEventID) {
		return s.flushUnless(more)
	}
	arrived := s.recordEvent(l)
	s.recordOrigin(l)
	s.recordWriting(l, arrived)
	s.sendHeader(l)
	if _, err := s.req.writer.Write(ev.raw); err != nil {
		return err
	}
	s.unflushed = true
	if len(ev.id) > 0 {
		s.setLastEvent(string(ev.id))
	}
	err := s.flushUnless(more)
	l.gaps.forwarded(arrived, s.req.Route.MaxPause)
	return err
}

// flushUnless sends what has been written, unless more follows at once.
func (s *streamRun) flushUnless(more bool) error {
	if more || !s.unflushed {
		return nil
	}
	s.unflushed = false
	return s.flush()
}

// writingTime is for how long an engine must write an answer to show that no part of its prompt crashes
// engines that begin to write.
const writingTime = time.Second

// recordWriting records once that the leg's engine has written the answer for writingTime.
func (s *streamRun) recordWriting(l *leg, now time.Time) {
	switch {
	case l.firstEventAt.IsZero():
		l.firstEventAt = now
	case !l.writes && now.Sub(l.firstEventAt) >= writingTime:
		l.writes = true
		s.relay.quarantine.Wrote(s.req.identity)
	}
}

// sendHeader sends the caller the header of the engine's response, unless one was sent before.
func (s *streamRun) sendHeader(l *leg) {
	if s.headerSent {
		return
	}
	copyResponseHeader(s.req.writer.Header(), l.x.Header)
	s.req.writer.WriteHeader(l.x.Status)
	s.headerSent = true
}

func (s *streamRun) setLastEvent(id string) {
	s.mu.Lock()
	s.lastEventID = id
	s.mu.Unlock()
}

// lastEvent returns the ID of the last event that the caller has.
func (s *streamRun) lastEvent() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEventID
}

// recordEvent updates the stream's statistics for an event, and returns when it arrived.
func (s *streamRun) recordEvent(l *leg) time.Time {
	now := time.Now()
	s.observeGap(l, now)
	st := &s.req.Stream
	if st.Events == 0 {
		st.First = now.Sub(s.req.Arrived)
	} else {
		gap := now.Sub(s.lastEventAt)
		st.LongestGap = max(st.LongestGap, gap)
		s.reportPause(gap)
	}
	st.Events++
	s.lastEventAt = now
	return now
}

// isAfter reports whether an event's number is above that of the last one. It returns true if
// one of them is not a number, because repetitions cannot be recognized then.
func isAfter(id []byte, last string) bool {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return true
	}
	given, err := strconv.ParseUint(last, 10, 64)
	return err != nil || n > given
}

// passThrough forwards an engine's response that is not an event stream.
func (s *streamRun) passThrough(l *leg) error {
	if s.headerSent {
		return &failedRunError{l.x.Status}
	}
	body, whole, err := s.relay.readResponse(s.ctx, s.req, l.x)
	if err != nil {
		return err
	}
	s.relay.writeResponse(s.req, l.x, body, whole)
	s.passedThrough = true
	return nil
}

// nextLeg returns the leg that continues the stream after a leg has ended early, nil if there
// is none.
func (s *streamRun) nextLeg(l *leg, end error) *leg {
	if s.ctx.Err() != nil {
		s.leave(l, leftCallerGone)
		s.cancelMigration(l)
		return nil
	}
	var failed *failedRunError
	// The engine closes the stream of a run that it stops; the answer to that call follows.
	if !errors.As(end, &failed) && l.stop(s.req) != handoff.StopSent {
		s.leave(l, leftFor(l, end))
	}
	if nextLeg := s.awaitMigration(l); nextLeg != nil || s.ctx.Err() != nil {
		return nextLeg
	}
	if failed != nil {
		return s.nextAfterFailure(l, failed)
	}
	s.leave(l, leftFor(l, end))
	s.recordLost(l, end)
	cause := handoff.CauseLost
	for {
		if cause == handoff.CauseNoStandby {
			if nextLeg := s.resumeFromStopped(l); nextLeg != nil || s.ctx.Err() != nil {
				return nextLeg
			}
		}
		s.req.Stream.Migrations++
		switch handoff.Next(s.situation(l, cause)) {
		case handoff.ActionFromStandby:
			if nextLeg := s.resumeFromStandby(l); nextLeg != nil || s.ctx.Err() != nil {
				return nextLeg
			}
			cause = handoff.CauseNoStandby
		case handoff.ActionRestart:
			return s.restart(l)
		default:
			if cause == handoff.CauseNoStandby {
				return nil // it was tried
			}
			return s.resumeFromStopped(l)
		}
	}
}

// recordLost records that the stream of a leg was lost, unless its engine closed it because it had
// stopped the run.
func (s *streamRun) recordLost(l *leg, end error) {
	if l.stop(s.req) == handoff.StopDone {
		return
	}
	s.recordEngineEnd(l)
	s.resolveOrigin(l)
	l.target.recordFailure(time.Now())
	s.relay.obs.Attempted(s.req, l.target, outcomeLost, end)
	if l.x != nil {
		s.relay.recordFault(s.req, l.target, failureLost)
		s.relay.crashes.responseLost(s.req, l.target, l.sentAt)
	}
}

// recordEngineEnd records that an engine broke off a run that was not stopped, and why the run was
// not migrated before if that has not been reported.
func (s *streamRun) recordEngineEnd(l *leg) {
	if l.x != nil && l.stop(s.req) < handoff.StopUnknown && !s.req.writer.stalled {
		s.relay.moves.ended(l.target, time.Now())
	}
	if d := l.migration; d != nil && d.isDone() && d.unreported != "" {
		s.relay.obs.MigrationSkipped(s.req, l.target, d.unreported)
	}
}

// resumeFromStandby continues the run at the engine that holds its standby copy.
func (s *streamRun) resumeFromStandby(l *leg) *leg {
	if !awaitBackoffEnd(s.ctx, l.standby, s.resumeDeadline()) {
		return nil
	}
	if !s.awaitLeft(s.ctx) {
		return nil
	}
	p, ok := s.relay.permit(s.ctx, s.req, l.standby, targetstate.UseHeld)
	if !ok {
		return nil
	}
	if !s.acquireResume(s.ctx, howStandby) {
		s.relay.releasePermit(p)
		return nil
	}
	next, outcome := s.startLeg(s.ctx, p, s.standbyDirective(l), howStandby)
	if outcome != Answered {
		return nil
	}
	s.relay.obs.Migrated(s.req, l.target, l.standby, howStandby, time.Since(s.lastEventAt))
	return next
}

// acquireResume acquires the retry for continuing a stream at another engine.
func (s *streamRun) acquireResume(ctx context.Context, how string) bool {
	_, ok := s.relay.acquireRetry(ctx, s.req, retrybudget.PurposeResume, how)
	return ok
}

// restart runs the request again, from the event after the last one that the caller has. It tries a further engine
// if one does not answer.
func (s *streamRun) restart(l *leg) *leg {
	failed, outcome := l.target, outcomeLost
	for s.ctx.Err() == nil {
		s.req.tried = append(s.req.tried, failed)
		if !s.awaitLeft(s.ctx) || !s.relay.mayTryAnother(s.req, outcome) || !s.acquireResume(s.ctx, howRestart) {
			return nil
		}
		p := s.relay.pickPermitted(s.ctx, s.req)
		if p == nil {
			return nil
		}
		var next *leg
		next, outcome = s.startLeg(s.ctx, p, Directive{LastEvent: s.lastEvent()}, howRestart)
		if outcome == Answered {
			s.relay.obs.Migrated(s.req, l.target, p.target, howRestart, time.Since(s.lastEventAt))
			return next
		}
		failed = p.target
	}
	return nil
}

// finish ends a stream that was forwarded completely.
func (s *streamRun) finish(l *leg) {
	if s.passedThrough {
		return
	}
	s.sendHeader(l)
	s.req.writer.complete = true
	s.relay.countPaced(s.req)
	s.relay.quarantine.Ended(s.req.identity)
	s.relay.moves.lasted(l.target, time.Now())
	s.relay.moves.completed(s.req, s.lastEventAt)
	s.relay.obs.Ended(s.req, http.StatusOK, Answered)
}

// failStream ends a stream that cannot be continued.
func (s *streamRun) failStream(outcome string) {
	switch {
	case s.req.writer.stalled && s.ctx.Err() != context.DeadlineExceeded:
		s.abort(api.ReasonSlowCaller)
	case s.req.callerGone() && s.headerSent:
		s.abort(api.ReasonCancelled)
	case s.req.callerGone():
		s.relay.failCancelled(s.req)
	case s.ctx.Err() != nil:
		s.abort(api.ReasonTimeout)
	case s.headerSent || s.req.mayHaveRun && outcome == outcomeLost:
		s.abort(api.ReasonEngineDied)
	default:
		s.relay.failExhausted(s.req, outcome)
	}
}

// abort ends a stream early. If the header has been sent, it closes the connection without the
// last chunk, so that the response does not look complete.
func (s *streamRun) abort(reason api.Reason) {
	if s.relay.quarantine.Refuses(s.req.identity) > 0 {
		reason = api.ReasonQuarantined
	}
	if s.headerSent {
		s.relay.obs.Ended(s.req, http.StatusOK, string(reason))
		panic(http.ErrAbortHandler)
	}
	if reason == api.ReasonTimeout || reason == api.ReasonQuarantined {
		s.relay.failTimeout(s.req)
		return
	}
	s.relay.writeError(s.req, http.StatusBadGateway, reason, 0)
}
