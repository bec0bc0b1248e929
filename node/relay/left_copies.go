package relay

import (
	"cmp"
	"context"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/placement"
)

// awaitCopy waits for the copy of the stopped run, and returns it with the engines that have it. It has no ID
// if there is none in time.
func (e *leftRun) awaitCopy(ctx context.Context) (Copy, []*Target) {
	for {
		made, at, final, changed := e.madeCopy()
		if made.ID != "" || final {
			return made, at
		}
		select {
		case <-changed:
		case <-e.finished:
			made, at, _, _ = e.madeCopy()
			return made, at
		case <-ctx.Done():
			return Copy{}, nil
		}
	}
}

// madeCopy returns the copy of the stopped run, if there is one, and the engines that have it. final is set if none
// is to be expected soon.
func (e *leftRun) madeCopy() (made Copy, at []*Target, final bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.to != nil {
		at = append(at, e.to)
	}
	return e.copy, append(at, e.leg.target), e.state.Work() == handoff.WorkUnreachable, e.changed
}

// release drops the copy of the stopped run unless it is in use.
func (e *leftRun) release(used Copy) {
	e.mu.Lock()
	e.released, e.used = true, used
	e.mu.Unlock()
	select {
	case <-e.finished:
		go e.dropUnused()
	default: // stop drops it
	}
}

// dropUnused drops the copy of the stopped run once it is not wanted any longer.
func (e *leftRun) dropUnused() {
	e.mu.Lock()
	unused, to := e.copy, cmp.Or(e.to, e.leg.target)
	if !e.released || unused == e.used {
		unused = Copy{}
	} else {
		e.copy = Copy{}
	}
	e.mu.Unlock()
	if unused.ID != "" {
		e.run.dropCopy(e.leg, to, unused)
	}
}

// copyReceiver returns the engine that a call which stops a run names: the run is copied there. It is the one to
// which the run was copied before, if any, since only what is new is copied then; else not the standby if there is
// another one with room, since the standby may lack room for its own copy.
func (s *streamRun) copyReceiver(l *leg) *Target {
	if to := l.copiedTo.Load(); to != nil && !to.isDraining() {
		return to
	}
	exclude := []*Target{l.target}
	if l.standby != nil {
		exclude = append(exclude, l.standby)
	}
	if to := s.destination(exclude, placement.Pace{}, false); to != nil {
		return to
	}
	return s.anyReceiver(l)
}

// resumeFromStopped continues the run from the copy that its engine made when it stopped the run.
func (s *streamRun) resumeFromStopped(l *leg) *leg {
	if l.left == nil || s.copyReceiver(l) == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(s.ctx, s.resumeDeadline())
	defer cancel()
	made, at := l.left.awaitCopy(ctx)
	if made.ID == "" {
		return nil
	}
	return s.continueFrom(l, &migration{copy: made, how: howMigration, destinations: at})
}

// releaseLeft drops the copies of runs that the stream has left, except the one from which the stream continues.
func (s *streamRun) releaseLeft() {
	for _, e := range s.left {
		e.release(s.usedCopy)
	}
}

// endLeft drops what is kept for the runs that the stream has left, at the stream's end. The request's body is
// counted for as long as they refer to the request.
func (s *streamRun) endLeft() {
	if len(s.left) == 0 {
		return
	}
	for _, e := range s.left {
		e.release(s.usedCopy)
		if e.work() == handoff.WorkNotBegun && s.ctx.Err() == nil {
			e.cancel()
		}
	}
	bytes := s.req.writer.requestBytes
	s.req.writer.requestBytes = 0
	go func() {
		for _, e := range s.left {
			<-e.finished
		}
		s.relay.callers.releaseBody(bytes)
	}()
}
