package relay

import (
	"net/http"
	"sync/atomic"
	"testing"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// reject answers a request with the statement that it was not run and that the target wants no
// further ones for the time backoff.
func reject(w http.ResponseWriter, backoff string) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Backoff", backoff)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestTargetInBackoffGetsNoRequests guards against an entry that goes on sending to a target
// which has asked it to send nothing for a time.
func TestTargetInBackoffGetsNoRequests(t *testing.T) {
	for _, kind := range []routeconf.Kind{routeconf.KindIdempotent, routeconf.KindOnce, routeconf.KindStream} {
		t.Run(kind.String(), func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: kind, MaxTargets: 2, Generates: kind == routeconf.KindStream}, noCopies)
			var rejected, served atomic.Int64
			s.target("rejects", "z", func(w http.ResponseWriter, _ *http.Request) {
				rejected.Add(1)
				reject(w, "1h")
			})
			s.target("serves", "far", func(w http.ResponseWriter, _ *http.Request) {
				served.Add(1)
				if kind == routeconf.KindStream {
					writeEvents(w, 1, 1)
				}
			})
			for range 40 {
				resp, _, err := s.ask("/a/x")
				s.c.Assert(err, qt.IsNil)
				s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			}
			s.c.Assert(served.Load(), qt.Equals, int64(40))
			s.c.Assert(rejected.Load() <= 1, qt.IsTrue, qt.Commentf("%d requests", rejected.Load()))
		})
	}
}
