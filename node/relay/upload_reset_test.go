package relay

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

const (
	// smallWindow is the receive buffer of a target that leaves an upload unread, in bytes, and longUpload more than
	// that and the sending buffer of the entry together.
	smallWindow = 16 << 10
	longUpload  = 16 << 20
)

// allowUploads puts a configuration in force that allows bodies of longUpload bytes.
func (s *fixture) allowUploads() {
	config := s.live.Load().Config
	config.Version++
	config.Limits.BodyBytes = longUpload
	table, err := routeconf.Compile(config)
	s.c.Assert(err, qt.IsNil)
	s.live.Store(table)
}

// narrowTarget is like target, with connections that take smallWindow bytes of a body that is not read.
func (s *fixture) narrowTarget(name string, h http.HandlerFunc) {
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = conn.(*net.TCPConn).SetReadBuffer(smallWindow) // fails if the server has been closed
		}
	}
	server.Start()
	s.c.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.announce(name, "z", server)
}

// answerInPartAndReset answers without a length before it has read the request's body, and resets the connection after
// a part of its own.
func answerInPartAndReset(w http.ResponseWriter, kind routeconf.Kind) {
	w.Header().Set("Connection", "close")
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	body := "a part"
	if kind == routeconf.KindStream {
		body = eventText(1, 2)
	}
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n%s", body)
	_ = out.Flush()       // the entry has not closed the connection
	_, _ = out.ReadByte() // the upload has begun
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// TestPartOfAResponseToALongUploadIsNotComplete guards against a part of a response that callers get as a complete one
// because its target has reset the connection while the upload was being written.
func TestPartOfAResponseToALongUploadIsNotComplete(t *testing.T) {
	// Either the write or the read of the entry meets the reset first.
	const tries = 8
	for _, route := range []routeconf.Route{
		{Kind: routeconf.KindIdempotent, MaxTargets: 2},
		{Kind: routeconf.KindOnce, MaxTargets: 2},
		{Kind: routeconf.KindStream, Resumable: true, MaxTargets: 2},
		{Kind: routeconf.KindStream, MaxTargets: 2},
	} {
		t.Run(fmt.Sprintf("%v/resumable=%v", route.Kind, route.Resumable), func(t *testing.T) {
			for range tries {
				s := newFixture(t, route, noCopies)
				s.allowUploads()
				var arrivals atomic.Int32
				h := func(w http.ResponseWriter, r *http.Request) {
					switch {
					case arrivals.Add(1) == 1:
						answerInPartAndReset(w, route.Kind)
					case route.Kind == routeconf.KindStream:
						writeEvents(w, lastEventNumber(r)+1, 5)
					default:
						fmt.Fprint(w, "whole")
					}
				}
				s.narrowTarget("a", h)
				s.narrowTarget("b", h)
				resp, body, err := s.post(s.url+"/a/x", bytes.NewReader(make([]byte, longUpload)))
				switch {
				case route.Kind == routeconf.KindStream && !route.Resumable:
					s.c.Assert(err, qt.IsNotNil, qt.Commentf("ended as complete: %q", body))
				case route.Kind == routeconf.KindStream:
					s.c.Assert(err, qt.IsNil)
					s.c.Assert(body, qt.Equals, eventText(1, 5))
				case route.Repeatable():
					s.c.Assert(err, qt.IsNil)
					s.c.Assert(body, qt.Equals, "whole")
				default:
					s.c.Assert(err, qt.IsNil)
					s.c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
					s.c.Assert(arrivals.Load(), qt.Equals, int32(1))
				}
			}
		})
	}
}
