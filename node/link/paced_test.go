package link

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// delayedConn queues what is written and passes it on in order, as a socket does. The bytes after the first
// ones, free in number, are passed on after a delay.
type delayedConn struct {
	net.Conn
	free  int
	delay time.Duration

	mu       sync.Mutex
	deadline time.Time
	queue    chan []byte
}

func newDelayedConn(conn net.Conn, free int, delay time.Duration) *delayedConn {
	d := &delayedConn{Conn: conn, free: free, delay: delay, queue: make(chan []byte, 1024)}
	go func() {
		passed := 0
		for b := range d.queue {
			if passed <= free && passed+len(b) > free {
				time.Sleep(delay)
			}
			passed += len(b)
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}()
	return d
}

func (d *delayedConn) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.deadline.IsZero() && time.Now().After(d.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	d.queue <- append([]byte(nil), b...)
	return len(b), nil
}

func (d *delayedConn) SetWriteDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = t
	return nil
}

// TestSlowLastPiece guards against a link that is closed as stalled although its peer is alive: the peer has
// read the last piece of a large message later than Options.Silence after it was written.
func TestSlowLastPiece(t *testing.T) {
	c := qt.New(t)
	const silence = 300 * time.Millisecond
	const size = unpacedLimit + 1
	got := make(chan int, 1)
	server, client := options("k", RoleEntry), options("k", RoleAgent)
	server.Silence, client.Silence = time.Hour, silence
	accepted := make(chan *Conn, 1)
	addr := listen(t, server, func(conn *Conn) {
		accepted <- conn
		conn.Run(context.Background(), func(m wire.Message) {
			got <- len(m.(*wire.Data).Packed)
			conn.Close()
		})
	})
	client.NetDial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newDelayedConn(conn, size-bufferSize, 2*silence), nil
	}
	conn, err := Dial(context.Background(), addr, client)
	c.Assert(err, qt.IsNil)
	peer := <-accepted
	stop := make(chan struct{})
	go func() { // the peer's pings
		for {
			select {
			case <-stop:
				return
			case <-time.After(silence / 3):
				select {
				case peer.pingDue <- struct{}{}:
				default:
				}
			}
		}
	}()
	defer close(stop)
	c.Assert(conn.Send(&wire.Data{Generation: "g", N: 1, Packed: make([]byte, size)}), qt.IsNil)
	c.Check(conn.Run(context.Background(), func(wire.Message) {}), qt.Equals, ClosePeer)
	close(conn.ws.NetConn().(*delayedConn).queue)
	select {
	case n := <-got:
		c.Assert(n, qt.Equals, size)
	default:
		c.Fatal("the message did not arrive")
	}
}
