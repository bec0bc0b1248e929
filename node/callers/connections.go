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
	// spareConnections is the number of connections accepted beyond the limit, so that
	// their callers receive a refusal with a reason. Further connections are closed
	// without a response.
	spareConnections = 256
	// connectionRetryAfter is the RetryAfter of a refusal for exceeding the limit.
	connectionRetryAfter = time.Second
)

// limitedListener is a listener that limits the number of callers' connections to the
// configured maximum. On a connection beyond the limit, the first request is refused as
// not run and the connection is closed.
type limitedListener struct {
	net.Listener
	live    *fleetconfig.Live
	obs     Observer
	regular *limit.Cap
	spare   *limit.Cap
}

func newLimitedListener(ln net.Listener, live *fleetconfig.Live, obs Observer, maxConnections int64) *limitedListener {
	return &limitedListener{
		Listener: ln,
		live:     live,
		obs:      obs,
		regular:  limit.NewCap(maxConnections, api.ReasonConnectionLimit, connectionRetryAfter),
		spare:    limit.NewCap(spareConnections, api.ReasonConnectionLimit, connectionRetryAfter),
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conf := l.live.Load(); conf != nil {
			l.regular.Set(int64(conf.Limits().MaxConnections))
		}
		limitErr := l.regular.Acquire(1)
		if limitErr == nil {
			return &limitedConn{Conn: c, slot: l.regular}, nil
		}
		if l.spare.Acquire(1) == nil {
			return &limitedConn{Conn: c, slot: l.spare, limitErr: limitErr}, nil
		}
		l.obs.Refused("", limitErr.Reason)
		_ = c.Close()
	}
}

// limitedConn is a connection that releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	slot     *limit.Cap
	limitErr *api.Error // not nil if the connection exceeds the limit
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.slot.Release(1) })
	return err
}

// SetLinger sets the linger option of a TCP connection; others have none.
func (c *limitedConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// SyscallConn implements syscall.Conn, which peerClosedFunc needs.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// connectionRefusal returns the refusal for requests on a connection beyond the limit,
// and nil for other connections.
func connectionRefusal(c net.Conn) *api.Error {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	if lc, ok := c.(*limitedConn); ok {
		return lc.limitErr
	}
	return nil
}
