// Package overload lets an instance read new connections only as fast as it has processor time for
// them; see core/overload.
package overload

import (
	"net"
	"sync"
	"syscall"
	"time"

	"almondseam.dev/core/overload"
	"github.com/sourcegraph/conc"
)

// Observer is notified of what a Listener measures and decides. Its methods must not block.
type Observer interface {
	// ConnectionsClosed reports how many connections were closed unread since the last call, and how
	// many wait now. It is called once a second at the most.
	ConnectionsClosed(n, waiting int)
	// Turnaround reports how long something that was ready waited behind all other work of the
	// process.
	Turnaround(d time.Duration)
	// ProcessorBusy reports that the mean turnaround of the last second was long, with the shortest
	// and the longest, and the same of the times for which connections waited to be read. It is
	// called once a second at the most.
	ProcessorBusy(turnarounds, waits Times)
	// ThreadsAdapted reports that the process runs another number of threads, and the processor time
	// that it used in the time before. ThreadsNotAdapted reports that this time is not known.
	ThreadsAdapted(before, now int, used, elapsed time.Duration)
	ThreadsNotAdapted(err error)
}

const (
	// reportInterval is the least time between two reports.
	reportInterval = time.Second
	// busyTurnaround is the mean turnaround that is reported.
	busyTurnaround = 25 * time.Millisecond
)

// turns measures when the processor has turned around.
type turns interface {
	// Start begins a measurement, at whose end the function is called that the measurer was made
	// with. It changes nothing while a measurement is in progress.
	Start(now time.Time)
	Close()
}

// Listener is a net.Listener that accepts connections at once, and returns them from Accept when the
// process has time to read them. It closes those that wait too long. It is safe for concurrent use.
type Listener struct {
	net.Listener
	obs   Observer
	turns turns
	work  conc.WaitGroup
	// admitted holds the connection that is to be read next; failed passes errors on to Accept. done is
	// closed by Close.
	admitted chan net.Conn
	failed   chan error
	done     chan struct{}
	stop     sync.Once

	mu   sync.Mutex
	gate overload.Gate[*conn]
	// expiry closes connections that wait too long.
	expiry  *time.Timer
	report  report
	threads *threads
}

// New returns a Listener around ln. It accepts connections until Close.
func New(ln net.Listener, obs Observer) (*Listener, error) {
	l := newListener(ln, obs)
	p, err := NewProber(l.turned)
	if err != nil {
		return nil, err
	}
	l.run(p)
	return l, nil
}

func newListener(ln net.Listener, obs Observer) *Listener {
	return &Listener{Listener: ln, obs: obs, admitted: make(chan net.Conn, 1), failed: make(chan error), done: make(chan struct{}), threads: newThreads(obs)}
}

func (l *Listener) run(t turns) {
	l.turns = t
	l.expiry = time.AfterFunc(overload.MaxWait, l.expire)
	l.work.Go(l.acceptAll)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.admitted:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Waits reports whether connections wait to be read.
func (l *Listener) Waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Waiting() > 0
}

// Close implements net.Listener. It closes the connections that wait.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.stop.Do(func() {
		close(l.done)
		l.work.Wait()
		l.turns.Close()
		l.expiry.Stop()
		l.mu.Lock()
		defer l.mu.Unlock()
		closeAll(l.gate.Clear())
		select {
		case c := <-l.admitted:
			_ = c.Close() // unread
		default:
		}
	})
	return err
}

// acceptAll accepts connections until the listener is closed.
func (l *Listener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.arrive(c)
			continue
		}
		select {
		case l.failed <- err: // the server waits before it calls Accept again
		case <-l.done:
			return
		}
	}
}

func (l *Listener) arrive(c net.Conn) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeUnread(l.gate.Arrive(&conn{Conn: c, listener: l, accepted: now}, now), now)
	l.next(now)
	if _, waits := l.gate.Oldest(); waits && l.gate.Waiting() == 1 {
		l.expiry.Reset(overload.MaxWait)
	}
}

// next admits a connection if there is time for it. The caller must hold l.mu.
func (l *Listener) next(now time.Time) {
	c, ok := l.gate.Next()
	if !ok {
		return
	}
	l.report.waits.add(now.Sub(c.accepted))
	l.turns.Start(now)
	l.admitted <- c // has room: the connection before is being read
}

// turned is called when the processor has turned around.
func (l *Listener) turned(d time.Duration, now time.Time) {
	l.obs.Turnaround(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.turnarounds.add(d)
	l.reportBusy(now)
	l.gate.Turned()
	l.next(now)
}

// firstRead is called when an admitted connection is first read, or closed.
func (l *Listener) firstRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.FirstRead()
	l.next(time.Now())
}

func (l *Listener) expire() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeUnread(l.gate.Expire(now), now)
	if oldest, waits := l.gate.Oldest(); waits {
		l.expiry.Reset(overload.MaxWait - now.Sub(oldest))
	}
}

// closeUnread closes connections. Their callers see that their requests were not read. The caller must
// hold l.mu.
func (l *Listener) closeUnread(list []*conn, now time.Time) {
	closeAll(list)
	l.report.closed += len(list)
	l.report.expired = l.report.expired || len(list) > 0
	l.reportClosed(now)
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Conn.Close() // unread
	}
}

// conn reports when its connection is first read.
type conn struct {
	net.Conn
	listener *Listener
	accepted time.Time
	once     sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(c.listener.firstRead)
	return c.Conn.Read(b)
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// SetLinger sets the linger option of a TCP connection; others have none.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.listener.firstRead)
	return c.Conn.Close()
}
