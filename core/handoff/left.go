package handoff

import "time"

// Work is what is known of an engine's work on a run that its stream has left.
type Work uint8

const (
	// WorkPossible: nothing shows that the engine has ended the run.
	WorkPossible Work = iota
	// WorkUnreachable: the same, but no connection to the engine can be opened, so that no call
	// stops the run at present.
	WorkUnreachable
	// WorkNotBegun: the engine has no such run, but may have the request in its queue.
	WorkNotBegun
	// WorkEnded: the engine does not work on the run any longer.
	WorkEnded
)

// String returns the name of the state, for logs.
func (w Work) String() string { return [...]string{"possible", "unreachable", "not_begun", "ended"}[w] }

// StopAnswer is what one call that stops a run has shown.
type StopAnswer struct {
	Stop Stop
	// Unreached is set if no connection could be opened; Refused if the engine's machine has answered
	// that no process accepts connections.
	Unreached, Refused bool
}

const (
	// minStopPause is the time after the first call, until the next one: an engine that is still copying the
	// run says that it has ended it. It doubles with each, up to maxStopPause.
	minStopPause = 20 * time.Millisecond
	maxStopPause = 200 * time.Millisecond
	// absentShare is the pause between two calls at an engine that cannot be reached, as a fraction of the time
	// for which that has been so: one that can be reached again is called soon, one that stays away ever less often.
	absentShare = 1.0 / 16
	// maxStopCalls is the number of calls for one run in stopAnswerTime that may be unanswered. After that it is
	// looked up whether the engine can be reached.
	maxStopCalls   = 2
	stopAnswerTime = 800 * time.Millisecond
	// absentTries is the number of connections in a row that an engine must leave unanswered: a single packet may
	// be lost.
	absentTries = 2
	// endedRefusals is the number of connections refused in a row that show, together with the end of
	// the stream's own connection, that the engine's process has ended.
	endedRefusals = 2
	// dropTime is the time in which an engine may drop a request whose connection the entry closes: a run that
	// is stopped is copied for nothing.
	dropTime = 30 * time.Millisecond
	// confirmTime is the time in which an engine closes the stream of a run that it stops, and in which it may
	// confirm that if the answer is lost.
	confirmTime = 100 * time.Millisecond
)

// LeftRun decides when an engine is called to stop a run whose stream has ended early, and determines what is
// known of the engine's work on it.
//
// The end of a connection proves nothing: not every engine drops a request whose connection closes, and
// a call may be refused, lost, or take effect late.
type LeftRun struct {
	work   Work
	leftAt time.Time
	// stopLost is set if the stream has ended right after a call that stops the run, whose answer is unknown, and no
	// later call was refused. queued is set if the engine may have the request in its queue.
	stopLost, queued bool
	// absentSince is when the engine could first not be reached, zero if it can be.
	absentSince time.Time
	// failed counts the calls that have failed, refused and unreached the connections in a row that were refused
	// and left unanswered.
	failed, refused, unreached int
	unanswered                 int
	// calledAt are the times of the last calls, and looking is set while it is looked up whether the engine can
	// be reached.
	calledAt [maxStopCalls]time.Time
	looking  bool
	// lastAt is when the last call was sent, or when the last answer came after that.
	lastAt time.Time
}

// NewLeftRun returns the state of a run whose stream has ended early. before is the result of the last call that
// stops it, and after the time from that call to the stream's end: an engine closes the stream as soon as it stops
// the run.
func NewLeftRun(before Stop, after time.Duration, now time.Time) LeftRun {
	r := LeftRun{leftAt: now, lastAt: now}
	if before == StopUnknown || before == StopSent {
		r.stopLost = after <= confirmTime
	}
	if before == StopDone || before == StopNoRun {
		r.work = WorkEnded
	}
	return r
}

// Queued records that the engine may have the request in its queue: it has sent no event.
func (r *LeftRun) Queued() { r.queued = true }

// Closed records that the entry itself has closed the stream's connection.
func (r *LeftRun) Closed() { r.lastAt = r.leftAt.Add(dropTime) }

