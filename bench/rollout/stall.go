package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stallListener can stall its newest connections: nothing passes either way any
// more and neither end is told, as when a network swallows packets.
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

// stallConn swallows what is written and what arrives, once stalled.
type stallConn struct {
	net.Conn
	stalled atomic.Bool
	once    sync.Once
}

// Read implements net.Conn. After the stall it waits for the end.
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

// Close implements net.Conn. The other end of a stalled connection hears
// nothing of the close either, for as long as its own silence bound.
func (c *stallConn) Close() error {
	if !c.stalled.Load() {
		return c.Conn.Close()
	}
	c.once.Do(func() { time.AfterFunc(patience, func() { _ = c.Conn.Close() }) })
	return nil
}
