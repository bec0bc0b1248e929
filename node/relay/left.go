package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/upstream"
	"github.com/sourcegraph/conc"
)

// Why a stream leaves a run, as reported to the observer.
const (
	leftLost       = "lost"        // its connection was lost
	leftSilent     = "silent"      // its engine sent nothing and could not be reached
	leftMigrated   = "migrated"    // it was stopped for another engine, or its engine ended meanwhile
	leftUnanswered = "unanswered"  // the response was lost before its header arrived
	leftUnknownRun = "unknown_run" // it is not known which run of the target made the response
	leftCallerGone = "caller_gone" // the caller has closed its connection
)

// leftRun stops the run of a leg, and determines whether its engine may still work on it. The request is
// sent to no other engine before that is known: see startLeg. It is safe for concurrent use.
type leftRun struct {
	run *streamRun
	leg *leg
	// leftAt is when the leg ended.
	leftAt time.Time
	// ctx ends with the time that the engine has for the request.
	ctx    context.Context
	cancel context.CancelFunc
	// finished is closed after the last call was answered.
	finished chan struct{}

	mu    sync.Mutex
	state handoff.LeftRun
	// changed is closed and replaced when state has changed.
	changed chan struct{}
	// copy is that of the stopped run, which the engine to has received; err is the error of the call that has
	// shown the run's end, else that of the last one.
	copy Copy
	to   *Target
	err  error
	// released is set once the copy is not wanted any longer, used is the copy from which the stream continues.
	released bool
	used     Copy
}

// leave begins to stop the run of a leg whose connection has ended. It does nothing if the engine offers no call
// that stops runs.
func (s *streamRun) leave(l *leg, why string) {
	if !s.canMove() || l.left != nil {
		return
	}
	e := &leftRun{run: s, leg: l, leftAt: l.endedAt, finished: make(chan struct{}), changed: make(chan struct{})}
	e.ctx, e.cancel = context.WithDeadline(context.WithoutCancel(s.ctx), s.req.Deadline)
	before, calledAt := s.req.stops.latest(l.target, l.sentAt)
	endedAt := e.leftAt
	if s.req.connectionEndedAt.After(l.sentAt) {
		endedAt = s.req.connectionEndedAt
	}
	e.state = handoff.NewLeftRun(before, endedAt.Sub(calledAt), e.leftAt)
	if !l.hasEvents {
		e.state.Queued()
	}
	switch why {
	case leftSilent:
		e.state.Unreachable(e.leftAt)
	case leftCallerGone, leftUnknownRun:
		e.state.Closed()
	}
	s.relay.obs.RunLeft(s.req, l.target, why)
	l.left = e
	s.left = append(s.left, e)
	s.relay.leftRuns.add(e)
	go e.stop()
}

// leftFor returns why a stream leaves the run of a leg that has ended with an error.
func leftFor(l *leg, end error) string {
	switch {
	case errors.Is(end, errEngineSilent):
		return leftSilent
	case l.migration != nil:
		return leftMigrated
	case errors.Is(end, errNoHeader):
		return leftUnanswered
	}
	return leftLost
}

// awaitLeft waits until no engine that the stream has left may work on the request. It returns false if that
// is not known in time: of a stream that its caller may take up again, it waits until maxResumePause
// after the last run was left.
func (s *streamRun) awaitLeft(ctx context.Context) bool {
	if len(s.left) == 0 {
		return true
	}
	if s.req.Route.Resumable {
		limit := s.left[len(s.left)-1].leftAt.Add(maxResumePause)
		limited, cancel := context.WithDeadline(ctx, limit)
		defer cancel()
		ctx = limited
	}
	for _, e := range s.left {
		if e.awaitEnd(ctx) {
			continue
		}
		if s.ctx.Err() == nil {
			e.examine()
		}
		return false
	}
	return true
}

// awaitEnd waits until another engine may continue the run. It returns false if ctx ends first.
func (e *leftRun) awaitEnd(ctx context.Context) bool {
	for {
		at, known, changed := e.mayContinueAt()
		if awaitTime(ctx, at, known, changed) {
			return true
		}
		if ctx.Err() != nil {
			at, known, _ = e.mayContinueAt()
			return known && !time.Now().Before(at)
		}
	}
}

// awaitTime waits until a time, if it is known, until changed is closed, or until ctx ends. It reports whether the
// time was reached.
func awaitTime(ctx context.Context, at time.Time, known bool, changed <-chan struct{}) bool {
	var due <-chan time.Time
	if known {
		wait := time.Until(at)
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
		return true
	case <-changed:
	case <-ctx.Done():
	}
	return false
}

