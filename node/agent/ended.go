package agent

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// endedRequest is what remains of a request whose session was removed before DefaultReplayTime had passed: operators
// may set a shorter time. An entry whose link was lost sends its offer again, or asks whether the request has run, for
// longer than that.
type endedRequest struct {
	notRun bool
	until  time.Time
}

// removeEnded removes a session that has ended, and remembers for long enough that its key has been used. The caller
// must hold a.mu.
func (a *Agent) removeEnded(s *session, now time.Time) {
	k := s.offer.Key
	delete(a.sessions, k)
	if a.latestKey[k.Request] == k {
		delete(a.latestKey, k.Request)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.endedAt.Add(DefaultReplayTime); now.Before(until) {
		a.ended[k] = endedRequest{notRun: s.final.Outcome == api.OutcomeNotRun, until: until}
	}
}

// answerEnded returns the answer to an offer whose request has ended and is not to begin again, nil if there is no
// such request. The caller must hold a.mu.
func (a *Agent) answerEnded(k wire.Key) wire.Message {
	r, ok := a.ended[k]
	switch {
	case !ok:
		return nil
	case r.notRun:
		return &wire.Refused{Key: k, Reason: api.ReasonTombstoned}
	}
	return &wire.ResumeRefused{Key: k, Reason: api.ReasonTargetGone}
}
