package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/node/overload"
)

// lane lets one of those that wait go on each time the processor has turned around: everything else that was ready has
// had it. It is safe for concurrent use.
type lane struct {
	obs Observer
	// yields reports whether other input goes before all that waits; nil for never.
	yields atomic.Pointer[func() bool]

	mu sync.Mutex
	// turns is nil until something waits.
	turns *overload.Prober
	// first go on before those in waiting.
	first, waiting []chan struct{}
	turning        bool
}

// wait returns once the processor has turned around, and those that came before have gone on. If first is set, only those
// of them that also are first have.
func (l *lane) wait(first bool) {
	turn := make(chan struct{})
	l.mu.Lock()
	if l.turns == nil && !l.open() {
		l.mu.Unlock()
		return
	}
	if first {
		l.first = append(l.first, turn)
	} else {
		l.waiting = append(l.waiting, turn)
	}
	l.turn(time.Now())
	l.mu.Unlock()
	<-turn
}

// open starts the measurement of the processor. The caller must hold l.mu.
func (l *lane) open() bool {
	turns, err := overload.NewProber(l.turned)
	if err != nil {
		l.obs.TurnsNotMeasured(err)
		return false
	}
	l.turns = turns
	return true
}

// turn begins a turn unless one is in progress. The caller must hold l.mu.
func (l *lane) turn(now time.Time) {
	if !l.turning {
		l.turning = true
		l.turns.Start(now)
	}
}

func (l *lane) turned(_ time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turning = false
	if yields := l.yields.Load(); yields != nil && (*yields)() {
		l.turn(now)
		return
	}
	next := &l.waiting
	if len(l.first) > 0 {
		next = &l.first
	}
	close((*next)[0])
	*next = (*next)[1:]
	if len(l.first)+len(l.waiting) > 0 {
		l.turn(now)
	}
}
