package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// mode is what a forwarder does with the bytes that go through it.
type mode int32

const (
	modePass mode = iota
	// modeDelay holds each piece up for a while.
	modeDelay
	// modeSilent swallows everything, both ways, and accepts nothing new.
	modeSilent
	// modeOneWay swallows only what comes from the listening process.
	modeOneWay
)

// forwarder passes TCP connections on from one address to another.
type forwarder struct {
	to    string
	ln    net.Listener
	mode  atomic.Int32
	delay atomic.Int64 // nanoseconds
	work  conc.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	over  bool
}

func newForwarder(from, to string) (*forwarder, error) {
	ln, err := net.Listen("tcp", from)
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

// reset cuts all connections.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the peer sees a reset
		}
		c.Close()
	}
}

func (f *forwarder) close() {
	f.mu.Lock()
	f.over = true
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
	if !f.keep(in) {
		return
	}
	defer f.forget(in)
	for mode(f.mode.Load()) == modeSilent {
		if !f.waitOrEnd() {
			return
		}
	}
	out, err := net.DialTimeout("tcp", f.to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	if !f.keep(out) {
		return
	}
	defer f.forget(out)
	var both conc.WaitGroup
	both.Go(func() { f.pipe(out, in, false) })
	both.Go(func() { f.pipe(in, out, true) })
	both.Wait()
}

// silentLook is how often a silenced connection looks whether the silence is over.
const silentLook = 20 * time.Millisecond

func (f *forwarder) waitOrEnd() bool {
	time.Sleep(silentLook)
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.over
}

// pipe passes one direction on. What a silence has swallowed is lost, so that the
// connection stays silent for good.
func (f *forwarder) pipe(to, from net.Conn, answer bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := mode(f.mode.Load()); {
			case lost, m == modeSilent, m == modeOneWay && answer:
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

func (f *forwarder) keep(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *forwarder) forget(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}
