// Package presence determines whether the process behind a target's address still runs once one of its
// connections has ended. The kernel closes the connections of a process that ends in the same way as the
// process itself does.
package presence

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// maxWatch is the longest time for which a target may leave open a connection that it is to close.
const maxWatch = 50 * time.Millisecond

// Dialer opens connections. It is safe for concurrent use.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Confirm returns an error unless a connection to addr can still be opened. A process that is killed may
// close its connections before its listener; connections that are opened in between are then reset.
func Confirm(ctx context.Context, d Dialer, addr string) error {
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err == nil && !isReset(ctx, conn) {
		return context.Cause(ctx)
	}
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	// A listener that is closed refuses connections from before it resets those in its queue. A target that just
	// resets connections which bring no request takes the next one too.
	conn, err = d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	if errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	return err
}

// isReset closes a connection on which nothing was sent, and reports whether the target resets it. The sending
// side is closed first, so that a process which runs closes the connection at once.
func isReset(ctx context.Context, conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = half.CloseWrite() // fails if the connection was reset
	_ = conn.SetReadDeadline(time.Now().Add(maxWatch))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNRESET)
}
