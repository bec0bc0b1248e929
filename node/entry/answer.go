package entry

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// EventKind tells what an Event carries.
type EventKind uint8

const (
	// EventIdle: nothing happened within the wait.
	EventIdle EventKind = iota
	// EventPhase: the request was queued, started or stalled.
	EventPhase
	// EventHead: status and headers of a plain call.
	EventHead
	// EventItems: new items.
	EventItems
	// EventEnd: the request has ended; no event follows.
	EventEnd
)

// Event is the next thing a caller is told.
type Event struct {
	Kind     EventKind
	Phase    wire.Phase
	Position int
	Head     *wire.Head
	// Packed holds N items (see core/stream), the first at Offset, all of
	// Generation on Target. It is valid until the following Next.
	Packed     []byte
	N          int
	Offset     uint64
	Generation api.GenerationID
	Target     api.TargetID
	End        End
}

// Answer is the caller's end of a request in progress. Next is called from one
// goroutine; everything else may be called from any.
type Answer struct {
	wake  chan struct{}
	timer *time.Timer // used by Next alone

	mu      sync.Mutex
	recv    *stream.Receiver
	from    api.TargetID
	pending []byte
	spare   []byte
	n       int
	off     uint64
	head    *wire.Head
	headed  bool // a head has arrived; it is told once
	phase   wire.Phase
	pos     int
	moved   bool // phase changed since it was last told
	end     *End
	owed    int                     // bytes handed out and not acknowledged
	taken   uint64                  // items handed out by Next
	acked   uint64                  // items acknowledged to the agent
	ack     func(off uint64)        // set while a leg is attached
	cancel  context.CancelCauseFunc // ends the driver
}

// ackEvery is the number of bytes handed out between acknowledgements. It is a
// fraction of the agent's bound, so that the agent never waits for an
// acknowledgement from a caller that keeps up.
const ackEvery = 4 << 10

func newAnswer() *Answer {
	return &Answer{wake: make(chan struct{}, 1), recv: stream.NewReceiver()}
}

func (a *Answer) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Next gives the next event, or EventIdle after wait. Asking for the next event
// tells that the caller was given the last one.
func (a *Answer) Next(wait time.Duration) Event {
	a.acknowledge()
	if e, ok := a.take(); ok {
		return e
	}
	a.arm(wait)
	defer a.timer.Stop()
	for {
		select {
		case <-a.wake:
			if e, ok := a.take(); ok {
				return e
			}
		case <-a.timer.C:
			return Event{Kind: EventIdle, Phase: a.Phase()}
		}
	}
}

// arm sets the one timer of the answer: a new one for each token was a seventh
// of an entry's work.
func (a *Answer) arm(wait time.Duration) {
	if a.timer == nil {
		a.timer = time.NewTimer(wait)
		return
	}
	a.timer.Reset(wait)
}

// Phase is the request's present state.
func (a *Answer) Phase() wire.Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase
}

// take gives what is there: head before items, items before the end.
func (a *Answer) take() (Event, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.moved:
		a.moved = false
		return Event{Kind: EventPhase, Phase: a.phase, Position: a.pos}, true
	case a.head != nil:
		h := a.head
		a.head = nil
		return Event{Kind: EventHead, Head: h, Target: a.from}, true
	case a.n > 0:
		return a.takeItems(), true
	case a.end != nil:
		return Event{Kind: EventEnd, End: *a.end, Target: a.from}, true
	}
	return Event{}, false
}

func (a *Answer) takeItems() Event {
	e := Event{
		Kind:       EventItems,
		Packed:     a.pending,
		N:          a.n,
		Offset:     a.off,
		Generation: a.recv.Generation(),
		Target:     a.from,
	}
	a.pending, a.spare = a.spare[:0], a.pending
	a.off += uint64(a.n)
	a.taken = a.off
	a.owed += len(e.Packed)
	a.n = 0
	return e
}

// acknowledge grants the agent credit for what was handed out. It waits for
// ackEvery bytes so that a token does not cost a frame in each direction.
func (a *Answer) acknowledge() {
	a.mu.Lock()
	ack := a.ack
	off := a.taken
	due := ack != nil && off > a.acked && (off-a.acked >= ackItems || a.owed >= ackEvery)
	if due {
		a.acked = off
		a.owed = 0
	}
	a.mu.Unlock()
	if due {
		ack(off)
	}
}

// ackItems bounds the items between acknowledgements.
const ackItems = 256

// Cancel tells that the caller has gone. The work is cancelled at once, or
// after hold when the caller asked to be able to come back.
func (a *Answer) Cancel(hold time.Duration) {
	if hold > 0 {
		a.cancel(callerHeld{hold})
		return
	}
	a.cancel(errCallerGone)
}

func (a *Answer) setPhase(p wire.Phase, pos int) {
	a.mu.Lock()
	changed := a.phase != p || a.pos != pos
	a.phase = p
	a.pos = pos
	a.moved = a.moved || changed
	a.mu.Unlock()
	if changed {
		a.signal()
	}
}

func (a *Answer) setHead(h *wire.Head) {
	a.mu.Lock()
	if !a.headed {
		a.head = h
		a.headed = true
	}
	a.mu.Unlock()
	a.signal()
}

// accept takes a run of items from target. It gives the receiver's verdict.
func (a *Answer) accept(target api.TargetID, m *wire.Data) (stream.Verdict, error) {
	a.mu.Lock()
	fresh, n, v, err := a.recv.Accept(m.Generation, m.Offset, m.N, m.Packed)
	if err == nil && v == stream.Fresh {
		a.pending = append(a.pending, fresh...)
		a.n += n
		a.from = target
	}
	a.mu.Unlock()
	if err == nil && v == stream.Fresh {
		a.signal()
	}
	return v, err
}

// complete compares a final frame with what was received.
func (a *Answer) complete(m *wire.Final) (missing bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recv.Complete(m.Generation, m.Count, m.Sum)
}

// received is the offset expected next, and the generation if it is fixed.
func (a *Answer) received() (uint64, api.GenerationID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recv.Next(), a.recv.Generation()
}

// started tells whether the caller may have been given any part of the answer.
func (a *Answer) started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recv.Next() > 0 || a.headed
}

func (a *Answer) finish(e End) {
	a.mu.Lock()
	if a.end == nil {
		a.end = &e
	}
	a.ack = nil
	a.mu.Unlock()
	a.signal()
}

func (a *Answer) setAck(f func(off uint64)) {
	a.mu.Lock()
	a.ack = f
	a.mu.Unlock()
}
