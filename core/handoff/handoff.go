// Package handoff decides how a stream is continued when its engine drains or is lost
// while a caller is reading. It is pure; node/relay carries the decisions out.
package handoff

// Cause is why a stream has to be continued elsewhere.
type Cause uint8

// The causes.
const (
	// CauseDraining: the engine has said that it drains, and still works.
	CauseDraining Cause = iota + 1
	// CauseLost: the connection ended or the answer broke off.
	CauseLost
	// CauseNoStandby: an engine said that it does not hold the copy it was asked to
	// continue from.
	CauseNoStandby
)

// Situation is what is known of a stream when it must be continued elsewhere.
type Situation struct {
	Cause Cause
	// Events is how many events the caller has been given.
	Events int
	// Ran tells that the engine may have begun to work on the request.
	Ran bool
	// Resumable streams may be run anew from the event after the last.
	Resumable bool
	// HasStandby tells that the run's memory was sent to another engine as it grew,
	// and that this engine is there.
	HasStandby bool
	// CanMove tells that the engine can copy a run on demand.
	CanMove bool
	// Migrations is how many times the stream has been continued elsewhere.
	Migrations int
}

// Action is what to do.
type Action uint8

// The actions.
const (
	// ActionStay: read on.
	ActionStay Action = iota + 1
	// ActionFromStandby: end the run, and continue at the engine that has its memory.
	ActionFromStandby
	// ActionMigrate: copy the run while it continues, stop it, and continue at the engine
	// that has the copy.
	ActionMigrate
	// ActionRestart: run anew after the last event.
	ActionRestart
	// ActionGiveUp: nothing may be done that would be the same run.
	ActionGiveUp
)

// maxMigrations bounds how often one stream is continued elsewhere: an engine is reclaimed
// every few seconds at worst, and the longest streams last some twenty.
const maxMigrations = 8

// Next decides. A run that has not been seen to start is left where it is when its
// engine drains: nothing proves that it has not run, and engines work on for as
// long as most requests take to start.
func Next(s Situation) Action {
	if s.Migrations >= maxMigrations {
		return giveUpUnlessDraining(s)
	}
	switch s.Cause {
	case CauseDraining:
		return whenDraining(s)
	case CauseLost:
		if s.HasStandby {
			return ActionFromStandby
		}
	}
	if s.Resumable || !s.Ran {
		return ActionRestart
	}
	return ActionGiveUp
}

func giveUpUnlessDraining(s Situation) Action {
	if s.Cause == CauseDraining {
		return ActionStay
	}
	return ActionGiveUp
}

func whenDraining(s Situation) Action {
	switch {
	case s.Events == 0:
		return ActionStay
	case s.HasStandby:
		return ActionFromStandby
	case s.CanMove:
		return ActionMigrate
	}
	return ActionStay
}
