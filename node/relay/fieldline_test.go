package relay

import (
	"fmt"
	"net/http"
	"testing"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// badHeads are responses with a field line that has no valid name, and a whole body for a reader that leaves the line
// out or takes its name without blanks. The connection stays open after each.
func badHeads() map[string]string {
	const begin = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n"
	heads := map[string]string{
		"a length with a blank":                        begin + "Content-Length : 2\r\n\r\nbad",
		"a length with a blank, beside another":        begin + "Content-Length : 2\r\nContent-Length: 3\r\n\r\nbad",
		"chunks with a blank":                          begin + "Transfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"chunks with a blank, beside a length":         begin + "Transfer-Encoding : chunked\r\nContent-Length: 13\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"an interim response":                          "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + begin + "Content-Length: 3\r\n\r\nbad",
		"a response to another request":                "HTTP/1.1 200 OK\r\nId: 9\r\nX Bad: v\r\nContent-Length: 3\r\n\r\nold" + begin + "Content-Length: 3\r\n\r\nbad",
		"a trailer":                                    begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nX Bad: v\r\n\r\n",
		"a trailer, continued by a line without name":  begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nA: b\r\n : v\r\n\r\n",
		"a trailer of a response to another request":   "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Bad: v\r\n\r\n" + begin + "Content-Length: 3\r\n\r\nbad",
		"a failure, which states that nothing was run": "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nX Bad: v\r\nContent-Length: 0\r\n\r\n",
	}
	for _, line := range []string{
		"X Bad: v", "X-Bad : v", "X-Bad\t: v", "X\tBad: v", " : v", "\t: v", ": v", "X-Bad", "X\x00Bad: v", "X\x07Bad: v", "X\x1bBad: v",
		"X\x7fBad: v", "X\x0bBad: v", "X\rBad: v", "X-B\xe4d: v", "Seal : v",
	} {
		heads[fmt.Sprintf("%q", line)] = begin + "Content-Length: 3\r\n" + line + "\r\n\r\nbad"
		heads[fmt.Sprintf("%q without a length", line)] = begin + line + "\r\n\r\nbad"
	}
	return heads
}

// TestBadFieldLineReachesNoCaller guards against a response whose head or trailer has a line without a valid field name
// and reaches a caller. What may be repeated is served elsewhere, and what must not is answered 502.
func TestBadFieldLineReachesNoCaller(t *testing.T) {
	for _, route := range []routeconf.Route{
		{Kind: routeconf.KindIdempotent, MaxTargets: 2},
		{Kind: routeconf.KindOnce, MaxTargets: 2},
		{Kind: routeconf.KindStream, Resumable: true, MaxTargets: 2},
		{Kind: routeconf.KindStream, MaxTargets: 2},
	} {
		for name, text := range badHeads() {
			t.Run(fmt.Sprintf("%v/resumable=%v/%s", route.Kind, route.Resumable, name), func(t *testing.T) {
				t.Parallel()
				assertReachesNoCaller(t, route, text)
			})
		}
	}
}

// TestBadTrailerEndsNoStream guards against a stream that ends as complete although what follows its last chunk is no
// trailer section: its target may have written anything instead of the rest.
func TestBadTrailerEndsNoStream(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprintf("resumable=%v", resumable), func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, Resumable: resumable, MaxTargets: 2}, noCopies)
			part := eventText(1, 2)
			h := func(w http.ResponseWriter, r *http.Request) {
				if last := lastEventNumber(r); last > 0 {
					writeEvents(w, last+1, 5)
					return
				}
				sendRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Bad: v\r\n\r\n", len(part), part))
			}
			s.target("a", "z", h)
			s.target("b", "z", h)
			_, body, err := s.ask("/a/x", "Patience", "4000")
			if !resumable {
				s.c.Assert(err, qt.IsNotNil)
				return
			}
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(body, qt.Equals, eventText(1, 5))
		})
	}
}
