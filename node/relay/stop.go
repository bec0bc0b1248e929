package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"almondseam.dev/core/handoff"
)

// ErrNoRun reports that an engine does not work on a request.
var ErrNoRun = errors.New("the engine has no such run")

// errNoReceiver reports that a run was not stopped, because a call that stops one must name another engine.
var errNoReceiver = errors.New("no other engine to name")

// ErrCallRefused reports a call that an engine has refused without an effect.
var ErrCallRefused = errors.New("the engine refused the call")

// callStop makes a call that ends the run of a leg. The engine copies the run all the same, and the copy is returned.
func (s *streamRun) callStop(l *leg, to *Target) (Copy, error) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	return s.move(ctx, l, to, true)
}

// hasReturned reports whether the stream has been sent to the engine of an earlier leg again: a stop
// would end the run that continues it.
func (s *streamRun) hasReturned(l *leg) bool {
	last := s.latestLeg.Load()
	return last != nil && last != l && last.target.Address == l.target.Address
}

// anyReceiver returns an engine other than the leg's that a call may name: its standby or any.
func (s *streamRun) anyReceiver(l *leg) *Target {
	if l.standby != nil {
		return l.standby
	}
	list := s.relay.targets.Of(s.req.Service)
	for _, i := range rand.Perm(len(list)) {
		if list[i] != l.target {
			return list[i]
		}
	}
	return nil
}

// failedRunError reports an engine that answered with a failure of its own to a request that continues
// a stream. The answer says that the request has run to its end there.
type failedRunError struct{ status int }

// Error implements error.
func (e *failedRunError) Error() string {
	return fmt.Sprintf("engine answered %d to a request that continues a stream", e.status)
}

// nextAfterFailure returns the leg that continues the stream after a failed run, nil if there is none:
// a request that must not run twice is not continued from another copy.
func (s *streamRun) nextAfterFailure(l *leg, end *failedRunError) *leg {
	s.relay.obs.Attempted(s.req, l.target, outcomeFailed, end)
	s.req.Stream.Migrations++
	if handoff.Next(s.situation(l, handoff.CauseFailed)) != handoff.ActionRestart {
		return nil
	}
	return s.restart(l)
}
