package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/platform/standin"
	"github.com/sourcegraph/conc"
)

// mode is what a forwarder does with the data that passes through it.
type mode int32

const (
	modePass mode = iota
	// modeDelay delays each chunk of data.
	modeDelay
	// modeBlackhole drops all data in both directions. New connections are accepted, but
	// are not connected to the destination until the mode changes.
	modeBlackhole
	// modeOneWay drops only the data sent by the process behind the forwarder.
	modeOneWay
)

// forwarder forwards TCP connections from one address to another.
type forwarder struct {
	to    string
	ln    net.Listener
	mode  atomic.Int32
	delay atomic.Int64 // nanoseconds
	work  conc.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newForwarder(from, to string) (*forwarder, error) {
	ln, err := standin.Listen(from)
	if err != nil {
		return nil, err
	}
	f := &forwarder{to: to, ln: ln, conns: make(map[net.Conn]struct{})}
	f.work.Go(f.accept)
	return f, nil
}

func (f *forwarder) set(m mode, delay time.Duration) {
	f.delay.Store(int64(delay))
	f.mode.Store(int32(m))
}

// reset closes all connections with a TCP reset.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a TCP reset
		}
		c.Close()
	}
}

func (f *forwarder) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.ln.Close()
	f.reset()
	f.work.Wait()
}

func (f *forwarder) accept() {
	for {
		in, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.work.Go(func() { f.connect(in) })
	}
}

func (f *forwarder) connect(in net.Conn) {
	defer in.Close()
	if !f.track(in) {
		return
	}
	defer f.untrack(in)
	for mode(f.mode.Load()) == modeBlackhole {
		if !f.waitUnlessClosed() {
			return
		}
	}
	out, err := net.DialTimeout("tcp", f.to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	if !f.track(out) {
		return
	}
	defer f.untrack(out)
	var both conc.WaitGroup
	both.Go(func() { f.pipe(out, in, false) })
	both.Go(func() { f.pipe(in, out, true) })
	both.Wait()
}

// blackholePollInterval is the interval at which a new connection that is held back in
// modeBlackhole checks whether the mode has changed.
const blackholePollInterval = 20 * time.Millisecond

func (f *forwarder) waitUnlessClosed() bool {
	time.Sleep(blackholePollInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.closed
}

// pipe forwards one direction of a connection; answer is set for the data sent by the process
// behind the forwarder. Once data has been dropped, all later data of this direction is
// dropped too, since the receiver would otherwise see a stream with a gap.
func (f *forwarder) pipe(to, from net.Conn, answer bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := mode(f.mode.Load()); {
			case lost, m == modeBlackhole, m == modeOneWay && answer:
				lost = true
			case m == modeDelay:
				time.Sleep(time.Duration(f.delay.Load()))
			}
			if !lost {
				if _, werr := to.Write(buf[:n]); werr != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

func (f *forwarder) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *forwarder) untrack(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}
