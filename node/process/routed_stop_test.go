package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/relay"
	qt "github.com/frankban/quicktest"
)

// crossingListener accepts connections on which a request can be held between its arrival and the server.
type crossingListener struct {
	net.Listener
	// crossed is called when bytes of a request have been read and before the server gets them, with the
	// connection's channel that is closed with it; nil for nothing.
	crossed atomic.Pointer[func(closed <-chan struct{})]
}

func (l *crossingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossingConn{Conn: c, listener: l, closed: make(chan struct{})}, nil
}

type crossingConn struct {
	net.Conn
	listener *crossingListener
	closed   chan struct{}
	once     sync.Once
}

func (c *crossingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if f := c.listener.crossed.Load(); f != nil && n > 0 && c.listener.crossed.CompareAndSwap(f, nil) {
		(*f)(c.closed)
	}
	return n, err
}

func (c *crossingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestStopClosesNoConnectionUnderARequest guards against a stopping entry that closes kept connections
// whose next request has just arrived: the request is sent to a target, and its response is lost. A second signal, and requests that arrive while the balancer has not noticed, change nothing.
func TestStopClosesNoConnectionUnderARequest(t *testing.T) {
	g := newRoutedGroup(t, 1)
	g.members[0].Announce(directory.Record{
		Target: "t", Service: "s", Address: newTarget(t).Listener.Addr().String(), Zone: "z", Slots: 8, Sequence: 1, State: directory.StateReady,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.c.Assert(err, qt.IsNil)
	crossing := &crossingListener{Listener: ln}
	entry, url := startEntryAt(g, crossing, func(m *metrics.Relay) relay.Observer { return m })
	g.put(0, 1)
	until(entry.Ready)
	g.c.Assert(g.getStatus(url), qt.Equals, http.StatusOK)
	caller := dialKept(g.c, ln.Addr().String())
	g.c.Assert(caller.ask(), qt.IsNil)

	stopped := make(chan error, 2)
	stop := func() { stopped <- entry.Stop(context.Background()) }
	crossed := func(closed <-chan struct{}) {
		go stop()
		select {
		case <-closed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	crossing.crossed.Store(&crossed)
	g.c.Assert(caller.ask(), qt.IsNil)
	late := dialKept(g.c, ln.Addr().String())
	go stop()
	g.c.Assert(late.ask(), qt.IsNil)
	for range cap(stopped) {
		g.c.Assert(<-stopped, qt.IsNil)
	}
}

// keptCaller is a caller that sends its requests on one connection.
type keptCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialKept(c *qt.C, addr string) *keptCaller {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.TB.(*testing.T).Cleanup(func() { _ = conn.Close() })
	return &keptCaller{conn, bufio.NewReader(conn)}
}

// ask sends a request and returns an error unless it is answered with success.
func (k *keptCaller) ask() error {
	if _, err := io.WriteString(k.conn, "GET /x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
