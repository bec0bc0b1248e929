// Package upstream sends requests to targets over pooled HTTP/1.1 connections.
//
// It never retries a request: an HTTP client that sends a request again because the target
// has closed a reused connection could run an operation that is not idempotent twice. The
// errors tell whether any byte of the request may have reached the target. A Pool is safe
// for concurrent use.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/node/presence"
	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout bounds the opening of a connection. Targets are a few
	// milliseconds away; one that takes longer is powered off or accepts no more
	// connections.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout bounds how long an idle connection is kept if the target sent no
	// Keep-Alive timeout. It is less than the few seconds after which servers usually
	// close idle connections.
	DefaultIdleTimeout = 4 * time.Second
	// MaxIdlePerTarget bounds the idle connections to one target. An entry uses fewer
	// connections to a target at its peak.
	MaxIdlePerTarget = 16
	// userTimeout is the TCP_USER_TIMEOUT: it ends a connection whose bytes are not
	// acknowledged. A machine behind a network partition sends nothing, not even a reset.
	userTimeout    = 3 * time.Second
	readBufferSize = 4 << 10
)

// ErrNotSent reports that no byte of the request reached the target.
var ErrNotSent = errors.New("request was not sent")

// ErrLost reports that the request, or part of it, may have reached the target and may have
// run, but no response to it was read.
var ErrLost = errors.New("answer was lost")

// Observer is notified of connection attempts. Its methods may be called from several
// goroutines at once.
type Observer interface {
	// Dialled receives the result of an attempt to connect to addr.
	Dialled(addr string, err error)
}

// Dialer opens connections to targets. It is safe for concurrent use.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds idle connections, by target address.
type Pool struct {
	dialer      Dialer
	idleTimeout time.Duration
	obs         Observer

	open atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn // by address; the most recently used last
	// sweeping is set while a sweep is due.
	sweeping bool
}

// sweepInterval is the interval at which idle connections are looked at. A target may send bytes on them
// without an end, which would occupy memory until the next request.
const sweepInterval = time.Second

// NewPool returns an empty pool that opens TCP connections.
func NewPool(obs Observer) *Pool {
	return NewPoolWithDialer(obs, &net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: -1})
}

// NewPoolWithDialer returns an empty pool that opens connections with d.
func NewPoolWithDialer(obs Observer, d Dialer) *Pool {
	return &Pool{dialer: d, idleTimeout: DefaultIdleTimeout, obs: obs, idle: make(map[string][]*conn)}
}

// Quiet is implemented by connections, other than those of TCP, that know whether the target has neither
// closed them nor sent bytes on them.
type Quiet interface{ IsQuiet() bool }

// conn is one connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// reader is what r reads from.
	reader *connReader
	addr   string
	// fresh is set until the connection is reused.
	fresh   bool
	opening Opening
	// expires is the time from which the idle connection is no longer reused.
	expires time.Time
	// open counts the connections of the pool, and closed is set once this one is not among them.
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// Open returns the number of connections that the pool has open, in use or idle.
func (p *Pool) Open() int { return int(p.open.Load()) }

// get returns an idle connection that is still usable and was not opened before since, or a new one.
func (p *Pool) get(ctx context.Context, addr string, since time.Time) (*conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.usable() && !c.opening.Began.Before(since) {
			c.fresh = false
			return c, nil
		}
		_ = c.Close() // closed by the target, holding an unexpected response or too old; no request is in flight on it
	}
}

// takeIdle removes and returns the most recently used connection to addr, or returns nil if
// there is none that has not expired.
func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	now := time.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if now.Before(c.expires) {
			return c
		}
		_ = c.Close() // idle for longer than the target keeps it
	}
	delete(p.idle, addr)
	return nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	began := time.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	p.obs.Dialled(addr, err)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	setOptions(nc)
	reader := &connReader{from: nc}
	p.open.Add(1)
	return &conn{open: &p.open, Conn: nc, r: bufio.NewReaderSize(reader, readBufferSize), reader: reader, addr: addr, fresh: true, opening: Opening{Began: began, Ended: time.Now()}}, nil
}

// Presence is what an attempt to connect to a target shows.
type Presence uint8

