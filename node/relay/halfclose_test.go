package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/overload"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// closing is how a caller closes its connection while its request is in progress.
type closing string

const (
	closesSending closing = "half"
	closesBoth    closing = "full"
	resets        closing = "reset"
)

// moment is when a caller closes its connection.
type moment string

const (
	// untilTarget is before any target is known.
	untilTarget moment = "no target"
	atWork      moment = "no answer"
	// midBody is while a body is incomplete, midLongBody while one is that the relay does not keep in memory.
	midBody     moment = "mid body"
	midLongBody moment = "mid long body"
)

// endObserver passes on with which outcome requests end.
type endObserver struct {
	nopObserver
	ended chan string
}

// Ended implements Observer.
func (o endObserver) Ended(_ *Request, _ int, outcome string) { o.ended <- outcome }

// leavingWorld is a relay whose only target answers in part, and then works until its connection ends.
type leavingWorld struct {
	*fixture
	address string
	handler http.Handler
	// arrived gets a value once the target has written its part, dropped once its connection has ended.
	arrived, dropped chan struct{}
	ended            chan string
	// gone gets a value once the entry has noticed that its caller has closed its connection.
	gone chan struct{}
}

func newLeavingWorld(t *testing.T, kind routeconf.Kind, when moment) *leavingWorld {
	w := &leavingWorld{
		fixture: newFixture(t, routeconf.Route{Kind: kind, MaxTargets: 2}, noCopies),
		arrived: make(chan struct{}, 2), dropped: make(chan struct{}, 2), ended: make(chan string, 2), gone: make(chan struct{}, 2),
	}
	relay := New(Settings{Zone: "z"}, Ports{
		Live: &w.live, Targets: w.targets, Pool: upstream.NewPool(nopObserver{}), Dialect: plainDialect{}, Engines: noCopies,
		Retries: NewRetries(enoughRetries, w.group), LimitReports: NewLimitReports(newLocalGroup(), nopObserver{}), Observer: endObserver{ended: w.ended},
	})
	w.handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		context.AfterFunc(r.Context(), func() { w.gone <- struct{}{} })
		relay.ServeHTTP(rw, r)
	})
	w.listen(func(ln net.Listener) net.Listener { return ln })
	if when != untilTarget {
		w.target("a", "z", func(rw http.ResponseWriter, r *http.Request) { w.answerInPart(rw, r, kind, when) })
	}
	return w
}

// listen starts a server for the relay at a listener that wrap makes, and has later requests sent there.
func (w *leavingWorld) listen(wrap func(net.Listener) net.Listener) {
	server := httptest.NewUnstartedServer(w.handler)
	server.Listener = wrap(server.Listener)
	server.Start()
	w.c.Cleanup(server.Close)
	w.address = strings.TrimPrefix(server.URL, "http://")
}

func (w *leavingWorld) answerInPart(rw http.ResponseWriter, r *http.Request, kind routeconf.Kind, when moment) {
	_, _ = io.ReadAll(r.Body)
	w.beginAnswer(rw, kind, when)
	w.arrived <- struct{}{}
	<-r.Context().Done()
	w.dropped <- struct{}{}
	panic(http.ErrAbortHandler)
}

func (w *leavingWorld) beginAnswer(rw http.ResponseWriter, kind routeconf.Kind, when moment) {
	switch {
	case when == atWork:
		return
	case kind == routeconf.KindStream:
		writeEvents(rw, 1, 3)
	case when == midLongBody:
		_, _ = rw.Write(make([]byte, maxBufferedResponse+1))
	default:
		_, _ = rw.Write([]byte("a part"))
	}
	_ = http.NewResponseController(rw).Flush()
}

// send sends a request and returns its connection.
func (w *leavingWorld) send(protocol string) *net.TCPConn {
	conn, err := net.Dial("tcp", w.address)
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { _ = conn.Close() })
	w.write(conn, protocol)
	return conn.(*net.TCPConn)
}

