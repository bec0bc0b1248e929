package relay

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// badStatusLines are lines that begin no final and no interim response.
var badStatusLines = []string{
	"HTTP/1.1 000 Nothing", "HTTP/1.1 001 One", "HTTP/1.1 099 Almost", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Beyond",
	"HTTP/1.1 999 Beyond", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/3.1 200 OK",
}

// badStatusTails are what may follow a bad status line. The connection stays open after each.
var badStatusTails = []struct{ name, text string }{
	{"no body", "\r\nId: 1\r\n\r\n"},
	{"a body", "\r\nId: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 3\r\n\r\nbad"},
	{"a body without length", "\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\nbad"},
	{"a second head", "\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad"},
}

// sendRaw writes text on the connection of a request, and returns once the entry has closed it.
func sendRaw(w http.ResponseWriter, text string) {
	conn, in, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, in)
}

// assertReachesNoCaller checks that what the first target sends for a request is no answer: what may be repeated is served
// by the second target, and what must not is answered 502.
func assertReachesNoCaller(t *testing.T, route routeconf.Route, text string) {
	t.Helper()
	s := newFixture(t, route, noCopies)
	var arrivals atomic.Int32
	h := func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case arrivals.Add(1) == 1:
			sendRaw(w, text)
		case route.Kind == routeconf.KindStream:
			writeEvents(w, 1, 2)
		default:
			fmt.Fprint(w, "own")
		}
	}
	s.target("a", "z", h)
	s.target("b", "z", h)
	resp, body, err := s.ask("/a/x", "Patience", "4000")
	s.c.Assert(err, qt.IsNil)
	for name := range resp.Header {
		s.c.Check(name, qt.Not(qt.Contains), "Bad")
	}
	if !route.Repeatable() {
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
		s.c.Assert(arrivals.Load(), qt.Equals, int32(1))
		return
	}
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	want := "own"
	if route.Kind == routeconf.KindStream {
		want = eventText(1, 2)
	}
	s.c.Assert(body, qt.Equals, want)
}

// TestBadStatusLineReachesNoCaller guards against a status line of a target that is no final answer and is passed
// on, or holds its request until its time is over. What may be repeated is served elsewhere, and what must not is
// answered 502.
func TestBadStatusLineReachesNoCaller(t *testing.T) {
	for _, route := range []routeconf.Route{
		{Kind: routeconf.KindIdempotent, MaxTargets: 2},
		{Kind: routeconf.KindOnce, MaxTargets: 2},
		{Kind: routeconf.KindStream, Resumable: true, MaxTargets: 2},
		{Kind: routeconf.KindStream, MaxTargets: 2},
	} {
		for _, line := range badStatusLines {
			for _, tail := range badStatusTails {
				t.Run(fmt.Sprintf("%v/resumable=%v/%q/%s", route.Kind, route.Resumable, line, tail.name), func(t *testing.T) {
					t.Parallel()
					assertReachesNoCaller(t, route, line+tail.text)
				})
			}
		}
	}
}

// TestBadStatusLineOfAContinuationEndsNoStream guards against a stream that is broken off or paused until its time is
// over because the engine that is to continue it sends a bad status line.
func TestBadStatusLineOfAContinuationEndsNoStream(t *testing.T) {
	for _, line := range badStatusLines {
		for _, tail := range badStatusTails {
			t.Run(fmt.Sprintf("%q/%s", line, tail.name), func(t *testing.T) {
				t.Parallel()
				s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, Resumable: true, MaxTargets: 3}, noCopies)
				var arrivals atomic.Int32
				h := func(w http.ResponseWriter, r *http.Request) {
					switch arrivals.Add(1) {
					case 1:
						writeEvents(w, 1, 3)
						panic(http.ErrAbortHandler)
					case 2:
						sendRaw(w, line+tail.text)
					default:
						writeEvents(w, lastEventNumber(r)+1, 6)
					}
				}
				for _, name := range []string{"a", "b", "c"} {
					s.target(name, "z", h)
				}
				resp, body, err := s.ask("/a/x", "Patience", "4000")
				s.c.Assert(err, qt.IsNil)
				s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
				s.c.Assert(body, qt.Equals, eventText(1, 6))
			})
		}
	}
}

// TestBadStatusLineIsAFault guards against a target that stays in use because its bad status lines count as
// answers.
func TestBadStatusLineIsAFault(t *testing.T) {
	for _, line := range badStatusLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
			s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
				sendRaw(w, line+"\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad")
			})
			_, _, err := s.ask("/a/x", "Patience", "4000")
			s.c.Assert(err, qt.IsNil)
			target := s.targets.Of(service)[0]
			s.c.Assert(target.state().Fault.LostUntil.IsZero(), qt.IsFalse)
		})
	}
}
