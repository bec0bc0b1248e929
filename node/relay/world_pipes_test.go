package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondseam.dev/node/upstream"
)

// pipeListener accepts the pipes that dial opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// bootConn is the target's end of a connection from an entry process.
type bootConn struct {
	net.Conn
	boot   string
	closed *atomic.Bool
}

func (c *bootConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// nearConn is the entry's end of such a connection.
type nearConn struct {
	net.Conn
	closed *atomic.Bool
}

// IsQuiet implements upstream.Quiet.
func (c *nearConn) IsQuiet() bool { return !c.closed.Load() }

type bootKey struct{}

// bootDialer opens the connections of one entry process, each after some time.
type bootDialer struct {
	w    *world
	boot string
	mu   sync.Mutex
	rng  *rand.Rand
}

// DialContext implements upstream.Dialer.
func (d *bootDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.mu.Lock()
	wait := time.Duration(d.rng.ExpFloat64() * float64(3*time.Millisecond))
	if d.rng.IntN(20) == 0 && !d.w.noStalls {
		wait = time.Duration(d.rng.Int64N(int64(upstream.DefaultDialTimeout)))
	}
	d.mu.Unlock()
	sleep(ctx, wait)
	for _, target := range d.w.targets {
		if target.record.Address != address {
			continue
		}
		near, far := net.Pipe()
		closed := new(atomic.Bool)
		ln := target.listener()
		select {
		case ln.conns <- &bootConn{far, d.boot, closed}:
			return &nearConn{near, closed}, nil
		case <-ln.closed:
		case <-ctx.Done():
			_ = near.Close()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		_ = near.Close()
	}
	return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}