func (w *leavingWorld) write(conn net.Conn, protocol string) {
	_, err := fmt.Fprintf(conn, "POST /a/x %s\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: k\r\nContent-Length: 8\r\n\r\na prompt", protocol)
	w.c.Assert(err, qt.IsNil)
}

// readAnswer is what a caller reads after it has closed its sending side.
type readAnswer struct {
	resp *http.Response
	body string
	// err is not nil if the answer is incomplete.
	err error
}

func readFrom(r *bufio.Reader) readAnswer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return readAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return readAnswer{resp, string(body), err}
}

// TestHalfClosedCallerGetsNoFalseSuccess guards against an empty success, or a part of an answer that looks
// complete, for a caller that has closed its sending side and still reads.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	for _, tt := range []struct {
		kind routeconf.Kind
		when moment
		// status is that of a complete failure, zero for an answer that is visibly cut off.
		status int
	}{
		{routeconf.KindOnce, untilTarget, http.StatusServiceUnavailable},
		{routeconf.KindIdempotent, untilTarget, http.StatusServiceUnavailable},
		{routeconf.KindStream, untilTarget, http.StatusServiceUnavailable},
		{routeconf.KindIdempotent, atWork, http.StatusGatewayTimeout},
		{routeconf.KindStream, atWork, http.StatusGatewayTimeout},
		{routeconf.KindIdempotent, midBody, http.StatusGatewayTimeout},
		{routeconf.KindStream, midBody, 0},
		{routeconf.KindIdempotent, midLongBody, 0},
	} {
		t.Run(fmt.Sprintf("%v, %s", tt.kind, tt.when), func(t *testing.T) {
			w := newLeavingWorld(t, tt.kind, tt.when)
			conn := w.send("HTTP/1.1")
			in := bufio.NewReader(conn)
			if tt.when != untilTarget {
				<-w.arrived
			}
			if tt.status == 0 {
				_, err := in.Peek(1) // the answer has begun
				w.c.Assert(err, qt.IsNil)
			}
			w.c.Assert(conn.CloseWrite(), qt.IsNil)
			a := readFrom(in)
			if tt.status == 0 {
				w.c.Assert(a.err, qt.ErrorIs, io.ErrUnexpectedEOF, qt.Commentf("%v %q", a.resp, a.body))
				return
			}
			w.c.Assert(a.err, qt.IsNil)
			w.c.Assert(a.resp.StatusCode, qt.Equals, tt.status, qt.Commentf("%q", a.body))
			w.c.Assert(a.resp.Header.Get("Retry-After") != "", qt.Equals, tt.status == http.StatusServiceUnavailable)
		})
	}
}

// TestCutAnswerOverHTTP10LooksCut guards against a part of an answer that looks complete to an HTTP/1.0 caller,
// for whom a body without a length ends with its connection.
func TestCutAnswerOverHTTP10LooksCut(t *testing.T) {
	for _, ln := range []func(net.Listener) net.Listener{
		func(ln net.Listener) net.Listener { return ln },
		func(ln net.Listener) net.Listener { return overloadListener(t, ln) },
	} {
		for _, kind := range []routeconf.Kind{routeconf.KindIdempotent, routeconf.KindStream} {
			w := newLeavingWorld(t, kind, midLongBody)
			w.listen(ln)
			conn := w.send("HTTP/1.0")
			<-w.arrived
			in := bufio.NewReader(conn)
			_, err := in.Peek(1)
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(conn.CloseWrite(), qt.IsNil)
			a := readFrom(in)
			w.c.Assert(a.err, qt.ErrorIs, syscall.ECONNRESET)
		}
	}
}

// nopOverload is an overload.Observer that ignores all events.
type nopOverload struct{}

func (nopOverload) ConnectionsClosed(int, int)                            {}
func (nopOverload) Turnaround(time.Duration)                              {}
func (nopOverload) ProcessorBusy(overload.Times, overload.Times)          {}
func (nopOverload) ThreadsAdapted(int, int, time.Duration, time.Duration) {}
func (nopOverload) ThreadsNotAdapted(error)                               {}

