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

// keeper sets room aside at the engines named, and at no others.
type keeper struct {
	mover
	mu    sync.Mutex
	room  map[string]bool
	asked []string
}

// Reserve implements Engines.
func (k *keeper) Reserve(_ context.Context, at string, _ int, _ time.Duration) (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = append(k.asked, at)
	if !k.room[at] {
		return "", ErrNoRoom
	}
	return "kept at " + at, nil
}

// reserving changes the stage's configuration so that engines set room aside.
func (s *stage) reserving() {
	table := *s.live.Load()
	c := table.Config
	e := *c.Services[0].Engine
	e.Reserves = time.Second
	c.Services = []routeconf.Service{{Name: service, Engine: &e}}
	next, err := routeconf.Compile(c)
	s.c.Assert(err, qt.IsNil)
	s.live.Store(next)
}

// Two entries take the same room in the same instant. The engine gives it to one; the
// other's request must not wait there behind it, but goes to an engine that sets
// room aside for it, and says so in its request.
func TestRequestGoesWhereRoomIsSetAside(t *testing.T) {
	k := &keeper{mover: noMoves, room: map[string]bool{}}
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, k)
	s.reserving()
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the full engine got the request") })
	got := make(chan string, 1)
	b := s.target("b", "far", func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("Reservation")
		events(w, 1, 1)
	})
	k.room[b.Address] = true
	_, _, err := s.ask("/a/x")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(<-got, qt.Equals, "kept at "+b.Address)
	s.c.Assert(len(k.asked) >= 1, qt.IsTrue)
}

// No engine has room for as long as the caller would wait. The request is refused
// with the time to come back, while its caller is still there to hear it, and no
// engine sees it.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	k := &keeper{mover: noMoves}
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, k)
	s.reserving()
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the full engine got the request") })
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

// A caller's guess is compared with those of late: by it the shortest find room
// first. Without a guess a request stands in the middle.
func TestLengthsAreRanked(t *testing.T) {
	c := qt.New(t)
	l := newLengths()
	c.Assert(l.rank(service, 0), qt.Equals, 0.5)
	c.Assert(l.rank(service, 10), qt.Equals, 0.5)
	for range 4 * lengthsKept {
		l.rank(service, 100)
	}
	c.Assert(l.rank(service, 1) < 0.05, qt.IsTrue)
	c.Assert(l.rank(service, 1000) > 0.95, qt.IsTrue)
	c.Assert(l.rank("other", 1), qt.Equals, 0.5)
}

// All engines are full. A generation waits at the entry until one has room, rather
// than push out a stream that runs there.
func TestGenerationWaitsForMemory(t *testing.T) {
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, noMoves)
	arrived := make(chan struct{}, 1)
	s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		events(w, 1, 1)
	})
	full := s.targets.Of(service)[0]
	full.hold(2<<20, 0)
	done := make(chan error, 1)
	go func() {
		_, _, err := s.ask("/a/x")
		done <- err
	}()
	select {
	case <-arrived:
		t.Fatal("the request went to a full engine at once")
	case <-time.After(3 * roomLook):
	}
	full.release(2 << 20)
	<-arrived
	s.c.Assert(<-done, qt.IsNil)
}
