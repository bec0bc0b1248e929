package relay

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/state"
	qt "github.com/frankban/quicktest"
)

func evacuated(index uint64, zones ...api.Zone) state.Evacuated {
	return state.Evacuated{Index: index, Zones: zones}
}

// TestEvacuatedZoneGetsNothing guards against sending requests to targets of an evacuated zone,
// and against refusing them without a Retry-After value.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	for _, kind := range []routeconf.Kind{routeconf.KindIdempotent, routeconf.KindOnce, routeconf.KindStream} {
		t.Run(kind.String(), func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: kind, MaxTargets: 2, Generates: kind == routeconf.KindStream}, noCopies)
			answer := func(w http.ResponseWriter, _ *http.Request) {
				if kind == routeconf.KindStream {
					writeEvents(w, 1, 2)
				}
			}
			var here, there atomic.Int64
			s.target("here", "z", func(w http.ResponseWriter, r *http.Request) { here.Add(1); answer(w, r) })
			s.target("there", "far", func(w http.ResponseWriter, r *http.Request) { there.Add(1); answer(w, r) })
			s.targets.SetEvacuated(evacuated(5, "z"))
			for range 20 {
				resp, _, err := s.ask("/a/x", "Most", "50")
				s.c.Assert(err, qt.IsNil)
				s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			}
			s.c.Assert([]int64{here.Load(), there.Load()}, qt.DeepEquals, []int64{0, 20})

			s.targets.SetEvacuated(evacuated(7, "far", "z"))
			began := time.Now()
			resp, body, err := s.ask("/a/x", "Most", "50")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			s.c.Assert(body, qt.Equals, string(api.ReasonZoneEvacuated)+"\n")
			s.c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "5.00")
			s.c.Assert(time.Since(began) < minRoomWait, qt.IsTrue, qt.Commentf("refused at once"))

			s.targets.SetEvacuated(evacuated(9))
			resp, _, err = s.ask("/a/x", "Most", "50")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// TestEvacuationListsOvertakeEachOther guards against an older list from a lagging control
// member that replaces a newer one.
func TestEvacuationListsOvertakeEachOther(t *testing.T) {
	c := qt.New(t)
	targets := NewTargets()
	in := &Target{table: targets}
	in.Zone = "a"
	c.Assert(in.evacuated(), qt.IsFalse)
	for _, step := range []struct {
		list state.Evacuated
		news bool
		in   bool
	}{
		{evacuated(0), true, false},
		{evacuated(4, "a"), true, true},
		{evacuated(4, "a"), false, true},
		{evacuated(3), false, true},
		{evacuated(9, "b"), true, false},
		{evacuated(8, "a"), false, false},
	} {
		c.Assert(targets.SetEvacuated(step.list), qt.Equals, step.news)
		c.Assert(in.evacuated(), qt.Equals, step.in)
	}
}

// TestStreamIsNotContinuedInAnEvacuatedZone guards against continuing a stream from its standby
// copy in a zone that was evacuated after the copy was begun.
func TestStreamIsNotContinuedInAnEvacuatedZone(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noCopies)
	asked := make(chan struct{}, 1)
	s.target("copy", "far", func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		writeEvents(w, lastEventNumber(r)+1, 8)
	})
	s.target("first", "z", func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		s.targets.SetEvacuated(evacuated(2, "far"))
		panic(http.ErrAbortHandler)
	})
	_, body, err := s.ask("/a/x", "Most", "500")
	s.c.Assert(err, qt.IsNotNil)
	s.c.Assert(body, qt.Equals, eventText(1, 3))
	s.c.Assert(asked, qt.HasLen, 0)
}

// TestStartedSendIsHeldBack guards against sending to a target whose zone was evacuated after
// the target had been selected.
func TestStartedSendIsHeldBack(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	s.target("t", "z", func(http.ResponseWriter, *http.Request) { t.Error("a request reached the target") })
	r := New(Settings{Zone: "z"}, Ports{Live: &s.live, Targets: s.targets, Dialect: plainDialect{}, Observer: nopObserver{}})
	target := s.targets.Of(service)[0]
	s.targets.SetEvacuated(evacuated(1, "z"))
	x, outcome := r.send(context.Background(), &Request{}, &permit{target: target}, Directive{}, "first")
	s.c.Assert(x, qt.IsNil)
	s.c.Assert(outcome, qt.Equals, outcomeNotSent)
}

// TestNothingLeavesItsHomes guards against serving, retrying, migrating or copying a request in
// a region that its route or customer does not allow.
func TestNothingLeavesItsHomes(t *testing.T) {
	north, south := routeconf.AllowedRegions{"north"}, routeconf.AllowedRegions{"south"}
	for _, tt := range []struct {
		name            string
		route, customer routeconf.AllowedRegions
		served          []string
	}{
		{"no homes", nil, nil, []string{"n", "s"}},
		{"homes of the route", north, nil, []string{"n"}},
		{"homes of the customer", nil, south, []string{"s"}},
		{"homes without a common region", north, south, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1, AllowedRegions: tt.route}, noCopies)
			s.target("n", "nz", func(http.ResponseWriter, *http.Request) {})
			s.target("s", "sz", func(http.ResponseWriter, *http.Request) {})
			s.target("nowhere", "unknown", func(http.ResponseWriter, *http.Request) {})
			r := New(Settings{Regions: map[api.Zone]api.Region{"nz": "north", "sz": "south"}}, Ports{Live: &s.live, Targets: s.targets, Observer: nopObserver{}})
			req := &Request{decision: decision{Service: service, Route: &s.live.Load().Config.Routes[0], Customer: &routeconf.Customer{AllowedRegions: tt.customer}}}
			usable := map[string]bool{}
			for i, c := range r.candidates(req, s.targets.Of(service), nil, time.Now()) {
				usable[string(s.targets.Of(service)[i].Target)] = !c.Excluded
			}
			for _, name := range []string{"n", "s"} {
				s.c.Assert(usable[name], qt.Equals, slices.Contains(tt.served, name), qt.Commentf("%s", name))
			}
			s.c.Assert(usable["nowhere"], qt.Equals, tt.route == nil && tt.customer == nil)
			reason, _ := r.noTargetReason(req)
			s.c.Assert(reason == api.ReasonOutsideHomes, qt.Equals, tt.served == nil)
		})
	}
}