const (
	// NoAnswer: nothing answered in time, or the attempt could not be made from here.
	NoAnswer Presence = iota
	// Refused: the target's machine answered that no process accepts connections at the address.
	Refused
	// Present: something answered in another way.
	Present
)

// Probe opens a connection to addr within the given time, and returns what that shows. The
// connection is kept for the next request; maxIdle is as in Request.
func (p *Pool) Probe(ctx context.Context, addr string, within time.Duration, maxIdle int) Presence {
	limited, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := p.dial(limited, addr)
	switch {
	case err == nil:
		p.putIdle(c, p.idleTimeout, maxIdle)
		return Present
	case errors.Is(err, unix.ECONNREFUSED):
		return Refused
	case errors.Is(err, unix.ECONNRESET):
		return Present
	}
	return NoAnswer
}

// ConfirmPresence returns an error unless the process at addr still runs, as presence.Confirm does.
func (p *Pool) ConfirmPresence(ctx context.Context, addr string) error {
	return presence.Confirm(ctx, observedDialer{p}, addr)
}

// observedDialer reports the connections that it opens to the pool's observer.
type observedDialer struct{ p *Pool }

// DialContext implements Dialer.
func (d observedDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.p.dialer.DialContext(ctx, network, addr)
	d.p.obs.Dialled(addr, err)
	return conn, err
}

// Reachable reports whether something answers at addr within the given time: it opens a
// connection, which is kept for the next request. A target that refuses or resets the connection
// is reachable. Reachable returns true if ctx ends first.
func (p *Pool) Reachable(ctx context.Context, addr string, within time.Duration) bool {
	limited, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := p.dial(limited, addr)
	if err == nil {
		p.putIdle(c, p.idleTimeout, 0)
		return true
	}
	var timeout net.Error
	return ctx.Err() != nil || !errors.As(err, &timeout) || !timeout.Timeout()
}

// putIdle returns c to the pool for the time keep, after a complete response. If the target
// then has more than maxIdle idle connections, the least recently used are closed; the limit
// is MaxIdlePerTarget at most and by default. c itself is closed if keep is not positive or c
// holds unread bytes.
func (p *Pool) putIdle(c *conn, keep time.Duration, maxIdle int) {
	if keep <= 0 || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if maxIdle <= 0 || maxIdle > MaxIdlePerTarget {
		maxIdle = MaxIdlePerTarget
	}
	for len(list) >= maxIdle {
		_ = list[0].Close() // the least recently used; no request is in flight on it
		list = list[1:]
	}
	p.idle[c.addr] = append(list, c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes the idle connections that have expired or on which the target has sent something, and
// those that it has closed.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for addr, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			if now.Before(c.expires) && c.usable() {
				return false
			}
			_ = c.Close() // no request is in flight on it
			return true
		})
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.sweeping = len(p.idle) > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// putBack returns a connection on which nothing was sent.
func (p *Pool) putBack(c *conn, maxIdle int) {
	if c.fresh {
		p.putIdle(c, p.idleTimeout, maxIdle)
		return
	}
	p.putIdle(c, time.Until(c.expires), maxIdle)
}

// LatestIdle returns the opening of the idle connection that the next request to addr uses, and false if
// there is none.
func (p *Pool) LatestIdle(addr string) (Opening, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 || !time.Now().Before(list[len(list)-1].expires) {
		return Opening{}, false
	}
	return list[len(list)-1].opening, true
}

// HasOpenSince reports whether an idle connection to addr was opened before the given time and is still
// open.
func (p *Pool) HasOpenSince(addr string, then time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		if c.opening.Ended.Before(then) && c.usable() {
			return true
		}
	}
	return false
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// usable reports whether the target has neither closed the connection nor sent bytes on it.
// A byte that arrives before the next request is sent belongs to a late response to another
// request or to no response at all.
func (c *conn) usable() bool {
	if other, ok := c.Conn.(Quiet); ok {
		return other.IsQuiet()
	}
	sc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

func setOptions(nc net.Conn) {
	sc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // the connection has ended already; the first write fails
	}
	_ = raw.Control(func(fd uintptr) {
		// If the option cannot be set, only the request's own timeout detects a partition.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
