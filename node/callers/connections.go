package callers

import (
	"net"
	"sync"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/limit"
)

const (
	// spareConnections are taken beyond the limit so that their callers are
	// told why; a flood beyond them is closed without a word.
	spareConnections = 256
	// retryConnection is when a caller beyond the limit may come back.
	retryConnection = time.Second
)

// connections is a listener that holds callers' connections to the limit in
// force. A connection beyond it is served as far as its first request, which is
// refused as not run.
type connections struct {
	net.Listener
	live  *fleetconfig.Live
	obs   Observer
	taken *limit.Cap
	spare *limit.Cap
}

func newConnections(ln net.Listener, live *fleetconfig.Live, obs Observer, most int64) *connections {
	return &connections{
		Listener: ln,
		live:     live,
		obs:      obs,
		taken:    limit.NewCap(most, api.ReasonConnectionLimit, retryConnection),
		spare:    limit.NewCap(spareConnections, api.ReasonConnectionLimit, retryConnection),
	}
}

// Accept implements net.Listener.
func (l *connections) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conf := l.live.Load(); conf != nil {
			l.taken.Set(int64(conf.Limits().MaxConnections))
		}
		over := l.taken.Acquire(1)
		if over == nil {
			return &connection{Conn: c, of: l.taken}, nil
		}
		if l.spare.Acquire(1) == nil {
			return &connection{Conn: c, of: l.spare, over: over}, nil
		}
		l.obs.Refused("", over.Reason)
		_ = c.Close()
	}
}

// connection gives its place back when it is closed.
type connection struct {
	net.Conn
	of   *limit.Cap
	over *api.Error // set on one beyond the limit
	once sync.Once
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.of.Release(1) })
	return err
}

// SyscallConn implements syscall.Conn, by which it is seen that a caller has
// gone.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// beyond gives the refusal of a connection beyond the limit, nil of another.
func beyond(c net.Conn) *api.Error {
	if own, ok := c.(*connection); ok {
		return own.over
	}
	return nil
}