func overloadListener(t *testing.T, ln net.Listener) net.Listener {
	admitted, err := overload.New(ln, nopOverload{})
	qt.Assert(t, err, qt.IsNil)
	return admitted
}

// TestRequestEndsWithItsCaller guards against a target that goes on, or a request that does not end, after
// its caller has closed its connection in any way.
func TestRequestEndsWithItsCaller(t *testing.T) {
	for _, how := range []closing{closesSending, closesBoth, resets} {
		for _, kind := range []routeconf.Kind{routeconf.KindIdempotent, routeconf.KindStream} {
			for _, when := range []moment{atWork, midBody} {
				t.Run(fmt.Sprintf("%s, %v, %s", how, kind, when), func(t *testing.T) {
					w := newLeavingWorld(t, kind, when)
					conn := w.send("HTTP/1.1")
					<-w.arrived
					closeConn(w.c, conn, how)
					<-w.dropped
					w.c.Assert(<-w.ended, qt.Equals, string(api.ReasonCancelled))
				})
			}
		}
	}
}

func closeConn(c *qt.C, conn *net.TCPConn, how closing) {
	switch how {
	case closesSending:
		c.Assert(conn.CloseWrite(), qt.IsNil)
		return
	case resets:
		c.Assert(conn.SetLinger(0), qt.IsNil)
	}
	c.Assert(conn.Close(), qt.IsNil)
}

// TestCallThatMustNotRepeatRunsToItsEnd guards against breaking off a call that must not be repeated, whose
// outcome would be unknown, because its caller has closed its sending side or its connection.
func TestCallThatMustNotRepeatRunsToItsEnd(t *testing.T) {
	for _, how := range []closing{closesSending, closesBoth, resets} {
		for _, when := range []moment{atWork, midBody, midLongBody} {
			t.Run(fmt.Sprintf("%s, %s", how, when), func(t *testing.T) {
				w := newLeavingWorld(t, routeconf.KindOnce, untilTarget)
				left := make(chan struct{})
				w.target("a", "z", func(rw http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					w.beginAnswer(rw, routeconf.KindOnce, when)
					w.arrived <- struct{}{}
					<-left
					_, _ = rw.Write([]byte("the end"))
				})
				conn := w.send("HTTP/1.1")
				<-w.arrived
				closeConn(w.c, conn, how)
				<-w.gone
				close(left)
				if how != closesSending {
					w.c.Assert(<-w.ended, qt.Not(qt.Equals), string(api.ReasonCancelled))
					return
				}
				a := readFrom(bufio.NewReader(conn))
				w.c.Assert(a.err, qt.IsNil)
				w.c.Assert(a.resp.StatusCode, qt.Equals, http.StatusOK)
				w.c.Assert(strings.HasSuffix(a.body, "the end"), qt.IsTrue)
				w.c.Assert(<-w.ended, qt.Equals, Answered)
			})
		}
	}
}

// TestPipelinedRequestOfAHalfClosedCaller guards against an empty success for a request that came behind
// another one on its connection, before its caller closed its sending side.
func TestPipelinedRequestOfAHalfClosedCaller(t *testing.T) {
	w := newLeavingWorld(t, routeconf.KindIdempotent, untilTarget)
	var arrivals atomic.Int32
	release := make(chan struct{})
	w.target("a", "z", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if arrivals.Add(1) > 1 {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.arrived <- struct{}{}
		<-release
		fmt.Fprint(rw, "whole")
	})
	conn := w.send("HTTP/1.1")
	w.write(conn, "HTTP/1.1")
	<-w.arrived
	w.c.Assert(conn.CloseWrite(), qt.IsNil)
	close(release)
	in := bufio.NewReader(conn)
	first, second := readFrom(in), readFrom(in)
	w.c.Assert(first.err, qt.IsNil)
	if first.resp.StatusCode == http.StatusOK { // the server has noticed the close with the second one only
		w.c.Assert(first.body, qt.Equals, "whole")
	}
	w.c.Assert(second.err, qt.IsNil)
	w.c.Assert(second.resp.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d %q", second.resp.StatusCode, second.body))
}
