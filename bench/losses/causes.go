package main

import (
	"net/http"
	"time"
)

// cause is the reason why a request was not served in time, or inTime if it was.
type cause string

// The causes, in the order of the rows that printTable writes.
const (
	inTime           cause = "in time"
	entryStopped     cause = "open when its entry stopped"
	cutTargetLeaving cause = "cut, its engine left"
	cutTargetLost    cause = "cut, its engine was lost"
	firstEventLate   cause = "began late"
	pausedMigration  cause = "paused too long, moved"
	paused           cause = "paused too long"
	late             cause = "late"
	targetFault      cause = "failed by its target"
	timedOut         cause = "timed out"
	clientCancelled  cause = "its caller left"
	refused          cause = "refused"
	otherFault       cause = "failed otherwise"
)

var causes = []cause{
	inTime, entryStopped, cutTargetLeaving, cutTargetLost, firstEventLate, pausedMigration, paused, late, targetFault, timedOut, clientCancelled, refused, otherFault,
}

// bounds holds the latency limits within which a request counts as in time.
type bounds struct {
	// objective bounds the time to the first event of a stream, or to the end of
	// a plain answer. An objective in the request's log line takes precedence.
	objective time.Duration
	// maxGap is the longest permitted pause between two events of a stream.
	maxGap time.Duration
}

// classify returns the cause of a request. It returns false if the request can't be
// classified because it has no route or the log stops before the request ends.
func (b bounds) classify(s *requestState) (cause, bool) {
	if s.route == "" {
		return "", false
	}
	if s.interrupted && s.end == nil {
		return entryStopped, true
	}
	if s.end == nil {
		return "", false
	}
	if s.refused != "" {
		return refused, true
	}
	return b.classifyEnded(s), true
}

// classifyEnded returns the cause of a request whose end is in the log.
func (b bounds) classifyEnded(s *requestState) cause {
	end := s.end
	switch {
	case end.Outcome == "cancelled":
		return clientCancelled
	case end.Outcome == "timeout":
		return timedOut
	case end.Outcome == "answered" && end.Status >= http.StatusInternalServerError:
		return targetFault
	case end.Outcome == "answered":
		return b.classifyAnswer(end)
	case s.targetLeaving:
		return cutTargetLeaving
	case end.Outcome == "engine_died":
		return cutTargetLost
	}
	return otherFault
}

// classifyAnswer returns the cause of a complete answer by its latencies.
func (b bounds) classifyAnswer(end *logLine) cause {
	objective := b.objective
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
		return firstEventLate
	case end.LongestGap.duration() <= b.maxGap:
		return inTime
	case end.Migrations > 0:
		return pausedMigration
	}
	return paused
}
