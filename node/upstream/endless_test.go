package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endless are bytes of which none is a response to the request, sent until the connection is closed. The
// first text is sent once, the second one again and again.
var endless = []struct {
	name, first, again string
	// every is the pause between two texts.
	every time.Duration
}{
	{"a header line", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096), 0},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Y: z\r\n", 0},
	{"a status line", "HTTP/1.1 ", strings.Repeat("2", 4096), 0},
	{"no HTTP", "", strings.Repeat("\x00\x01garbage\n", 500), 0},
	{"no HTTP, slowly", "", "g", 20 * time.Millisecond},
	{"line breaks", "", "\r\n", 0},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
	{"responses to other requests", "", response("9", "stray"), 0},
	{"the body of a response to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nConnection: close\r\n\r\n", strings.Repeat("x", 4096), 0},
	{"chunks of a response to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n", 0},
	{"a chunk's extension", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n3;", strings.Repeat("x", 4096), 0},
	{"a trailer", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", strings.Repeat("x", 4096), 0},
	{"a head, slowly", "HTTP/1.1 200 OK\r\nX: ", "x", 20 * time.Millisecond},
	{"the body of a response to another request, slowly", "HTTP/1.1 200 OK\r\nId: 9\r\nConnection: close\r\n\r\n", "x", 20 * time.Millisecond},
	{"a trailer, slowly", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", 20 * time.Millisecond},
}

// TestBytesWithoutEndAreNoResponse guards against a target that sends bytes which are no response until
// its connection is closed, and so holds a request until its caller leaves.
func TestBytesWithoutEndAreNoResponse(t *testing.T) {
	const patience, mostTaken = 2 * time.Second, 4 << 20
	for _, tt := range endless {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var taken atomic.Int64
			closed := make(chan struct{})
			addr := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				for text := tt.first; ; text = tt.again {
					n, err := io.WriteString(conn, text)
					taken.Add(int64(n))
					if err != nil {
						return
					}
					time.Sleep(tt.every)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			began := time.Now()
			_, err := NewPool(noObserver{}).Do(ctx, addr, newGetRequest("1"))
			c.Assert(errors.Is(err, ErrLost), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("closed after %v", time.Since(began)))
			<-closed
			c.Assert(taken.Load() < mostTaken, qt.IsTrue, qt.Commentf("%d bytes", taken.Load()))
		})
	}
}

// TestSlowResponsesAreWhole guards against a sound response that is cut because it begins late, or
// because its body is long or slow.
func TestSlowResponsesAreWhole(t *testing.T) {
	const pieces = 40
	c := qt.New(t)
	addr := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		time.Sleep(maxHeadTime / 2)
		fmt.Fprint(conn, "HTTP/1.1 102 Processing\r\n\r\n")
		time.Sleep(maxHeadTime + time.Second)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", pieces<<17)
		for range pieces {
			_, _ = io.WriteString(conn, strings.Repeat("x", 1<<17))
			time.Sleep(maxHeadTime / pieces)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	x, err := NewPool(noObserver{}).Do(ctx, addr, newGetRequest("1"))
	c.Assert(err, qt.IsNil)
	body, err := x.readAndClose()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.HasLen, pieces<<17)
}

// TestBytesOnIdleConnectionsCloseThem guards against a target that sends bytes behind a whole response,
// which occupy memory for as long as no request uses the connection.
func TestBytesOnIdleConnectionsCloseThem(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	addr := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		defer close(closed)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=60\r\nContent-Length: 3\r\n\r\nabc")
		time.Sleep(50 * time.Millisecond)
		for {
			if _, err := io.WriteString(conn, strings.Repeat("x", 4096)); err != nil {
				return
			}
		}
	})
	p := NewPool(noObserver{})
	x, err := p.Do(context.Background(), addr, newGetRequest("1"))
	c.Assert(err, qt.IsNil)
	_, err = x.readAndClose()
	c.Assert(err, qt.IsNil)
	select {
	case <-closed:
	case <-time.After(20 * sweepInterval):
		c.Fatal("the connection is still open")
	}
}
