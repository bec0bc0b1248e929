package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/targetstate"
	qt "github.com/frankban/quicktest"
)

// setColdRate configures how many requests per second the service's targets take while cold,
// and for how long they are cold.
func (s *fixture) setColdRate(rate float64, lasts time.Duration) {
	config := s.live.Load().Config
	config.Services[0].ColdRate, config.Services[0].ColdFor = rate, lasts
	table, err := routeconf.Compile(config)
	s.c.Assert(err, qt.IsNil)
	s.live.Store(table)
}

// announceCold applies an announcement that the target is cold.
func (s *fixture) announceCold(r directory.Record, lasts time.Duration) {
	r.Sequence++
	r.Cold = lasts
	s.targets.Update([]directory.Record{r})
}

// TestColdZoneGetsWhatItBears guards against overloading the targets of a zone that returns
// cold during a burst, or a target that becomes cold again while running. The cold target gets
// only as many requests as configured; the others go to warm targets.
func TestColdZoneGetsWhatItBears(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	const coldRate, burst = 5, 60
	s.setColdRate(coldRate, time.Hour)
	var cold, warm atomic.Int64
	own := s.target("cold", "z", func(http.ResponseWriter, *http.Request) { cold.Add(1) })
	s.target("warm", "far", func(http.ResponseWriter, *http.Request) { warm.Add(1) })
	s.announceCold(own, time.Hour)
	var all sync.WaitGroup
	for range burst {
		all.Go(func() {
			resp, _, err := s.ask("/a/x")
			s.c.Check(err, qt.IsNil)
			s.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		})
	}
	all.Wait()
	s.c.Assert(cold.Load() <= coldRate, qt.IsTrue, qt.Commentf("%d", cold.Load()))
	s.c.Assert(cold.Load()+warm.Load(), qt.Equals, int64(burst))
}

// TestColdTargetGetsNothingWithoutALeader guards against entries that continue to send to cold
// targets while the control group has no leader to count the total.
func TestColdTargetGetsNothingWithoutALeader(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	s.setColdRate(50, time.Hour)
	own := s.target("cold", "z", func(http.ResponseWriter, *http.Request) { t.Error("a request reached the cold target") })
	s.announceCold(own, time.Hour)
	r := New(Settings{Zone: "z"}, Ports{
		Live: &s.live, Targets: s.targets, Dialect: plainDialect{}, Observer: nopObserver{},
		Retries: NewRetries(enoughRetries, &scriptedGrantor{err: errors.New("no leader")}),
	})
	target := s.targets.Of(service)[0]
	_, ok := r.permit(context.Background(), &Request{}, target, targetstate.UseNew)
	s.c.Assert(ok, qt.IsFalse)
	// A permit that has expired is replaced by a new one, which is refused here.
	old := &permit{target: target, grants: []Retry{{paid: paidPool}}}
	x, outcome := r.send(context.Background(), &Request{}, old, Directive{}, "first")
	s.c.Assert(x, qt.IsNil)
	s.c.Assert(outcome, qt.Equals, outcomeHeldBack)
	status := target.state()
	s.c.Assert(status.IsRefused(time.Now()), qt.IsTrue)
}

// TestCold checks what makes a target cold, and for how long.
func TestCold(t *testing.T) {
	const lasts = 10 * time.Second
	record := directory.Record{Target: "t", Service: service, Address: "a:1", Zone: "z", Sequence: 1, State: directory.StateReady}
	for _, tt := range []struct {
		name   string
		do     func(s *fixture)
		isCold bool
	}{
		{"warm", func(*fixture) {}, false},
		{"announced cold", func(s *fixture) { s.announceCold(record, lasts) }, true},
		{"announced warm after cold, which does not shorten the time", func(s *fixture) {
			s.announceCold(record, lasts)
			s.targets.Update([]directory.Record{record})
		}, true},
		{"its zone is evacuated", func(s *fixture) { s.targets.SetEvacuated(evacuated(1, "z")) }, false},
		{"the evacuation of its zone has ended", func(s *fixture) {
			s.targets.SetEvacuated(evacuated(1, "z"))
			s.targets.SetEvacuated(evacuated(2))
		}, true},
		{"the evacuation of another zone has ended", func(s *fixture) {
			s.targets.SetEvacuated(evacuated(1, "y"))
			s.targets.SetEvacuated(evacuated(2))
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
			s.setColdRate(1, lasts)
			s.targets.Update([]directory.Record{record})
			tt.do(s)
			r := New(Settings{Zone: "z"}, Ports{Live: &s.live, Targets: s.targets})
			target := s.targets.Of(service)[0]
			now := time.Now()
			s.c.Assert(r.isCold(target, now), qt.Equals, tt.isCold)
			s.c.Assert(r.isCold(target, now.Add(lasts)), qt.IsFalse)
		})
	}
}

// TestColdStartIsAskedForByTarget checks that a grant for a cold target is requested with the
// target's ID and the configured rate.
func TestColdStartIsAskedForByTarget(t *testing.T) {
	c := qt.New(t)
	g := &scriptedGrantor{answer: retrybudget.Answer{Granted: true}}
	_, v := NewRetries(someRetries, g).ForTarget(context.Background(), retrybudget.PurposeColdStart, "s", "t", 36)
	c.Assert(v.OK, qt.IsTrue)
	c.Assert(g.asks, qt.HasLen, 1)
	c.Assert(g.asks[0].Target, qt.Equals, api.TargetID("t"))
	c.Assert(g.asks[0].Purpose, qt.Equals, retrybudget.PurposeColdStart)
	c.Assert(g.asks[0].Rate, qt.Equals, 36.0)
}
