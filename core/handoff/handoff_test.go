package handoff

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// What is done for a stream whose engine can't go on with it. A run that must not
// run twice is never run anew; one that has not begun is left where it is, for
// nothing proves that it won't.
func TestNext(t *testing.T) {
	for _, tt := range []struct {
		name string
		s    Situation
		want Action
	}{
		{"leaves, a copy is there", Situation{Cause: CauseDraining, Events: 3, Ran: true, HasStandby: true, CanMove: true}, ActionFromStandby},
		{"leaves, no copy", Situation{Cause: CauseDraining, Events: 3, Ran: true, CanMove: true}, ActionMigrate},
		{"leaves, nothing can be moved", Situation{Cause: CauseDraining, Events: 3, Ran: true}, ActionStay},
		{"leaves before the first event", Situation{Cause: CauseDraining, Ran: true, HasStandby: true, CanMove: true}, ActionStay},
		{"leaves once too often", Situation{Cause: CauseDraining, Events: 3, HasStandby: true, Migrations: maxMigrations}, ActionStay},
		{"lost, a copy is there", Situation{Cause: CauseLost, Events: 3, Ran: true, HasStandby: true}, ActionFromStandby},
		{"lost, may be resumed", Situation{Cause: CauseLost, Events: 3, Ran: true, Resumable: true}, ActionRestart},
		{"lost, must not run twice", Situation{Cause: CauseLost, Events: 3, Ran: true, CanMove: true}, ActionGiveUp},
		{"lost before it ran", Situation{Cause: CauseLost}, ActionRestart},
		{"the copy was not there", Situation{Cause: CauseNoStandby, Events: 3, Ran: true, HasStandby: true}, ActionGiveUp},
		{"the copy was not there, may be resumed", Situation{Cause: CauseNoStandby, Ran: true, Resumable: true}, ActionRestart},
	} {
		t.Run(tt.name, func(t *testing.T) { qt.New(t).Assert(Next(tt.s), qt.Equals, tt.want) })
	}
}
