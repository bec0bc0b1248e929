package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// copier copies runs, and tells which copies are dropped where.
type copier struct {
	mover
	dropped chan string
	// fails are the addresses at which nothing can be dropped.
	fails map[string]bool
}

func (c *copier) Drop(_ context.Context, at, id string) error {
	if c.fails[at] {
		return errors.New("unreachable")
	}
	c.dropped <- at + " " + id
	return nil
}

// TestCopyThatNobodyTakesUpIsDropped guards against engines that keep the memory of copies for
// seconds after their runs have ended, and refuse runs that have to be moved there.
func TestCopyThatNobodyTakesUpIsDropped(t *testing.T) {
	handle := Copy{Address: "x", ID: "handle"}
	for _, tt := range []struct {
		name    string
		retries retrybudget.Limits
		// move answers the first copy and the one with the stop; ended is closed when the
		// stream is over.
		move func(stop bool, ended chan struct{}) (Copy, error)
		// gone tells that the draining engine answers no more.
		gone bool
	}{
		{"the run ends while it is copied", enoughRetries, func(_ bool, ended chan struct{}) (Copy, error) {
			<-ended
			return handle, nil
		}, false},
		{"its engine is gone then", enoughRetries, func(_ bool, ended chan struct{}) (Copy, error) {
			<-ended
			return handle, nil
		}, true},
		{"it can't be stopped", enoughRetries, func(stop bool, _ chan struct{}) (Copy, error) {
			if stop {
				return Copy{}, errors.New("no such run")
			}
			return handle, nil
		}, false},
		{"no retry is left", retrybudget.Limits{Window: 10 * time.Second}, func(bool, chan struct{}) (Copy, error) { return handle, nil }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ended, copied := make(chan struct{}), make(chan struct{}, 8)
			engines := &copier{dropped: make(chan string, 8), fails: map[string]bool{}}
			engines.mover = func(_, _ string, stop bool) (Copy, error) {
				copied <- struct{}{}
				return tt.move(stop, ended)
			}
			s := newStageWith(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines, tt.retries)
			second := s.target("b", "far", func(http.ResponseWriter, *http.Request) { t.Error("the second engine got the request") })
			var first directory.Record
			first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 3)
				s.leaves(first)
				events(w, 4, 4)
				<-copied
				time.Sleep(2 * payEvery)
				events(w, 5, 6)
			})
			engines.fails[first.Address] = tt.gone
			_, body, err := s.ask("/a/x", "Most", "50")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(body, qt.Equals, wanted(1, 6))
			close(ended)
			at := first.Address
			if tt.gone {
				at = second.Address
			}
			s.c.Assert(<-engines.dropped, qt.Equals, at+" handle")
			for len(s.targets.Loads()) > 0 { // whatever was counted for the copy is taken back
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestCopyInUseIsNotDropped guards against a run that loses its memory while it is continued
// from it.
func TestCopyInUseIsNotDropped(t *testing.T) {
	stopped := make(chan struct{})
	engines := &copier{dropped: make(chan string, 1)}
	engines.mover = func(_, _ string, stop bool) (Copy, error) {
		if stop {
			close(stopped)
		}
		return Copy{Address: "x", ID: "handle"}, nil
	}
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines)
	s.target("b", "far", func(w http.ResponseWriter, r *http.Request) { events(w, last(r)+1, 9) })
	var first directory.Record
	first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		s.leaves(first)
		events(w, 4, 4)
		<-stopped
		panic(http.ErrAbortHandler)
	})
	_, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 9))
	s.c.Assert(engines.dropped, qt.HasLen, 0)
}
