package main

import (
	"net/http"
	"time"
)

// cause is why a request did not serve its caller in time; inTime if it did.
type cause string

// The causes, in the order of the table.
const (
	inTime      cause = "in time"
	openAtStop  cause = "open when its entry stopped"
	cutLeaving  cause = "cut, its engine left"
	cutLost     cause = "cut, its engine was lost"
	beganLate   cause = "began late"
	pausedMove  cause = "paused too long, moved"
	paused      cause = "paused too long"
	late        cause = "late"
	targetFault cause = "failed by its target"
	timedOut    cause = "timed out"
	callerLeft  cause = "its caller left"
	refused     cause = "refused"
	otherFault  cause = "failed otherwise"
)

var causes = []cause{
	inTime, openAtStop, cutLeaving, cutLost, beganLate, pausedMove, paused, late, targetFault, timedOut, callerLeft, refused, otherFault,
}

// aims are the bounds that a request must keep to be in time.
type aims struct {
	// objective holds where the log does not give a route's own.
	objective time.Duration
	// pause is the longest pause between two events of a stream.
	pause time.Duration
}

// judge gives the cause of a request's loss; false for one that can't be judged,
// because it has no route or the log ends before it does.
func (a aims) judge(s *story) (cause, bool) {
	if s.route == "" {
		return "", false
	}
	if s.cut && s.end == nil {
		return openAtStop, true
	}
	if s.end == nil {
		return "", false
	}
	if s.refused != "" {
		return refused, true
	}
	return a.ended(s), true
}

func (a aims) ended(s *story) cause {
	end := s.end
	switch {
	case end.Outcome == "cancelled":
		return callerLeft
	case end.Outcome == "timeout":
		return timedOut
	case end.Outcome == "answered" && end.Status >= http.StatusInternalServerError:
		return targetFault
	case end.Outcome == "answered":
		return a.speed(end)
	case s.leaving:
		return cutLeaving
	case end.Outcome == "engine_died":
		return cutLost
	}
	return otherFault
}

// speed judges a whole answer.
func (a aims) speed(end *line) cause {
	objective := a.objective
	if end.Objective > 0 {
		objective = end.Objective.duration()
	}
	if end.Events == 0 {
		if end.After.duration() > objective {
			return late
		}
		return inTime
	}
	switch {
	case end.First.duration() > objective:
		return beganLate
	case end.LongestGap.duration() <= a.pause:
		return inTime
	case end.Migrations > 0:
		return pausedMove
	}
	return paused
}