// Work returns what is known of the engine's work on the run.
func (r *LeftRun) Work() Work { return r.work }

// MayContinueAt returns the time from which on another engine may continue the run; false if that is not known.
//
// An engine that stops a run closes its stream, so such an end counts even if no answer follows.
func (r *LeftRun) MayContinueAt() (time.Time, bool) {
	switch {
	case r.work != WorkPossible:
		return r.leftAt, true
	case r.stopLost:
		return r.leftAt.Add(confirmTime), true
	}
	return time.Time{}, false
}

// Unreachable records that no connection to the engine can be opened.
func (r *LeftRun) Unreachable(now time.Time) {
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	if r.work == WorkPossible {
		r.work = WorkUnreachable
	}
}

// TimeIsOver records that the engine's time for the request is over.
func (r *LeftRun) TimeIsOver() { r.work = WorkEnded }

// NextCall returns when the engine is to be called; false if no call is due before the next answer.
func (r *LeftRun) NextCall() (time.Time, bool) {
	switch {
	case r.work == WorkEnded || r.looking:
		return time.Time{}, false
	case r.unanswered == 0 && r.failed == 0:
		return r.lastAt, true
	case r.work == WorkUnreachable:
		absent := time.Duration(absentShare * float64(r.lastAt.Sub(r.absentSince)))
		return r.lastAt.Add(max(minStopPause, absent)), true
	case r.unanswered >= maxStopCalls:
		return r.lastAt.Add(maxStopPause), true
	}
	return r.lastAt.Add(min(minStopPause<<min(max(r.failed-1, 0), 10), maxStopPause)), true
}

// Called records that the engine is called. It returns true if it is only to be looked up whether the engine can be
// reached: Looked records the result then, else Answered.
func (r *LeftRun) Called(now time.Time) (look bool) {
	r.lastAt = now
	r.looking = r.work == WorkUnreachable || r.unanswered >= maxStopCalls && now.Sub(r.calledAt[0]) < stopAnswerTime
	if r.looking {
		return true
	}
	copy(r.calledAt[:], r.calledAt[1:])
	r.calledAt[maxStopCalls-1] = now
	r.unanswered++
	return false
}

// Looked records whether the engine can be reached: a has no stop. One that can be reached again is called at once.
func (r *LeftRun) Looked(a StopAnswer, now time.Time) {
	r.looking = false
	r.lastAt = now
	if a.Unreached || a.Refused {
		r.answeredByNobody(a, now)
		return
	}
	r.reached()
	if r.work == WorkUnreachable {
		r.work, r.failed = WorkPossible, 0
	}
}

// Answered records the result of a call.
func (r *LeftRun) Answered(a StopAnswer, now time.Time) {
	r.unanswered--
	r.failed++
	r.lastAt = now
	if a.Unreached || a.Refused {
		r.answeredByNobody(a, now)
		return
	}
	r.reached()
	switch {
	case r.work == WorkEnded:
	case a.Stop == StopNoRun && r.queued:
		r.work = WorkNotBegun
	case a.Stop == StopDone || a.Stop == StopNoRun:
		r.work = WorkEnded
	case a.Stop == StopUnknown && r.work == WorkNotBegun:
	default:
		r.work = WorkPossible
		r.stopLost = r.stopLost && a.Stop == StopUnknown
	}
}

// reached records that the engine can be reached.
func (r *LeftRun) reached() { r.refused, r.unreached, r.absentSince = 0, 0, time.Time{} }

// answeredByNobody records that no connection could be opened for a call.
func (r *LeftRun) answeredByNobody(a StopAnswer, now time.Time) {
	if a.Unreached {
		r.refused = 0
		r.unreached++
		if r.unreached >= absentTries {
			r.Unreachable(now)
		}
		return
	}
	r.unreached = 0
	r.Unreachable(now)
	r.refused++
	if r.refused >= endedRefusals {
		r.work = WorkEnded
	}
}
