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
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// smallWindow is the receive buffer of a target that leaves an upload unread, in bytes, and longUpload more than
// that and the sending buffer of the client together.
const (
	smallWindow = 16 << 10
	longUpload  = 16 << 20
)

// watchedConn reports the first write that fails.
type watchedConn struct {
	net.Conn
	once   sync.Once
	failed chan error
}

func (c *watchedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { c.failed <- err })
	}
	return n, err
}

// watchingDialer opens connections that pass the first failed write to failed.
type watchingDialer struct{ failed chan error }

func (d watchingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	var plain net.Dialer
	conn, err := plain.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, failed: d.failed}, nil
}

// ending is how a target ends a connection.
type ending func(conn *net.TCPConn) error

func reset(conn *net.TCPConn) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// closeUnread closes the connection with bytes of the request unread, which resets it.
func closeUnread(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
	return errors.Join(err, conn.Close())
}

// closeThenReset states the end of the response, and then that nothing more of the request is read.
func closeThenReset(conn *net.TCPConn) error {
	if err := conn.CloseWrite(); err != nil {
		return err
	}
	return reset(conn)
}

// TestResetUnderALongUploadEndsNoResponse guards against a partial response that counts as complete because the kernel
// reports a reset to the pending write only, and the next read returns io.EOF.
func TestResetUnderALongUploadEndsNoResponse(t *testing.T) {
	for _, tt := range []struct {
		name, head string
		end        ending
		complete   bool
	}{
		{"no framing, reset", "", reset, false},
		{"no framing, closed with the upload unread", "", closeUnread, false},
		{"no framing, its end stated before the reset", "", closeThenReset, true},
		{"HTTP/1.0, reset", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", reset, false},
		{"chunks, reset", "Transfer-Encoding: chunked\r\n\r\n4\r\n", reset, false},
		{"a longer length, reset", "Content-Length: 10\r\n\r\n", reset, false},
		{"the length, reset", "Content-Length: 4\r\n\r\n", reset, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			head := tt.head
			switch {
			case head == "":
				head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
			case !strings.HasPrefix(head, "HTTP/"):
				head = "HTTP/1.1 200 OK\r\nId: 1\r\n" + head
			}
			mayEnd := make(chan struct{})
			addr := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				c.Check(conn.(*net.TCPConn).SetReadBuffer(smallWindow), qt.IsNil)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprint(conn, head+"part")
				<-mayEnd
				c.Check(tt.end(conn.(*net.TCPConn)), qt.IsNil)
			})
			failed := make(chan error, 1)
			p := NewPoolWithDialer(noObserver{}, watchingDialer{failed})
			req := newGetRequest("1")
			req.Method, req.Body = http.MethodPost, make([]byte, longUpload)
			x, err := p.Do(t.Context(), addr, req)
			c.Assert(err, qt.IsNil)
			close(mayEnd)
			t.Logf("the write ended with: %v", <-failed)
			body, err := x.readAndClose()
			c.Assert(body, qt.Equals, "part")
			c.Assert(err == nil, qt.Equals, tt.complete, qt.Commentf("%v", err))
		})
	}
}

// TestResetBeforeARequestEndsNoResponse guards against a part of a response that counts as complete because its
// target has sent it and reset the connection before the request was written.
func TestResetBeforeARequestEndsNoResponse(t *testing.T) {
	for _, size := range []int{0, maxInlineBody + 1} {
		t.Run(fmt.Sprintf("a body of %d bytes", size), func(t *testing.T) {
			c := qt.New(t)
			ended := make(chan struct{})
			addr := startTarget(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
				defer close(ended)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				c.Check(reset(conn.(*net.TCPConn)), qt.IsNil)
			})
			failed := make(chan error, 1)
			p := NewPoolWithDialer(noObserver{}, watchingDialer{failed})
			req := newGetRequest("1")
			req.Body = make([]byte, size)
			req.Admit = func() error { <-ended; return nil }
			x, err := p.Do(t.Context(), addr, req)
			if err == nil {
				c.Check(errors.Is(<-failed, unix.ECONNRESET), qt.IsTrue)
				_, err = x.readAndClose()
			}
			c.Assert(err, qt.IsNotNil)
		})
	}
}

// TestResponseEndsUnderALongUpload guards against a response that is held, or lost, because its target has ended it
// with the connection's sending side and reads the request no further.
func TestResponseEndsUnderALongUpload(t *testing.T) {
	c := qt.New(t)
	read := make(chan struct{})
	addr := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		c.Check(conn.(*net.TCPConn).SetReadBuffer(smallWindow), qt.IsNil)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		c.Check(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		<-read
	})
	req := newGetRequest("1")
	req.Method, req.Body = http.MethodPost, make([]byte, longUpload)
	x, err := NewPool(noObserver{}).Do(t.Context(), addr, req)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(x.Body)
	close(read)
	x.Close()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.DeepEquals, []byte("whole"))
}
