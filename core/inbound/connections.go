// Package inbound decides what a process keeps when clients occupy more of it than it has: which connections
// stay open, which request bodies go on being read, and which input is processed first.
//
// Clients that keep to the limits do not reach the bounds. Beyond a bound, the connection that has waited longest for its
// client is closed, and the body that arrives most slowly is abandoned: refusing new ones would leave the process to those
// that came first.
package inbound

import (
	"container/list"
	"time"
)

// requestGrace is how long a new connection may take to bring a whole request before idle connections are closed
// in its place.
const requestGrace = 500 * time.Millisecond

// maxSpared is how many connections are looked at to find one whose input has not arrived.
const maxSpared = 16

// Connections decides which connections are closed when there are too many. A connection is closed only while
// it waits for its client: not while a request is being served, nor after it was taken over by another protocol.
//
// It reads no clock. It is not safe for concurrent use.
type Connections[C any] struct {
	most, open int
	// arrived reports whether input of a connection has arrived that the process has not read; nil for never.
	arrived func(C) bool
	// fresh holds connections that have not brought a whole request, idle those that wait for another one. Both are in
	// the order of their times, the earliest first.
	fresh, idle list.List
}

// NewConnections returns an empty table for that many connections at the most. arrived reports whether input of a
// connection has arrived that the process has not read yet; it may be nil.
func NewConnections[C any](most int, arrived func(C) bool) *Connections[C] {
	return &Connections[C]{most: most, arrived: arrived}
}

// Connection is a connection in a table.
type Connection[C any] struct {
	Conn C
	// since is when the connection began to wait.
	since time.Time
	// queue and element are where it waits, nil while it does not.
	queue   *list.List
	element *list.Element
	closed  bool
}

// SetMost changes the largest number of connections. Those above it stay open until others arrive.
func (t *Connections[C]) SetMost(most int) { t.most = most }

// Open returns the number of connections.
func (t *Connections[C]) Open() int { return t.open }

// Arrive adds a connection. closed is the connection to be closed in its favour, nil for none; it has left the table. If
// every connection is in use, Arrive returns nil, and the new connection is to be closed.
func (t *Connections[C]) Arrive(c C, now time.Time) (added, closed *Connection[C]) {
	if t.open >= t.most {
		if closed = t.Evict(now); closed == nil {
			return nil, nil
		}
	}
	added = &Connection[C]{Conn: c}
	t.open++
	t.wait(added, &t.fresh, now)
	return added, closed
}

// Received records that a whole request has arrived on a connection.
func (t *Connections[C]) Received(c *Connection[C]) { t.unwait(c) }

// Answered records that the connection waits for another request.
func (t *Connections[C]) Answered(c *Connection[C], now time.Time) {
	if !c.closed {
		t.unwait(c)
		t.wait(c, &t.idle, now)
	}
}

// TakenOver records that another protocol begins on a connection. Until Established, the connection waits for its client
// like a fresh one.
func (t *Connections[C]) TakenOver(c *Connection[C], now time.Time) {
	if !c.closed {
		t.unwait(c)
		t.wait(c, &t.fresh, now)
	}
}

// Established records that the client has proved that it speaks the other protocol: the connection is in use until it is
// closed.
func (t *Connections[C]) Established(c *Connection[C]) { t.unwait(c) }

// Closed removes a connection.
func (t *Connections[C]) Closed(c *Connection[C]) {
	if c.closed {
		return
	}
	t.unwait(c)
	c.closed = true
	t.open--
}

// Evict removes the connection that is to be closed to make room, nil if all are in use.
//
// A fresh connection has no claim beyond requestGrace. Within it, an idle connection goes first: a client opens another
// one at no loss, whereas the fresh one may be about to bring its request.
//
// A connection whose input has arrived unread waits for the process, not for its client. It counts as fresh from now on.
func (t *Connections[C]) Evict(now time.Time) *Connection[C] {
	for range maxSpared {
		victim := t.longestWaiting(now)
		if victim == nil || t.arrived == nil || !t.arrived(victim.Conn) {
			return t.remove(victim)
		}
		t.unwait(victim)
		t.wait(victim, &t.fresh, now)
	}
	return t.remove(t.longestWaiting(now))
}

// remove removes a connection, if there is one, and returns it.
func (t *Connections[C]) remove(c *Connection[C]) *Connection[C] {
	if c != nil {
		t.Closed(c)
	}
	return c
}

// longestWaiting returns the connection that has waited longest for its client, nil if none waits.
func (t *Connections[C]) longestWaiting(now time.Time) *Connection[C] {
	fresh, idle := front[C](&t.fresh), front[C](&t.idle)
	victim := fresh
	if idle != nil && (fresh == nil || now.Sub(fresh.since) < requestGrace) {
		victim = idle
	}
	return victim
}

// Waited returns for how long a connection has waited for its client, zero if it does not wait.
func (c *Connection[C]) Waited(now time.Time) time.Duration { return now.Sub(c.since) }

func front[C any](l *list.List) *Connection[C] {
	if e := l.Front(); e != nil {
		return e.Value.(*Connection[C])
	}
	return nil
}

func (t *Connections[C]) wait(c *Connection[C], queue *list.List, now time.Time) {
	c.since, c.queue = now, queue
	c.element = queue.PushBack(c)
}

func (t *Connections[C]) unwait(c *Connection[C]) {
	if c.queue != nil {
		c.queue.Remove(c.element)
		c.queue, c.element = nil, nil
	}
}
