// Package upstream sends requests to targets over HTTP/1.1 on kept connections.
//
// It never sends a request a second time by itself: an HTTP client that does so
// on a connection closed under it could run a booking twice. Its errors tell
// whether any byte of the request may have reached the target. A Pool is safe for
// concurrent use.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultDial bounds the opening of a connection. Targets are a few
	// milliseconds away; one that takes longer is without power or out of places.
	DefaultDial = 400 * time.Millisecond
	// DefaultIdle is how long a connection without a Keep-Alive time is kept: below
	// the few seconds after which servers usually close one.
	DefaultIdle = 4 * time.Second
	// MaxIdlePerTarget bounds the kept connections to one target: more than one
	// entry uses at once at its peak.
	MaxIdlePerTarget = 16
	// userTimeout ends a connection whose bytes are not acknowledged: a machine
	// behind a partition answers nothing, not even a reset.
	userTimeout = 3 * time.Second
	readBuffer  = 4 << 10
)

// ErrNotSent reports a request of which the target has read nothing.
var ErrNotSent = errors.New("request was not sent")

// ErrLost reports a request that was sent and may have run.
var ErrLost = errors.New("answer was lost")

// Observer counts connections. Its methods may be called from several goroutines.
type Observer interface {
	Dialled(addr string, err error)
}

// Pool keeps idle connections by address.
type Pool struct {
	dial time.Duration
	idle time.Duration
	obs  Observer

	mu   sync.Mutex
	kept map[string][]*conn // newest last
}

// NewPool makes a pool.
func NewPool(obs Observer) *Pool {
	return &Pool{dial: DefaultDial, idle: DefaultIdle, obs: obs, kept: make(map[string][]*conn)}
}

// conn is one connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	addr    string
	fresh   bool
	expires time.Time
}

// get gives a kept connection that still looks sound, or a new one. Requests that
// must not run twice ask for one that was used lately.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		if c.sound() {
			c.fresh = false
			return c, nil
		}
		_ = c.Close() // it holds a stray answer or its end; nothing of ours is lost
	}
}

func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.kept[addr]
	now := time.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.kept[addr] = list
		if now.Before(c.expires) {
			return c
		}
		_ = c.Close() // idle for longer than the target keeps it
	}
	delete(p.kept, addr)
	return nil
}

func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: p.dial, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	p.obs.Dialled(addr, err)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	setUserTimeout(nc)
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), addr: addr, fresh: true}, nil
}

// put keeps a connection after an answer that ended where it said, and so many to its target.
func (p *Pool) put(c *conn, keep time.Duration, most int) {
	if keep <= 0 || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.kept[c.addr]
	if most <= 0 || most > MaxIdlePerTarget {
		most = MaxIdlePerTarget
	}
	for len(list) >= most {
		_ = list[0].Close() // idle for longest; nothing is under way on it
		list = list[1:]
	}
	p.kept[c.addr] = append(list, c)
}

// Forget closes the kept connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.kept[addr]
	delete(p.kept, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// sound looks whether the target has closed the connection or sent bytes that
// nobody asked for. A byte that is there before the
// request is sent is a late answer to another request, or no answer at all.
func (c *conn) sound() bool {
	sc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func setUserTimeout(nc net.Conn) {
	sc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // the connection has ended already; the first write tells
	}
	_ = raw.Control(func(fd uintptr) {
		// Without the option a partition is noticed by the request's own limits.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
