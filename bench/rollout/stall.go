package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stallListener is a listener that can stall its newest connections. A stalled
// connection carries no data in either direction and neither end gets an error, as when
// a network drops all packets.
type stallListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*stallConn
}

// Accept implements net.Listener.
func (l *stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &stallConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, s)
	return s, nil
}

// stall stalls the newest n connections.
func (l *stallListener) stall(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns[max(len(l.conns)-n, 0):] {
		c.stalled.Store(true)
	}
}

// stallConn is a connection that discards all written and received data once stalled.
type stallConn struct {
	net.Conn
	stalled   atomic.Bool
	closeOnce sync.Once
}

// Read implements net.Conn. Once the connection is stalled, Read discards the data and
// returns only when the underlying connection fails or is closed.
func (c *stallConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *stallConn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. It closes a stalled connection only after waitTimeout, so
// that the other end does not see the close until then and has to detect the stall by
// its own silence bound.
func (c *stallConn) Close() error {
	if !c.stalled.Load() {
		return c.Conn.Close()
	}
	c.closeOnce.Do(func() { time.AfterFunc(waitTimeout, func() { _ = c.Conn.Close() }) })
	return nil
}
