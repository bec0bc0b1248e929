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
		{"leaves, a copy is there", Situation{Cause: CauseLeaving, Events: 3, Ran: true, HasCopy: true, CanMove: true}, ActionFromCopy},
		{"leaves, no copy", Situation{Cause: CauseLeaving, Events: 3, Ran: true, CanMove: true}, ActionMove},
		{"leaves, nothing can be moved", Situation{Cause: CauseLeaving, Events: 3, Ran: true}, ActionStay},
		{"leaves before the first event", Situation{Cause: CauseLeaving, Ran: true, HasCopy: true, CanMove: true}, ActionStay},
		{"leaves once too often", Situation{Cause: CauseLeaving, Events: 3, HasCopy: true, Goes: maxGoes}, ActionStay},
		{"lost, a copy is there", Situation{Cause: CauseLost, Events: 3, Ran: true, HasCopy: true}, ActionFromCopy},
		{"lost, may be resumed", Situation{Cause: CauseLost, Events: 3, Ran: true, Resumable: true}, ActionAgain},
		{"lost, must not run twice", Situation{Cause: CauseLost, Events: 3, Ran: true, CanMove: true}, ActionGiveUp},
		{"lost before it ran", Situation{Cause: CauseLost}, ActionAgain},
		{"the copy was not there", Situation{Cause: CauseNoCopy, Events: 3, Ran: true, HasCopy: true}, ActionGiveUp},
		{"the copy was not there, may be resumed", Situation{Cause: CauseNoCopy, Ran: true, Resumable: true}, ActionAgain},
	} {
		t.Run(tt.name, func(t *testing.T) { qt.New(t).Assert(Next(tt.s), qt.Equals, tt.want) })
	}
}
