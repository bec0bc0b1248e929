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

// copyDropper is a copyFunc that also records which copies are dropped where.
type copyDropper struct {
	copyFunc
	dropped chan string
	// fails holds the addresses at which dropping a copy fails.
	fails map[string]bool
}

func (c *copyDropper) Drop(_ context.Context, peer Peer, id string) error {
	at := peer.Address()
	if c.fails[at] {
		return errors.New("unreachable")
	}
	c.dropped <- at + " " + id
	return nil
}

// TestCopyThatNobodyTakesUpIsDropped guards against unused copies that occupy an engine's
// memory for seconds after their runs have ended, so that the engine refuses runs that have to
// be migrated there.
func TestCopyThatNobodyTakesUpIsDropped(t *testing.T) {
	handle := Copy{Address: "x", ID: "handle"}
	for _, tt := range []struct {
		name    string
		retries retrybudget.Limits
		// move answers the calls that copy the run; stop is set in the call that also stops it.
		// ended is closed when the stream is over.
		move func(stop bool, ended chan struct{}) (Copy, error)
		// gone is set if the draining engine no longer answers.
		gone bool
	}{
		{"the run ends while it is copied", enoughRetries, func(_ bool, ended chan struct{}) (Copy, error) {
			<-ended
			return handle, nil
		}, false},
		{"the run ends while it is copied, and its engine is gone", enoughRetries, func(_ bool, ended chan struct{}) (Copy, error) {
			<-ended
			return handle, nil
		}, true},
		{"the run can't be stopped", enoughRetries, func(stop bool, _ chan struct{}) (Copy, error) {
			if stop {
				return Copy{}, errors.New("no such run")
			}
			return handle, nil
		}, false},
		{"no retry is left", retrybudget.Limits{Window: 10 * time.Second}, func(bool, chan struct{}) (Copy, error) { return handle, nil }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ended, copied := make(chan struct{}), make(chan struct{}, 8)
			engines := &copyDropper{dropped: make(chan string, 8), fails: map[string]bool{}}
			engines.copyFunc = func(_, _ string, stop bool) (Copy, error) {
				copied <- struct{}{}
				return tt.move(stop, ended)
			}
			s := newFixtureWithRetries(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines, tt.retries)
			second := s.target("b", "far", func(http.ResponseWriter, *http.Request) { t.Error("the second engine received the request") })
			var first directory.Record
			first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, 1, 3)
				s.drain(first)
				writeEvents(w, 4, 4)
				<-copied
				time.Sleep(2 * retryAcquireInterval)
				writeEvents(w, 5, 6)
			})
			engines.fails[first.Address] = tt.gone
			_, body, err := s.ask("/a/x", "Most", "50")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(body, qt.Equals, eventText(1, 6))
			close(ended)
			at := first.Address
			if tt.gone {
				at = second.Address
			}
			s.c.Assert(<-engines.dropped, qt.Equals, at+" handle")
			for len(s.targets.Loads()) > 0 { // wait until the load counted for the copy has been removed
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestCopyInUseIsNotDropped guards against dropping the copy from which a run is being
// continued.
func TestCopyInUseIsNotDropped(t *testing.T) {
	stopped := make(chan struct{})
	engines := &copyDropper{dropped: make(chan string, 1)}
	engines.copyFunc = func(_, _ string, stop bool) (Copy, error) {
		if stop {
			close(stopped)
		}
		return Copy{Address: "x", ID: "handle"}, nil
	}
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines)
	s.target("b", "far", func(w http.ResponseWriter, r *http.Request) { writeEvents(w, lastEventNumber(r)+1, 9) })
	var first directory.Record
	first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		s.drain(first)
		writeEvents(w, 4, 4)
		<-stopped
		panic(http.ErrAbortHandler)
	})
	_, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, eventText(1, 9))
	s.c.Assert(engines.dropped, qt.HasLen, 0)
}
