package relay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// reservingEngines makes reservations only at the addresses in room.
type reservingEngines struct {
	copyFunc
	mu    sync.Mutex
	room  map[string]bool
	asked []string
}

// Reserve implements Engines.
func (k *reservingEngines) Reserve(_ context.Context, peer Peer, _ int, _ time.Duration) (string, error) {
	at := peer.Address()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = append(k.asked, at)
	if !k.room[at] {
		return "", ErrNoRoom
	}
	return "reserved at " + at, nil
}

// enableReservations changes the configuration so that engines make reservations.
func (s *fixture) enableReservations() {
	table := *s.live.Load()
	c := table.Config
	e := *c.Services[0].Engine
	e.ReservationTTL = time.Second
	c.Services = []routeconf.Service{{Name: service, Engine: &e}}
	next, err := routeconf.Compile(c)
	s.c.Assert(err, qt.IsNil)
	s.live.Store(next)
}

// TestRequestGoesWhereRoomIsSetAside guards against a request that waits at a full engine. Two
// entries may choose the same free memory at the same time; the engine reserves it for one of
// them, and the other's request has to go to another engine, with that engine's reservation in
// its header.
func TestRequestGoesWhereRoomIsSetAside(t *testing.T) {
	engines := &reservingEngines{copyFunc: noCopies, room: map[string]bool{}}
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, engines)
	s.enableReservations()
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the full engine received the request") })
	got := make(chan string, 1)
	b := s.target("b", "far", func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("Reservation")
		writeEvents(w, 1, 1)
	})
	engines.room[b.Address] = true
	_, _, err := s.ask("/a/x")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(<-got, qt.Equals, "reserved at "+b.Address)
	s.c.Assert(len(engines.asked) >= 1, qt.IsTrue)
}

// TestRequestWithoutRoomIsRefused checks that a request is refused if no engine has room for as
// long as the caller would wait: with a Retry-After value, before the caller gives up, and
// without reaching an engine.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	k := &reservingEngines{copyFunc: noCopies}
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, k)
	s.enableReservations()
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the full engine received the request") })
	req, err := http.NewRequest(http.MethodGet, s.url+"/a/x", nil)
	s.c.Assert(err, qt.IsNil)
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	s.c.Assert(err, qt.IsNil)
	resp.Body.Close()
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(after >= retryRoom.Seconds(), qt.IsTrue)
}

// TestLengthsAreRanked checks that costs are ranked among the recent ones, by which the
// cheapest requests get room first. A request of unknown cost is ranked in the middle.
func TestLengthsAreRanked(t *testing.T) {
	c := qt.New(t)
	l := newCostRanks()
	c.Assert(l.rank(service, 0), qt.Equals, 0.5)
	c.Assert(l.rank(service, 10), qt.Equals, 0.5)
	for range 4 * maxRecentCosts {
		l.rank(service, 100)
	}
	c.Assert(l.rank(service, 1) < 0.05, qt.IsTrue)
	c.Assert(l.rank(service, 1000) > 0.95, qt.IsTrue)
	c.Assert(l.rank("other", 1), qt.Equals, 0.5)
}

// TestGenerationWaitsForMemory checks that a generation waits at the entry while all engines
// are full, instead of preempting a running stream.
func TestGenerationWaitsForMemory(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, noCopies)
	arrived := make(chan struct{}, 1)
	s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		writeEvents(w, 1, 1)
	})
	full := s.targets.Of(service)[0]
	full.addRequest(2<<20, 0)
	done := make(chan error, 1)
	go func() {
		_, _, err := s.ask("/a/x")
		done <- err
	}()
	select {
	case <-arrived:
		t.Fatal("the request was sent to a full engine")
	case <-time.After(3 * roomPollInterval):
	}
	full.removeRequest(2 << 20)
	<-arrived
	s.c.Assert(<-done, qt.IsNil)
}
