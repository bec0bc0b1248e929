package inbound

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondseam.dev/core/inbound"
)

const (
	// reportInterval is the least time between two reports of evicted connections.
	reportInterval = time.Second
	// acceptRetryPause is the pause after a connection could not be accepted.
	acceptRetryPause = 5 * time.Millisecond
)

// Listener is a net.Listener with a bounded number of connections. When there are too many, it closes those that wait for
// their clients; see core/inbound.Connections. It is safe for concurrent use.
type Listener struct {
	net.Listener
	process    *Process
	name       string
	sixteenths int

	mu    sync.Mutex
	table *inbound.Connections[*Conn]
	// evicted counts the connections closed for others since reported.
	evicted  int
	reported time.Time
}

func newListener(p *Process, ln net.Listener, name string, sixteenths int) *Listener {
	return &Listener{Listener: ln, process: p, name: name, sixteenths: sixteenths, table: inbound.NewConnections(0, (*Conn).inputArrived)}
}

// most returns how many connections the listener may have open.
func (l *Listener) most() int {
	if most := l.process.most(); most > 0 {
		return max(most*l.sixteenths/shares, minConnections)
	}
	return int(^uint(0) >> 1)
}

// Accept implements net.Listener. An error that passes is no end of the listener: it makes room and tries again.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			if c := l.add(nc); c != nil {
				return c, nil
			}
			continue
		}
		if !passes(err) {
			return nil, err
		}
		l.process.obs.AcceptFailed(l.name, err)
		l.makeRoom()
		time.Sleep(acceptRetryPause)
	}
}

// passes reports whether an error of Accept says nothing about the listener itself.
func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// add returns nc as a connection of the listener. If all others are in use, it closes nc and returns nil.
func (l *Listener) add(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, listener: l}
	now := time.Now()
	l.mu.Lock()
	l.table.SetMost(l.most())
	added, closed := l.table.Arrive(c, now)
	c.slot = added
	if added != nil {
		l.process.open.Add(1)
	}
	l.mu.Unlock()
	if added == nil {
		_ = nc.Close() // unread
		l.report(1, 0, now)
		return nil
	}
	if closed != nil {
		l.evict(closed, now)
	}
	return c
}

// makeRoom closes the connection that has waited longest for its client, if there is one.
func (l *Listener) makeRoom() {
	now := time.Now()
	l.mu.Lock()
	closed := l.table.Evict(now)
	l.mu.Unlock()
	if closed != nil {
		l.evict(closed, now)
	}
}

// evict closes a connection that has left the table.
func (l *Listener) evict(c *inbound.Connection[*Conn], now time.Time) {
	_ = c.Conn.Close() // no request on it is in progress
	l.report(1, c.Waited(now), now)
}

// report counts connections that were closed for others, and reports them now and then.
func (l *Listener) report(n int, waited time.Duration, now time.Time) {
	l.mu.Lock()
	l.evicted += n
	evicted, open := l.evicted, l.table.Open()
	due := now.Sub(l.reported) >= reportInterval
	if due {
		l.evicted, l.reported = 0, now
	}
	l.mu.Unlock()
	if due {
		l.process.obs.ConnectionsEvicted(l.name, evicted, open, waited)
	}
}

// Conn is a connection of a Listener. Input beyond core/inbound.Input's allowance is returned only once the
// processor has turned around.
type Conn struct {
	net.Conn
	listener *Listener
	slot     *inbound.Connection[*Conn]
	// inputMu is held for input: net/http reads a connection also while its request is being served.
	inputMu sync.Mutex
	input   inbound.Input
	// takenOver is set once another protocol than HTTP is spoken.
	takenOver atomic.Bool
	// established is set once its handshake has succeeded, which the server may report later than its beginning.
	established bool // guarded by listener.mu
	// held is the memory of the body of the request that is being served, in bytes.
	held   atomic.Int64
	closed sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.takenOver.Load() {
		c.awaitTurn(bytes.Count(b[:n], newline))
	}
	return n, err
}

// awaitTurn waits until lines that have arrived are to be processed.
func (c *Conn) awaitTurn(lines int) {
	c.inputMu.Lock()
	priority := c.input.Take(lines, time.Now())
	c.inputMu.Unlock()
	if priority != inbound.Now {
		c.listener.process.lane.wait(priority == inbound.Next)
	}
}

var newline = []byte{'\n'}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		l := c.listener
		l.mu.Lock()
		l.table.Closed(c.slot)
		l.mu.Unlock()
		l.process.open.Add(-1)
		c.releaseBody()
	})
	return c.Conn.Close()
}

// NetConn returns the connection that c is built on.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// inputArrived reports whether unread bytes are in the receive buffer of the socket.
func (c *Conn) inputArrived() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // not a connection of the kernel
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = n > 0 && err == nil
	})
	return arrived && err == nil
}

// SetLinger sets the linger option of a TCP connection; others have none.
func (c *Conn) SetLinger(sec int) error {
	if lc, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return lc.SetLinger(sec)
	}
	return nil
}

// received records that a whole request has arrived.
func (c *Conn) received() {
	c.inputMu.Lock()
	c.input.Received()
	c.inputMu.Unlock()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.Received(c.slot)
}

// answered records that the connection waits for another request.
func (c *Conn) answered() {
	c.releaseBody()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.Answered(c.slot, time.Now())
}

// takeOver records that another protocol is spoken from now on.
func (c *Conn) takeOver() {
	c.takenOver.Store(true)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.established {
		c.listener.table.TakenOver(c.slot, time.Now())
	}
}

// Established records that the client has completed the handshake of the protocol that has taken over. Before that, the
// connection may be closed for others.
func (c *Conn) Established() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.established = true
	c.listener.table.Established(c.slot)
}

// hold keeps the memory of a body until the request has been answered.
func (c *Conn) hold(n int) { c.held.Add(int64(n)) }

func (c *Conn) releaseBody() { c.listener.process.memory.Release(int(c.held.Swap(0))) }