func (e *leftRun) mayContinueAt() (at time.Time, known bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, known = e.state.MayContinueAt()
	return at, known, e.changed
}

// work returns what is known of the engine's work on the run.
func (e *leftRun) work() handoff.Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Work()
}

func (e *leftRun) update(change func(*handoff.LeftRun)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.state)
	close(e.changed)
	e.changed = make(chan struct{})
}

// stop calls the engine until it has ended the run, or until its time for the request is over.
func (e *leftRun) stop() {
	var calls conc.WaitGroup
	for !e.isOver() {
		at, due, changed := e.nextCall()
		if !awaitTime(e.ctx, at, due, changed) {
			continue
		}
		if look := e.called(); look {
			calls.Go(e.look)
		} else {
			calls.Go(e.call)
		}
	}
	if errors.Is(e.ctx.Err(), context.DeadlineExceeded) {
		e.update((*handoff.LeftRun).TimeIsOver)
	}
	e.report()
	e.run.relay.leftRuns.remove(e)
	calls.Wait()
	close(e.finished)
	e.cancel()
	e.dropUnused()
}

// isOver reports whether the engine is not called any more. Once the stream has been sent to the same engine
// again, a call would end the run that continues it.
func (e *leftRun) isOver() bool {
	return e.work() == handoff.WorkEnded || e.ctx.Err() != nil || e.run.hasReturned(e.leg)
}

func (e *leftRun) nextCall() (at time.Time, due bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, due = e.state.NextCall()
	return at, due, e.changed
}

// called records that the engine is called, and returns whether it is only looked up whether it can be reached.
func (e *leftRun) called() (look bool) {
	e.update(func(r *handoff.LeftRun) { look = r.Called(time.Now()) })
	return look
}

// call makes one call that stops the run.
func (e *leftRun) call() {
	to := e.run.copyReceiver(e.leg)
	if to == nil {
		e.answered(handoff.StopAnswer{}, Copy{}, nil, errNoReceiver)
		return
	}
	made, err := e.run.callStop(e.leg, to)
	a := callAnswer(made, err)
	if isNotAdmitted(err) {
		a = e.presence()
	} else if a.Refused {
		a = e.refused()
	}
	e.answered(a, made, to, err)
}

// look looks up whether the engine can be reached.
func (e *leftRun) look() {
	a := e.presence()
	e.update(func(r *handoff.LeftRun) { r.Looked(a, time.Now()) })
}

// presence returns what a connection to the engine shows.
func (e *leftRun) presence() handoff.StopAnswer {
	switch e.run.relay.presence(e.leg.target) {
	case upstream.NoAnswer:
		return handoff.StopAnswer{Unreached: true}
	case upstream.Refused:
		return e.refused()
	default:
		return handoff.StopAnswer{}
	}
}

// refused returns what a refused connection has shown: while another connection to the engine is open, its process
// runs.
func (e *leftRun) refused() handoff.StopAnswer {
	return handoff.StopAnswer{Refused: !e.run.relay.pool.HasOpenSince(e.leg.target.Address, time.Now())}
}

// answered records the result of a call.
func (e *leftRun) answered(a handoff.StopAnswer, made Copy, to *Target, err error) {
	e.update(func(r *handoff.LeftRun) {
		if r.Work() != handoff.WorkEnded {
			e.err = err
		}
		r.Answered(a, time.Now())
		if made.ID != "" {
			e.copy, e.to = made, to
			if err != nil {
				e.to = nil // it had no room for the copy
			}
		}
	})
}

// callAnswer returns what the result of a call that stops a run has shown.
func callAnswer(made Copy, err error) handoff.StopAnswer {
	var timeout net.Error
	notSent := errors.Is(err, upstream.ErrNotSent)
	return handoff.StopAnswer{
		Stop:    stopResult(made, err),
		Refused: notSent && errors.Is(err, syscall.ECONNREFUSED),
		Unreached: notSent && (errors.As(err, &timeout) && timeout.Timeout() ||
			errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)),
	}
}

// report reports what has become of the run.
func (e *leftRun) report() {
	e.mu.Lock()
	work, err := e.state.Work(), e.err
	e.mu.Unlock()
	e.run.relay.obs.RunStopped(e.run.req, e.leg.target, work, time.Since(e.leftAt), err)
}

// examine reports whether the engine still works on the run.
func (e *leftRun) examine() {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), dropTimeout)
		defer cancel()
		peer := e.run.relay.peer(e.run.req, e.leg.target, targetstate.UseHeld)
		made, err := e.run.relay.engines.Events(ctx, peer, e.run.req.Ask.Request)
		e.run.relay.obs.LeftRunExamined(e.run.req, e.leg.target, time.Since(e.leftAt), made, err)
	}()
}
