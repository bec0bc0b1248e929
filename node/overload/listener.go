// Package overload closes new connections unread while the process has no time for them; see
// core/overload.
package overload

import (
	"net"
	"sync"
	"time"

	"almondseam.dev/core/overload"
)

// Observer is notified of what a Listener decides. Its methods must not block.
type Observer interface {
	// ConnectionsClosed reports how many connections were closed unread since the last call, and the
	// share of new connections that is accepted now. It is called once a second at the most.
	ConnectionsClosed(n int, share float64)
	// Turnaround reports how long something that was ready waited behind all other work of the
	// process.
	Turnaround(d time.Duration)
	// ProcessorBusy reports that the mean turnaround of the last second was long, with the shortest
	// and the longest, and the same of the times from the acceptance of connections to their first
	// reads. It is called once a second at the most.
	ProcessorBusy(turnarounds, firstReads Times)
}

const (
	// reportInterval is the least time between two reports.
	reportInterval = time.Second
	// probeInterval is the least time between two measurements of the turnaround.
	probeInterval = 20 * time.Millisecond
)

// Listener is a net.Listener that closes some connections unread under overload. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	obs Observer

	mu      sync.Mutex
	control *overload.Controller
	closed  int
	// reported is when the observer was last called.
	reported time.Time

	prober *prober
	// probed is when the last measurement began; turnarounds and waits are what was measured since
	// busyReported.
	probed             time.Time
	busyReported       time.Time
	turnarounds, waits Times
}

// Times summarizes measured times.
type Times struct {
	Number                 int
	Shortest, Longest, Sum time.Duration
}

// Mean returns the mean, zero if there is no time.
func (t *Times) Mean() time.Duration {
	if t.Number == 0 {
		return 0
	}
	return t.Sum / time.Duration(t.Number)
}

func (t *Times) add(d time.Duration) {
	if t.Number == 0 || d < t.Shortest {
		t.Shortest = d
	}
	t.Longest = max(t.Longest, d)
	t.Sum += d
	t.Number++
}

// New returns a Listener around ln.
func New(ln net.Listener, obs Observer) (*Listener, error) {
	l := &Listener{Listener: ln, obs: obs, control: overload.New()}
	var err error
	l.prober, err = newProber(l.turnedAround)
	return l, err
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.prober.close()
	return l.Listener.Close()
}

func (l *Listener) turnedAround(d time.Duration, now time.Time) {
	l.obs.Turnaround(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnarounds.add(d)
	if now.Sub(l.busyReported) < reportInterval {
		return
	}
	if l.turnarounds.Mean() > overload.Target {
		l.obs.ProcessorBusy(l.turnarounds, l.waits)
	}
	l.busyReported, l.turnarounds, l.waits = now, Times{}, Times{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if l.admit(now) {
			return &conn{Conn: c, listener: l, accepted: now}, nil
		}
		_ = c.Close() // the caller sees that its request was not read
	}
}

func (l *Listener) admit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.probed) >= probeInterval {
		l.probed = now
		l.prober.start(now)
	}
	admitted := l.control.Admit(now)
	if !admitted {
		l.closed++
	}
	if l.closed > 0 && now.Sub(l.reported) >= reportInterval {
		l.obs.ConnectionsClosed(l.closed, l.control.Share())
		l.closed, l.reported = 0, now
	}
	return admitted
}

func (l *Listener) waited(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control.Waited(d, now)
	l.waits.add(d)
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
	c.once.Do(func() {
		now := time.Now()
		c.listener.waited(now.Sub(c.accepted), now)
	})
	return c.Conn.Read(b)
}
