package process

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/node/callers"
	"almondseam.dev/node/standin"
	qt "github.com/frankban/quicktest"
)

// The agent takes the request and says "queued"; only then it finds that its
// engine cannot be reached. The caller gets the failure with its own status and
// the proof of not_run, not an error inside a stream of status 200.
func TestEarlyFailureHasItsOwnStatus(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(ln.Close(), qt.IsNil)
	f.agent("g1", ln.Addr().String(), e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 10)
	f.c.Assert(s.resp.StatusCode, qt.Equals, api.Reasons[api.ReasonEngineUnreachable].Status)
	f.c.Assert(s.resp.Header.Get(callers.HeaderOutcome), qt.Equals, string(api.OutcomeNotRun))
	f.c.Assert(s.resp.Header.Get(callers.HeaderReason), qt.Equals, string(api.ReasonEngineUnreachable))
}

// The engine takes the request and is silent. The caller sees the stream open all
// the same, with the phases that came meanwhile, while nothing has been produced.
func TestWaitingCallerSeesTheStreamOpen(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	gate := make(chan struct{})
	defer close(gate)
	f.agent("g1", newBookings(f, gate).addr, e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 10)
	f.c.Assert(s.resp.StatusCode, qt.Equals, http.StatusOK)
	f.c.Assert(s.lines.Scan(), qt.IsTrue)
	f.c.Assert(strings.HasPrefix(s.lines.Text(), ": "), qt.IsTrue, qt.Commentf("%s", s.lines.Text()))
}

// A caller comes back to its stream. Both headers name its request, as on the
// first answer: who logs either finds the one request.
func TestComingBackNamesTheOldRequest(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 1)
	first := f.open(e.url, testKey, "notes", 600, header{callers.HeaderHold, "30s"})
	first.read(5)
	id := first.resp.Header.Get(callers.HeaderRequestID)
	f.c.Assert(first.resp.Body.Close(), qt.IsNil)
	again := f.open(e.url, testKey, "notes", 600, header{callers.HeaderRequestID, id}, header{"Last-Event-ID", first.lastID})
	f.c.Assert(again.resp.StatusCode, qt.Equals, http.StatusOK)
	f.c.Assert(again.resp.Header.Get(callers.HeaderRequestID), qt.Equals, id)
	f.c.Assert(again.resp.Header.Get("X-Request-Id"), qt.Equals, id)
}
