package relay

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/targetstate"
	qt "github.com/frankban/quicktest"
)

// TestLeavingStatedInAnyResponseIsApplied guards against new requests and reservations at a target
// that has stated in a response, on any path, that it is leaving, while control lists it as ready.
func TestLeavingStatedInAnyResponseIsApplied(t *testing.T) {
	for name, send := range pathsToATarget {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r, target, req, arrived := newPathFixture(t, nopObserver{}, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Leaving", "1") })
			c.Assert(send(r, req, target), qt.IsNil)
			c.Assert(pathsToATarget["request"](r, req, target), qt.IsNotNil)
			c.Assert(pathsToATarget["reservation"](r, req, target), qt.IsNotNil)
			c.Assert(r.pickTarget(req, service, nil), qt.IsNil)
			c.Assert(arrived.Load(), qt.Equals, int64(1))
			// A run that the target holds would be lost without these.
			c.Assert(pathsToATarget["move"](r, req, target), qt.IsNil)
			c.Assert(pathsToATarget["continuation"](r, req, target), qt.IsNil)
		})
	}
}

// TestLeavingIsNotRevoked guards against an announcement that makes an entry forget what the
// target itself has stated, and against a statement that is applied to the target's next run.
func TestLeavingIsNotRevoked(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	var arrived atomic.Int64
	var leaving atomic.Bool
	leaving.Store(true)
	record := s.target("t", "z", func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		if leaving.Load() {
			w.Header().Set("Leaving", "1")
		}
	})
	ask := func() int {
		resp, _, err := s.ask("/a/x")
		s.c.Assert(err, qt.IsNil)
		return resp.StatusCode
	}
	record.Born = 1
	s.targets.Update([]directory.Record{record})
	s.c.Assert(ask(), qt.Equals, http.StatusOK)
	for _, state := range []directory.State{directory.StateReady, directory.StateMissing, directory.StateReady} {
		record.Sequence++
		record.State = state
		s.targets.Update([]directory.Record{record})
		s.c.Assert(ask(), qt.Equals, http.StatusServiceUnavailable)
	}
	moved := record
	moved.Zone, moved.Address = "far", "127.0.0.1:1"
	s.targets.Update([]directory.Record{moved})
	s.targets.Update([]directory.Record{record})
	s.c.Assert(ask(), qt.Equals, http.StatusServiceUnavailable)
	s.c.Assert(arrived.Load(), qt.Equals, int64(1))

	leaving.Store(false)
	record.Born++
	s.targets.Update([]directory.Record{record})
	s.c.Assert(ask(), qt.Equals, http.StatusOK)
}

// TestStreamIsMigratedFromAnEngineThatStatesItIsLeaving guards against streams that are lost with an
// engine whose leaving was stated in another response, while control lists it as ready.
func TestStreamIsMigratedFromAnEngineThatStatesItIsLeaving(t *testing.T) {
	stopped := make(chan struct{})
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, copyFunc(func(_, _ string, stop bool) (Copy, error) {
		if stop {
			close(stopped)
		}
		return Copy{Address: "x", ID: "handle"}, nil
	}))
	s.checkMigration(stopped, func(first directory.Record) {
		for _, target := range s.targets.Of(service) {
			if target.Target == first.Target {
				r := New(Settings{}, Ports{Targets: s.targets, Observer: nopObserver{}})
				r.applyStatements(&Request{}, target, Reply{Leaving: true, NotRun: true}, target.newSendStart(false))
			}
		}
	})
}

// TestPermitOfATargetThatLeavesIsNotUsed guards against a request that was placed before its target
// stated that it is leaving, and is sent after that.
func TestPermitOfATargetThatLeavesIsNotUsed(t *testing.T) {
	c := qt.New(t)
	r, target, req, arrived := newPathFixture(t, nopObserver{}, func(http.ResponseWriter, *http.Request) {})
	target.update(func(s targetstate.Status) targetstate.Status {
		return s.Apply(targetstate.Statement{Leaving: true}, time.Now(), 0)
	})
	c.Assert(pathsToATarget["request"](r, req, target), qt.ErrorMatches, outcomeHeldBack)
	c.Assert(arrived.Load(), qt.Equals, int64(0))
}
