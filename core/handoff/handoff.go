// Package handoff decides how a stream is continued when its engine drains or is lost
// while a caller is reading. It is pure; node/relay executes the decisions.
package handoff

// Cause is the reason why a stream has to be continued on another engine.
type Cause uint8

// The causes.
const (
	// CauseDraining: the engine has announced that it drains, and still works.
	CauseDraining Cause = iota + 1
	// CauseLost: the connection was closed or the answer ended early.
	CauseLost
	// CauseNoStandby: the stream could not be continued from its standby copy, for
	// example because the standby engine does not hold it.
	CauseNoStandby
	// CauseFailed: the engine to which the stream was sent has answered with a failure, so the
	// request has run to its end there.
	CauseFailed
)

// Situation describes a stream that has to be continued on another engine.
type Situation struct {
	Cause Cause
	// Events is the number of events that the caller has received.
	Events int
	// Ran is set if an engine may have started to work on the request.
	Ran bool
	// Resumable is set if the request may be run again, continuing after the last event.
	Resumable bool
	// HasStandby is set if the run's memory was copied to a standby engine as it grew
	// and that engine may be used.
	HasStandby bool
	// CanMove is set if the engine can copy a run to another engine on demand, and stop it.
	CanMove bool
	// Migrations is the number of attempts to continue the stream on another engine.
	Migrations int
	// EndsInTime is set if the run certainly ends before its draining engine does.
	EndsInTime bool
}

// Action is the way in which a stream is continued.
type Action uint8

// The actions.
const (
	// ActionStay: keep reading from the current engine.
	ActionStay Action = iota + 1
	// ActionFromStandby: continue the run on the engine with its standby copy.
	ActionFromStandby
	// ActionMigrate: copy the run while it continues, stop it, and continue it on the
	// engine that has the copy.
	ActionMigrate
	// ActionRestart: run the request again and continue after the last event.
	ActionRestart
	// ActionGiveUp: end the stream, because it cannot be continued as the same run.
	ActionGiveUp
)

// maxMigrations bounds Situation.Migrations for one stream. At worst the stream's engine is
// reclaimed every few seconds, and the longest streams last about twenty seconds.
const maxMigrations = 8

// Next returns the action for a stream. A run that has not sent an event yet stays on its
// engine when that engine drains: nothing proves that the run has not started, and a
// draining engine works long enough for most requests to start. So does a run that cannot
// be stopped: the engine may work on after the end of the connection. A run that is stopped is continued
// from the copy that was made for that, since its standby copy may be missing; the standby copy serves if the
// engine ends before.
func Next(s Situation) Action {
	if s.Migrations >= maxMigrations {
		return giveUpUnlessDraining(s)
	}
	switch s.Cause {
	case CauseDraining:
		return nextWhenDraining(s)
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

func nextWhenDraining(s Situation) Action {
	switch {
	case s.Events == 0 || s.EndsInTime || !s.CanMove:
		return ActionStay
	}
	return ActionMigrate
}
