package overload

import "time"

// report is what is reported once a second.
type report struct {
	// closed counts connections closed unread since closedAt.
	closed   int
	closedAt time.Time
	// turnarounds and waits were measured since busyAt.
	turnarounds, waits Times
	busyAt             time.Time
	// expired is set if connections waited too long since busyAt.
	expired bool
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

// reportClosed reports closed connections. The caller must hold l.mu.
func (l *Listener) reportClosed(now time.Time) {
	r := &l.report
	if r.closed == 0 || now.Sub(r.closedAt) < reportInterval {
		return
	}
	l.obs.ConnectionsClosed(r.closed, l.gate.Waiting())
	r.closed, r.closedAt = 0, now
}

// reportBusy reports long turnarounds, and adapts the threads to them. The caller must hold l.mu.
func (l *Listener) reportBusy(now time.Time) {
	r := &l.report
	if now.Sub(r.busyAt) < reportInterval {
		return
	}
	busy := r.turnarounds.Mean() > busyTurnaround
	if busy {
		l.obs.ProcessorBusy(r.turnarounds, r.waits)
	}
	l.threads.adapt(busy || r.expired, now)
	r.turnarounds, r.waits, r.busyAt, r.expired = Times{}, Times{}, now, false
}
