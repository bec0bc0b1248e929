// Package overload decides which new connections an instance reads, and when, if more arrive than it has
// processor time for.
//
// An instance that reads all connections at once reads requests that it cannot answer in time, and spends
// its processor time on them. A connection that is closed unread costs little, and its caller is served
// elsewhere.
package overload

import (
	"slices"
	"time"
)

const (
	// MaxWait is the longest time for which a connection waits to be read. Its caller is then
	// served sooner by another instance.
	MaxWait = 250 * time.Millisecond
	// maxWaiting is the largest number of connections that wait. The bytes that their callers have
	// sent occupy memory of the instance.
	maxWaiting = 512
)

// Gate decides when new connections are read. One is admitted at a time, and the next one only once
// the processor has turned around: everything that was ready when the first was admitted has had the
// processor. So new connections get what accepted work leaves, however the processor time comes, and
// those that wait too long are closed.
//
// A Gate reads no clock. It is not safe for concurrent use.
type Gate[C any] struct {
	// waiting holds the connections that wait, the oldest first.
	waiting []waiting[C]
	// turning is set from the admission of a connection until the processor has turned around,
	// unread until the connection is first read.
	turning, unread bool
}

type waiting[C any] struct {
	conn  C
	since time.Time
}

// Arrive adds a connection to those that wait. It returns the connections to close in its favour.
func (g *Gate[C]) Arrive(c C, now time.Time) (closed []C) {
	closed = g.Expire(now)
	if len(g.waiting) == maxWaiting {
		closed = append(closed, g.waiting[0].conn)
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
	g.waiting = append(g.waiting, waiting[C]{c, now})
	return closed
}

// Next admits a connection, the newest: under overload the others have waited so long that their
// callers would be served late. It returns false if none waits or may be admitted now. If it returns
// true, a turn has begun: FirstRead and Turned must be called.
func (g *Gate[C]) Next() (c C, ok bool) {
	if g.turning || g.unread || len(g.waiting) == 0 {
		return c, false
	}
	last := len(g.waiting) - 1
	c = g.waiting[last].conn
	g.waiting[last] = waiting[C]{}
	g.waiting = g.waiting[:last]
	g.turning, g.unread = true, true
	return c, true
}

// FirstRead records that the connection that was admitted last is being read.
func (g *Gate[C]) FirstRead() { g.unread = false }

// Turned records that the processor has turned around since the last connection was admitted.
func (g *Gate[C]) Turned() { g.turning = false }

// Expire returns the connections that have waited for MaxWait; they wait no longer.
func (g *Gate[C]) Expire(now time.Time) (closed []C) {
	n := 0
	for n < len(g.waiting) && now.Sub(g.waiting[n].since) >= MaxWait {
		closed = append(closed, g.waiting[n].conn)
		n++
	}
	g.waiting = slices.Delete(g.waiting, 0, n)
	return closed
}

// Clear returns all connections that wait; they wait no longer.
func (g *Gate[C]) Clear() (closed []C) {
	for _, w := range g.waiting {
		closed = append(closed, w.conn)
	}
	g.waiting = nil
	return closed
}

// Waiting returns the number of connections that wait.
func (g *Gate[C]) Waiting() int { return len(g.waiting) }

// Oldest returns since when the connection that has waited longest waits, and false if none waits.
func (g *Gate[C]) Oldest() (time.Time, bool) {
	if len(g.waiting) == 0 {
		return time.Time{}, false
	}
	return g.waiting[0].since, true
}
