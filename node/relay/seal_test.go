package relay

import (
	"fmt"
	"net/http"
	"testing"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

const (
	// strayAnswer is a response that a faulty target writes without a request.
	strayAnswer = "HTTP/1.1 200 OK\r\nUnsealed: 1\r\nContent-Length: 0\r\n\r\n"
	// unsealedAnswer answers the request, without a seal.
	unsealedAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nUnsealed: 1\r\nContent-Length: 4\r\n\r\nfake"
	ownAnswer      = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nown"
	ownStream      = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 8\r\n\r\nid: 1\n\n\n"
)

// TestSuccessNeedsTheTargetsSeal guards against passing on bytes of a faulty target that answer no request
// as the answer to one, on each kind of route.
func TestSuccessNeedsTheTargetsSeal(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind routeconf.Kind
		// first is what the first target writes to the request; the second one answers ownAnswer.
		first  string
		status int
		body   string
		sends  int
	}{
		{"stray before the answer, once", routeconf.KindOnce, strayAnswer + ownAnswer, http.StatusOK, "own", 1},
		{"stray before the answer, idempotent", routeconf.KindIdempotent, strayAnswer + ownAnswer, http.StatusOK, "own", 1},
		{"stray before a stream", routeconf.KindStream, strayAnswer + ownStream, http.StatusOK, "id: 1\n\n\n", 1},
		{"stray alone, once", routeconf.KindOnce, strayAnswer, http.StatusBadGateway, "engine_died\n", 1},
		{"stray alone, idempotent", routeconf.KindIdempotent, strayAnswer, http.StatusOK, "own", 2},
		{"no seal, once", routeconf.KindOnce, unsealedAnswer, http.StatusBadGateway, "engine_died\n", 1},
		{"no seal, idempotent", routeconf.KindIdempotent, unsealedAnswer, http.StatusOK, "own", 2},
		{"no seal, stream", routeconf.KindStream, unsealedAnswer, http.StatusBadGateway, "engine_died\n", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: tc.kind, MaxTargets: 2}, noCopies)
			sends := 0
			h := func(w http.ResponseWriter, _ *http.Request) {
				sends++
				text := tc.first
				if sends > 1 {
					text = ownAnswer
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				s.c.Check(err, qt.IsNil)
				fmt.Fprint(conn, text)
				_ = conn.Close() // the target breaks off after what it has written
			}
			s.target("a", "z", h)
			s.target("b", "z", h)
			resp, body, err := s.ask("/a/x")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(resp.StatusCode, qt.Equals, tc.status)
			s.c.Assert(body, qt.Equals, tc.body)
			s.c.Assert(sends, qt.Equals, tc.sends)
		})
	}
}
