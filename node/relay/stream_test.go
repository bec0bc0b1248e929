package relay

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// A caller reads a long stream whose engine says that it leaves. The stream goes on
// where its memory was copied: each event comes once, in order, and the first
// engine is let go.
func TestStreamGoesOnWhereItsCopyIs(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noMoves)
	released := make(chan struct{})
	var first directory.Record
	s.target("b", "far", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Copy-From") != "1" {
			t.Errorf("the second engine was asked without the copy")
		}
		events(w, last(r)+1, 6)
	})
	first = s.target("a", "z", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Copy-To") == "" {
			t.Errorf("no copy was ordered")
		}
		events(w, 1, 3)
		s.leaves(first)
		events(w, 4, 4)
		<-r.Context().Done()
		close(released)
	})
	resp, body, err := s.ask("/a/x", "Most", "500")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	s.c.Assert(body, qt.Equals, wanted(1, 6))
	<-released
}

// An engine leaves, and the one that should have a copy of the run has none. The
// caller must not lose the stream for that: the run was still under way when the
// copy was asked for, and goes on to its end.
func TestRunIsNotEndedForACopyThatIsMissing(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noMoves)
	refused := make(chan struct{})
	var once sync.Once
	var first directory.Record
	s.target("b", "far", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		once.Do(func() { close(refused) })
	})
	first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		s.leaves(first)
		events(w, 4, 4)
		<-refused
		events(w, 5, 8)
	})
	_, body, err := s.ask("/a/x", "Most", "500")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 8))
}

// An engine leaves just as it has made a stream's last event. The next one has
// nothing left to make and gives the last event again; the caller must get it once.
func TestLastEventIsNotGivenTwice(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noMoves)
	var first directory.Record
	// Asked to continue after the last event, the second engine gives that one again.
	s.target("b", "far", func(w http.ResponseWriter, r *http.Request) { events(w, min(last(r)+1, 4), 4) })
	first = s.target("a", "z", func(w http.ResponseWriter, r *http.Request) {
		events(w, 1, 3)
		s.leaves(first)
		events(w, 4, 4)
		<-r.Context().Done()
	})
	_, body, err := s.ask("/a/x", "Most", "500")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 4))
}

// A run has no copy and its engine leaves. It is copied while it goes on, stopped,
// and taken up by the other engine; what was made before the stop comes from the
// first.
func TestRunIsMovedFromAnEngineThatLeaves(t *testing.T) {
	copying, stopped := make(chan struct{}), make(chan struct{})
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, mover(func(_, _ string, stop bool) (Copy, error) {
		if stop {
			close(stopped)
		} else {
			close(copying)
		}
		return Copy{Address: "x", ID: "handle"}, nil
	}))
	var first directory.Record
	s.target("b", "far", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Copy-From") != "handle" {
			t.Errorf("the second engine was asked without the handle")
		}
		events(w, last(r)+1, 6*growEvery)
	})
	first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		s.leaves(first)
		events(w, 4, 4)
		<-copying
		events(w, 5, 4*growEvery) // it grows while it is copied
		<-stopped
		events(w, 4*growEvery+1, 5*growEvery)
		panic(http.ErrAbortHandler) // a stopped run ends without its end
	})
	_, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 6*growEvery))
	// Whatever was counted at the engines on the way is taken back, or they would
	// look fuller with every move.
	for len(s.targets.Loads()) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// leavingEngine starts an engine that leaves while it makes a stream of nine events, and goes
// on for a while once its run has been copied.
func (s *stage) leavingEngine(copied <-chan struct{}) {
	var first directory.Record
	first = s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		s.leaves(first)
		events(w, 4, 4)
		<-copied
		time.Sleep(3 * payEvery)
		events(w, 5, 9)
	})
}

// The caller reads a long stream, its engine leaves, and the budget for repeats is
// spent. The run is copied to another engine; were it stopped then, it could go on
// nowhere and the stream would break off. It is not stopped, and its engine, which
// works on for a while, ends it.
func TestRunIsNotStoppedWithoutARepeatForIt(t *testing.T) {
	copied := make(chan struct{}, 1)
	engines := mover(func(_, _ string, stop bool) (Copy, error) {
		if stop {
			t.Error("the run was stopped")
		}
		copied <- struct{}{}
		return Copy{Address: "x", ID: "handle"}, nil
	})
	s := newStageWith(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines, retrybudget.Limits{Window: 10 * time.Second})
	s.target("b", "far", func(http.ResponseWriter, *http.Request) { t.Error("the second engine got the request") })
	s.leavingEngine(copied)
	_, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 9))
}

// An engine breaks off in the middle of an event. Passed on as it came, the caller
// would get half an event and then the whole; it gets the whole alone.
func TestHalfAnEventIsNeverPassedOn(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 2, Resumable: true}, noMoves)
	var asked atomic.Int32
	h := func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) > 1 {
			events(w, last(r)+1, 4)
			return
		}
		events(w, 1, 2)
		fmt.Fprint(w, "id: 3\ndata: pie")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	s.target("a", "z", h)
	s.target("b", "z", h)
	_, body, err := s.ask("/a/x")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 4))
}

// A stream that must not run twice breaks off and no copy is there. Its end must
// not look whole: the caller's connection ends without the last chunk.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noMoves)
	s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 2)
		panic(http.ErrAbortHandler)
	})
	_, body, err := s.ask("/a/x")
	s.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	s.c.Assert(body, qt.Equals, wanted(1, 2))
}

// TestStreamWithoutEventsKeepsItsHead guards against the answer of an engine that made no event
// and reaches its caller without the head that the engine gave it.
func TestStreamWithoutEventsKeepsItsHead(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noMoves)
	s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Seal", "of the engine")
	})
	resp, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	s.c.Assert(body, qt.Equals, "")
	s.c.Assert(resp.Header.Get("Seal"), qt.Equals, "of the engine")
}
