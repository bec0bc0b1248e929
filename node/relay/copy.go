package relay

import (
	"context"
	"errors"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/targetstate"
)

// copyTimeout bounds one copy of a run. A long run takes a fifth of a second on an idle link,
// and a drain notice lasts less than two seconds.
const copyTimeout = 3 * time.Second

// errNoCopyNamed reports an answer of an engine that names no copy of the run.
var errNoCopyNamed = errors.New("the engine's answer names no copy")

// copy copies the run and returns how long that took. It continues after ctx ends: the
// destination would keep an interrupted copy under an ID that this entry never learns.
func (s *streamRun) copy(ctx context.Context, l *leg, to *Target, stop bool) (Copy, time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return Copy{}, 0, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	began := time.Now()
	moved, err := s.move(ctx, l, to, stop)
	if err == nil && moved.ID == "" && !stop {
		err = errNoCopyNamed
	}
	if err == nil {
		l.copiedTo.Store(to)
	}
	took := time.Since(began)
	s.relay.obs.Copied(s.req, l.target, to, stop, took, err)
	return moved, took, err
}

// move calls the engine of a leg to copy its run to another engine and, with stop, to end it first.
func (s *streamRun) move(ctx context.Context, l *leg, to *Target, stop bool) (Copy, error) {
	var call *stopCall
	if stop {
		call = s.req.stops.begin(l.target)
	}
	began := time.Now()
	made, err := s.relay.engines.Move(ctx, s.relay.peer(s.req, l.target, targetstate.UseHeld), s.req.Ask.Request, to.Address, stop)
	if stop {
		s.req.stops.end(call, made, err)
		s.reportStop(l, time.Since(began), made, err)
	}
	return made, err
}

// reportStop reports the result of a call that stops the run of a leg.
func (s *streamRun) reportStop(l *leg, took time.Duration, made Copy, err error) {
	s.relay.obs.StopCalled(s.req, l.target, StopCall{Try: int(l.stopCalls.Add(1)), Took: took, Result: stopResult(made, err), Err: err})
}

// dropCopy frees a copy that is not used, at the engine that made it or, if that fails, at the
// one that received it.
func (s *streamRun) dropCopy(l *leg, at *Target, c Copy) {
	if c.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	err := s.relay.engines.Drop(ctx, s.relay.peer(s.req, l.target, targetstate.UseHeld), c.ID)
	if err != nil {
		err = s.relay.engines.Drop(ctx, s.relay.peer(s.req, at, targetstate.UseHeld), c.ID)
	}
	s.relay.obs.Dropped(s.req, at, err)
}

// dropTimeout bounds the calls that free a copy.
const dropTimeout = 500 * time.Millisecond

// copyUntilFast copies what was added to the run, repeatedly, until handoff.Round allows to stop
// it. It returns the last copy, and the reason if the run must not be stopped.
func (s *streamRun) copyUntilFast(ctx context.Context, l *leg, to *Target, made Copy, last handoff.Round) (Copy, string) {
	began, ended := time.Now(), time.Now()
	defer func() { l.migration.record.Times.Rounds = time.Since(began) }()
	own := l.heldTokens()
	for {
		if to.isDraining() {
			return made, skipReceiverLeft
		}
		last.Since = time.Since(ended)
		last.Incoming = to.Load().Incoming > own
		last.Left = time.Until(s.relay.noticeEnd(l.target))
		if last.MayStop() {
			return made, ""
		}
		next, took, err := s.copy(ctx, l, to, false)
		if err != nil {
			return made, skipNoRoom
		}
		made, ended = next, time.Now()
		last = handoff.Round{Took: took}
	}
}

// lastCopy copies the run for the last time, for which the engine stops it. A call that was refused, or whose answer
// was lost, is repeated until the stream ends; the next run of this entry process does not wait for that.
func (s *streamRun) lastCopy(ctx context.Context, l *leg, to *Target, passTurn func()) (made Copy, took time.Duration, err error) {
	for pause := minLastCopyPause; ; pause = min(2*pause, maxLastCopyPause) {
		made, took, err = s.copy(ctx, l, to, true)
		if stop := stopResult(made, err); stop == handoff.StopDone || stop == handoff.StopNoRun {
			return made, took, err
		}
		passTurn()
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return made, took, err
		}
	}
}

// minLastCopyPause is the time after the first last copy that fails until the next one. It doubles with each, up
// to maxLastCopyPause.
const (
	minLastCopyPause = 20 * time.Millisecond
	maxLastCopyPause = 200 * time.Millisecond
)
