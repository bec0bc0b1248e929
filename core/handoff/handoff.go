// Package handoff decides how a stream goes on when its engine leaves or is lost
// while a caller is reading. It is pure; node/relay carries the decisions out.
package handoff

// Cause is why a stream can't stay where it is.
type Cause uint8

// The causes.
const (
	// CauseLeaving: the engine has said that it leaves, and still works.
	CauseLeaving Cause = iota + 1
	// CauseLost: the connection ended or the answer broke off.
	CauseLost
	// CauseNoCopy: an engine said that it does not hold the copy it was asked to
	// go on from.
	CauseNoCopy
)

// Situation is what is known of a stream when it must go on elsewhere.
type Situation struct {
	Cause Cause
	// Events is how many events the caller has been given.
	Events int
	// Ran tells that the engine may have begun to work on the request.
	Ran bool
	// Resumable streams may be run anew from the event after the last.
	Resumable bool
	// HasCopy tells that the run's memory was sent to another engine as it grew,
	// and that this engine is there.
	HasCopy bool
	// CanMove tells that the engine can copy a run on demand.
	CanMove bool
	// Goes is how many times the stream has gone on elsewhere.
	Goes int
}

// Action is what to do.
type Action uint8

// The actions.
const (
	// ActionStay: read on.
	ActionStay Action = iota + 1
	// ActionFromCopy: end the run, and go on at the engine that has its memory.
	ActionFromCopy
	// ActionMove: copy the run while it goes on, stop it, and go on at the engine
	// that has the copy.
	ActionMove
	// ActionAgain: run anew after the last event.
	ActionAgain
	// ActionGiveUp: nothing may be done that would be the same run.
	ActionGiveUp
)

// maxGoes bounds how often one stream goes on elsewhere: an engine is reclaimed
// every few seconds at worst, and the longest streams last some twenty.
const maxGoes = 8

// Next decides. A run that has not been seen to start is left where it is when its
// engine leaves: nothing proves that it has not run, and engines work on for as
// long as most requests take to start.
func Next(s Situation) Action {
	if s.Goes >= maxGoes {
		return giveUpUnlessLeaving(s)
	}
	switch s.Cause {
	case CauseLeaving:
		return whenLeaving(s)
	case CauseLost:
		if s.HasCopy {
			return ActionFromCopy
		}
	}
	if s.Resumable || !s.Ran {
		return ActionAgain
	}
	return ActionGiveUp
}

func giveUpUnlessLeaving(s Situation) Action {
	if s.Cause == CauseLeaving {
		return ActionStay
	}
	return ActionGiveUp
}

func whenLeaving(s Situation) Action {
	switch {
	case s.Events == 0:
		return ActionStay
	case s.HasCopy:
		return ActionFromCopy
	case s.CanMove:
		return ActionMove
	}
	return ActionStay
}
