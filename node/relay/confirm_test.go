package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/directory"
	qt "github.com/frankban/quicktest"
)

// runStates is a target's answer to the question for its run.
type runStates struct {
	copyFunc
	born int64
	err  error
}

func (s runStates) Run(context.Context, Peer) (int64, error) { return s.born, s.err }

// TestRunOfATargetThatDoesNotStateIt guards against streams that are never continued at targets without a page
// for their run, and against continuing one at a target that may have started again.
func TestRunOfATargetThatDoesNotStateIt(t *testing.T) {
	const born = 7
	unstated := runStates{err: ErrNoRunStated}
	for _, tc := range []struct {
		name   string
		states runStates
		// failed is how long ago a failure of the target was seen, zero for never.
		failed    time.Duration
		successor bool
		want      bool
	}{
		{name: "not stated", states: unstated, want: true},
		{name: "not stated, failed long ago", states: unstated, failed: announceDelay + time.Second, want: true},
		{name: "not stated, failed just now", states: unstated, failed: time.Second},
		{name: "not stated, announced again", states: unstated, successor: true},
		{name: "no answer", states: runStates{err: errors.New("lost")}},
		{name: "stated, failed just now", states: runStates{born: born}, failed: time.Second, want: true},
		{name: "another run", states: runStates{born: born + 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Relay{engines: tc.states, obs: nopObserver{}}
				target := &Target{Record: directory.Record{Target: "t", Born: born}}
				if tc.failed > 0 {
					target.recordFailure(time.Now())
					time.Sleep(tc.failed)
				}
				if tc.successor {
					target.successor.Store(&Target{Record: directory.Record{Target: "t", Born: born + 1}})
				}
				err := r.confirmRun(t.Context(), &Request{}, target)
				qt.Assert(t, err == nil, qt.Equals, tc.want, qt.Commentf("%v", err))
			})
		})
	}
}
