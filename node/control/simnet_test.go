package control

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// simNet is a network in memory whose machines can be cut off from each other, lose power, and
// lose their processes. A machine is named by the host in its addresses. All of its goroutines
// belong to one synctest bubble.
type simNet struct {
	mu        sync.Mutex
	rng       *rand.Rand
	listeners map[string]*simListener
	conns     map[*simConn]bool
	cut       map[[2]string]bool
	dark      map[string]bool // machines without power
	// rate is what each machine sends in bytes per second, zero for no bound, and busy when it has
	// sent everything that waits.
	rate int
	busy map[string]time.Time
}

func newSimNet(seed uint64) *simNet {
	return &simNet{
		rng: rand.New(rand.NewPCG(seed, 3)), listeners: make(map[string]*simListener),
		conns: make(map[*simConn]bool), cut: make(map[[2]string]bool), dark: make(map[string]bool),
		busy: make(map[string]time.Time),
	}
}

const (
	// simBuffer is the number of bytes that a connection takes without its reader.
	simBuffer  = 256 << 10
	simBacklog = 128
	// simResend is how often a dial that gets no answer asks again.
	simResend = time.Second
)

func (n *simNet) listen(addr string) (*simListener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &simListener{net: n, addr: addr, backlog: make(chan *simConn, simBacklog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// dialer returns the dial function of a machine's processes.
func (n *simNet) dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		for {
			conn, err := n.dial(from, addr)
			if conn != nil || err != nil {
				return conn, err
			}
			sleep(ctx, simResend)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
}

// dial returns neither a connection nor an error if the address does not answer.
func (n *simNet) dial(from, addr string) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(addr)
	time.Sleep(2 * time.Millisecond)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dark[from] {
		return nil, syscall.ENETUNREACH
	}
	if n.dark[host] || n.cut[[2]string{from, host}] || n.cut[[2]string{host, from}] {
		return nil, nil
	}
	l := n.listeners[addr]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	up, down := newSimStream(), newSimStream()
	near := &simConn{net: n, local: from, remote: host, in: down, out: up}
	far := &simConn{net: n, local: host, remote: from, in: up, out: down}
	near.peer, far.peer = far, near
	select {
	case l.backlog <- far:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.conns[near], n.conns[far] = true, true
	return near, nil
}

// setCut cuts or restores the way from one machine to another.
func (n *simNet) setCut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
	for c := range n.conns {
		if c.local == from && c.remote == to {
			c.out.setBlocked(on || c.lost)
		}
	}
}

func (n *simNet) healAll() {
	n.mu.Lock()
	cut := make([][2]string, 0, len(n.cut))
	for k := range n.cut {
		cut = append(cut, k)
	}
	n.mu.Unlock()
	for _, k := range cut {
		n.setCut(k[0], k[1], false)
	}
}

// end ends all connections of a machine. If its power fails the other ends are not told before it
// is back.
func (n *simNet) end(host string, power bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[host] = power
	for addr, l := range n.listeners {
		if h, _, _ := net.SplitHostPort(addr); h == host {
			l.closeLocked()
		}
	}
	for c := range n.conns {
		if c.local != host {
			continue
		}
		if power {
			c.lost, c.peer.lost = true, true
			c.out.setBlocked(true)
			c.in.setBlocked(true)
		}
		c.closeLocked()
	}
}

// powerOn brings a machine back; it resets the connections that it had before.
func (n *simNet) powerOn(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[host] = false
	for c := range n.conns {
		if c.remote == host && c.lost {
			c.in.breakOff()
			c.out.breakOff()
		}
	}
}

type simListener struct {
	net     *simNet
	addr    string
	backlog chan *simConn
	closed  chan struct{}
	once    sync.Once
}

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *simListener) closeLocked() {
	l.once.Do(func() {
		close(l.closed)
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
	})
}

func (l *simListener) Addr() net.Addr { return simAddr(l.addr) }

type simAddr string

func (simAddr) Network() string  { return "tcp" }
func (a simAddr) String() string { return string(a) }

// simConn is one end of a connection.
type simConn struct {
	net           *simNet
	peer          *simConn
	local, remote string
	in, out       *simStream
	lost          bool // the power of one end has failed
}

func (c *simConn) Read(b []byte) (int, error) { return c.in.read(b) }

func (c *simConn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	latency := time.Millisecond + time.Duration(c.net.rng.Int64N(int64(2*time.Millisecond)))
	latency += c.net.queueLocked(c.local, len(b))
	blocked := c.lost || c.net.cut[[2]string{c.local, c.remote}]
	c.net.mu.Unlock()
	c.out.setBlocked(blocked)
	return c.out.write(b, latency)
}

// queueLocked returns how long a machine takes to send n more bytes.
func (n *simNet) queueLocked(from string, size int) time.Duration {
	if n.rate == 0 {
		return 0
	}
	start := time.Now()
	if n.busy[from].After(start) {
		start = n.busy[from]
	}
	n.busy[from] = start.Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return time.Until(n.busy[from])
}

func (c *simConn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.closeLocked()
	return nil
}

func (c *simConn) closeLocked() {
	delete(c.net.conns, c)
	c.in.closeReader()
	c.out.closeWriter()
}

func (c *simConn) LocalAddr() net.Addr  { return simAddr(c.local + ":1") }
func (c *simConn) RemoteAddr() net.Addr { return simAddr(c.remote + ":1") }

func (c *simConn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

func (c *simConn) SetReadDeadline(t time.Time) error  { c.in.setReadDeadline(t); return nil }
func (c *simConn) SetWriteDeadline(t time.Time) error { c.out.setWriteDeadline(t); return nil }

// simStream is one direction of a connection.
type simStream struct {
	mu                          sync.Mutex
	changed                     chan struct{} // closed and replaced at each change
	chunks                      []simChunk
	size                        int
	blocked                     bool
	broken                      bool // reset by the other end
	readerClosed, writerClosed  bool
	readDeadline, writeDeadline time.Time
}

type simChunk struct {
	at time.Time // arrives then
	b  []byte
}

var errReset = errors.New("connection reset by peer")

func newSimStream() *simStream { return &simStream{changed: make(chan struct{})} }

// update changes the stream and wakes its readers and writers.
func (s *simStream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStream) setBlocked(on bool)           { s.update(func() { s.blocked = on }) }
func (s *simStream) breakOff()                    { s.update(func() { s.broken = true }) }
func (s *simStream) closeReader()                 { s.update(func() { s.readerClosed = true }) }
func (s *simStream) closeWriter()                 { s.update(func() { s.writerClosed = true }) }
func (s *simStream) setReadDeadline(t time.Time)  { s.update(func() { s.readDeadline = t }) }
func (s *simStream) setWriteDeadline(t time.Time) { s.update(func() { s.writeDeadline = t }) }

// wait waits for a change or for the earlier of two times, of which either may be zero. s.mu must be
// held; it is released while waiting.
func (s *simStream) wait(a, b time.Time) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	until := a
	if until.IsZero() || !b.IsZero() && b.Before(until) {
		until = b
	}
	if until.IsZero() {
		<-changed
		return
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (s *simStream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var next time.Time
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.broken:
			return 0, errReset
		case expired(s.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case s.blocked:
		case len(s.chunks) == 0 && s.writerClosed:
			return 0, io.EOF
		case len(s.chunks) > 0 && !s.chunks[0].at.After(time.Now()):
			return s.take(b), nil
		case len(s.chunks) > 0:
			next = s.chunks[0].at
		}
		s.wait(s.readDeadline, next)
	}
}

// take reads from the first chunk. s.mu must be held.
func (s *simStream) take(b []byte) int {
	k := copy(b, s.chunks[0].b)
	s.chunks[0].b = s.chunks[0].b[k:]
	if len(s.chunks[0].b) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.size -= k
	close(s.changed)
	s.changed = make(chan struct{})
	return k
}

func (s *simStream) write(b []byte, latency time.Duration) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.writerClosed:
			return 0, net.ErrClosed
		case s.broken || s.readerClosed && !s.blocked:
			return 0, errReset
		case expired(s.writeDeadline):
			return 0, os.ErrDeadlineExceeded
		case s.size < simBuffer:
			s.chunks = append(s.chunks, simChunk{time.Now().Add(latency), append([]byte(nil), b...)})
			s.size += len(b)
			close(s.changed)
			s.changed = make(chan struct{})
			return len(b), nil
		}
		s.wait(s.writeDeadline, time.Time{})
	}
}
