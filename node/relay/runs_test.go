package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// runStates is a target's answer to the question for its run, after a time.
type runStates struct {
	copyFunc
	born int64
	err  error
	took time.Duration
}

func (s runStates) Run(ctx context.Context, at Peer) (int64, error) {
	sleep(ctx, s.took)
	if at, ok := at.(peer); ok && s.err == nil && at.opening != nil {
		*at.opening = upstream.Opening{Began: at.openedSince, Ended: at.openedSince}
	}
	return s.born, errors.Join(s.err, ctx.Err())
}

// TestRunBehindAConnection guards against a stream that is continued although it is only supposed which
// run of a target serves its connection, and against streams that are never continued at targets whose
// page for their run is missing or slow.
func TestRunBehindAConnection(t *testing.T) {
	const born = 7
	unstated := runStates{err: ErrNoRunStated}
	for _, tc := range []struct {
		name   string
		states runStates
		// known is how long the entry has known the run, opened how long the connection has been open.
		known, opened time.Duration
		successor     bool
		want          bool
	}{
		{name: "stated", states: runStates{born: born}, known: time.Minute, opened: time.Second, want: true},
		{name: "stated late", states: runStates{born: born, took: confirmTimeout / 2}, known: time.Minute, opened: time.Second, want: true},
		{name: "another run", states: runStates{born: born + 1}, known: time.Minute, opened: time.Second},
		{name: "another run, whose clock was set back", states: runStates{born: born - 1}, known: time.Minute, opened: time.Second},
		{name: "opened before the run was known", states: runStates{born: born}, known: time.Second, opened: time.Minute},
		{name: "no answer", states: runStates{err: errors.New("lost")}, known: time.Minute, opened: time.Second},
		{name: "silent", states: runStates{born: born, took: time.Hour}, known: time.Minute, opened: time.Second},
		{name: "not stated, open for long", states: unstated, known: time.Minute, opened: announceDelay + time.Second, want: true},
		{name: "not stated, open for long, announced again", states: unstated, known: time.Minute, opened: announceDelay + time.Second, successor: true},
		{name: "not stated, opened just now", states: unstated, known: time.Minute, opened: time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Relay{engines: tc.states, obs: nopObserver{}, pool: upstream.NewPool(nopObserver{}), targets: NewTargets()}
				r.runQuestions.ctx, r.runQuestions.cancel = context.WithCancel(context.Background())
				defer r.runQuestions.stop()
				target := &Target{Record: directory.Record{Target: "t", Born: born}}
				target.runs.begin(time.Now().Add(-tc.known))
				if tc.successor {
					target.successor.Store(&Target{Record: directory.Record{Target: "t", Born: born + 1}})
				}
				at := time.Now().Add(-tc.opened)
				ctx, cancel := context.WithTimeout(t.Context(), confirmTimeout)
				defer cancel()
				err := r.confirmRun(ctx, &Request{}, target, upstream.Opening{Began: at, Ended: at})
				qt.Assert(t, err == nil, qt.Equals, tc.want, qt.Commentf("%v", err))
			})
		})
	}
}

// provenOpening returns the opening of a connection that is known to lead to the run of a target.
func provenOpening(t *Target) upstream.Opening {
	o := upstream.Opening{Began: t.runs.known, Ended: t.runs.known}
	t.runs.want(o.Ended)
	t.runs.record(o, nil, true)
	return o
}
