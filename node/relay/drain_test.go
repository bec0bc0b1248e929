package relay

import (
	"net/http"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// TestWaitingRequestIsRefusedWhenTheInstanceDrains guards against requests that wait for room at an instance
// that drains, until it exits and their connections break without an answer.
func TestWaitingRequestIsRefusedWhenTheInstanceDrains(t *testing.T) {
	engines := &reservingEngines{copyFunc: noCopies, room: map[string]bool{}}
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true, Objective: 5 * time.Second}, engines)
	s.enableReservations()
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the full engine received the request") })
	type answer struct {
		resp *http.Response
		body string
		err  error
	}
	answers := make(chan answer)
	ask := func() {
		resp, body, err := s.ask("/a/x", "Most", "50")
		answers <- answer{resp, body, err}
	}
	go ask()
	for engines.timesAsked() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.relay.Drain()
	check := func() {
		a := <-answers
		s.c.Assert(a.err, qt.IsNil)
		s.c.Assert(a.resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(a.body, qt.Equals, string(api.ReasonShuttingDown)+"\n")
		s.c.Assert(a.resp.Header.Get("Retry-After"), qt.Equals, "0.05")
		s.c.Assert(a.resp.Close, qt.IsTrue)
	}
	check()
	go ask() // one that arrives later
	check()
}

func (k *reservingEngines) timesAsked() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.asked)
}
