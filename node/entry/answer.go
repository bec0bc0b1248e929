package entry

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventIdle: no event occurred within the wait.
	EventIdle EventKind = iota
	// EventPhase: the phase or the queue position of the request changed.
	EventPhase
	// EventHead: the status and headers of a plain call have arrived.
	EventHead
	// EventItems: new items have arrived.
	EventItems
	// EventEnd: the request has ended; no event follows.
	EventEnd
)

// Event is what a caller is told next.
type Event struct {
	Kind     EventKind
	Phase    wire.Phase
	Position int
	Head     *wire.Head
	// Packed holds N items (see core/stream), the first of them at Offset. All
	// belong to Generation on Target. Packed is valid until the following call of
	// Next.
	Packed     []byte
	N          int
	Offset     uint64
	Generation api.GenerationID
	Target     api.TargetID
	End        End
}

// Answer is the caller's side of a request in progress. Next must be called from
// one goroutine at a time; all other methods are safe for concurrent use.
type Answer struct {
	wake  chan struct{}
	timer *time.Timer // used by Next only

	mu           sync.Mutex
	recv         *stream.Receiver
	source       api.TargetID // target that sent the latest items; empty before the first
	pending      []byte       // items received and not yet returned by Next
	handedOut    []byte       // buffer that Next last returned, reused for pending at the next swap
	count        int          // number of items in pending
	offset       uint64       // offset of the first item in pending
	head         *wire.Head   // head that Next has not returned yet
	headReceived bool         // a head has arrived; later ones are ignored
	phase        wire.Phase
	position     int
	phaseChanged bool // phase or position changed since Next last returned them
	end          *End
	unackedBytes int                     // bytes returned by Next since the last acknowledgement
	delivered    uint64                  // offset after the last item returned by Next
	acked        uint64                  // offset last acknowledged to the agent
	ack          func(offset uint64)     // sends an acknowledgement; nil while no dispatch is followed
	cancel       context.CancelCauseFunc // cancels the goroutine that drives the request
}

// ackBytes is the number of bytes returned by Next after which an acknowledgement
// is due. It is a fraction of the agent's limit on unacknowledged bytes, so that
// the agent never has to wait for an acknowledgement while the caller keeps up.
const ackBytes = 4 << 10

func newAnswer() *Answer {
	return &Answer{wake: make(chan struct{}, 1), recv: stream.NewReceiver()}
}

func (a *Answer) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Next returns the next event, or EventIdle if none occurs within wait. By calling
// Next, the caller confirms that it has passed on the previous event.
func (a *Answer) Next(wait time.Duration) Event {
	a.acknowledge()
	if e, ok := a.takeEvent(); ok {
		return e
	}
	a.resetTimer(wait)
	defer a.timer.Stop()
	for {
		select {
		case <-a.wake:
			if e, ok := a.takeEvent(); ok {
				return e
			}
		case <-a.timer.C:
			return Event{Kind: EventIdle, Phase: a.Phase()}
		}
	}
}

// resetTimer starts the timer that all calls of Next share. A new timer for each
// token accounted for a seventh of an entry's work.
func (a *Answer) resetTimer(wait time.Duration) {
	if a.timer == nil {
		a.timer = time.NewTimer(wait)
		return
	}
	a.timer.Reset(wait)
}

// Phase returns the current phase of the request.
func (a *Answer) Phase() wire.Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase
}

// takeEvent removes and returns the next event, in this order of precedence: phase,
// head, items, end. It returns false if there is none.
func (a *Answer) takeEvent() (Event, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.phaseChanged:
		a.phaseChanged = false
		return Event{Kind: EventPhase, Phase: a.phase, Position: a.position}, true
	case a.head != nil:
		h := a.head
		a.head = nil
		return Event{Kind: EventHead, Head: h, Target: a.source}, true
	case a.count > 0:
		return a.takeItems(), true
	case a.end != nil:
		return Event{Kind: EventEnd, End: *a.end, Target: a.source}, true
	}
	return Event{}, false
}

// takeItems returns all pending items as one event. It swaps the two buffers, so
// that the returned items stay valid while new ones are appended.
func (a *Answer) takeItems() Event {
	e := Event{
		Kind:       EventItems,
		Packed:     a.pending,
		N:          a.count,
		Offset:     a.offset,
		Generation: a.recv.Generation(),
		Target:     a.source,
	}
	a.pending, a.handedOut = a.handedOut[:0], a.pending
	a.offset += uint64(a.count)
	a.delivered = a.offset
	a.unackedBytes += len(e.Packed)
	a.count = 0
	return e
}

// acknowledge grants the agent credit for what Next has returned. It waits for
// ackBytes bytes or ackItems items, so that a token does not cost a frame in each
// direction.
func (a *Answer) acknowledge() {
	a.mu.Lock()
	ack := a.ack
	off := a.delivered
	due := ack != nil && off > a.acked && (off-a.acked >= ackItems || a.unackedBytes >= ackBytes)
	if due {
		a.acked = off
		a.unackedBytes = 0
	}
	a.mu.Unlock()
	if due {
		ack(off)
	}
}

// ackItems is the number of items returned by Next after which an acknowledgement
// is due.
const ackItems = 256

// Cancel reports that the caller has gone. The work at the agent is cancelled at
// once, or after hold if the caller asked to be able to come back.
func (a *Answer) Cancel(hold time.Duration) {
	if hold > 0 {
		a.cancel(callerDetached{hold})
		return
	}
	a.cancel(errCallerGone)
}

func (a *Answer) setPhase(p wire.Phase, position int) {
	a.mu.Lock()
	changed := a.phase != p || a.position != position
	a.phase = p
	a.position = position
	a.phaseChanged = a.phaseChanged || changed
	a.mu.Unlock()
	if changed {
		a.signal()
	}
}

func (a *Answer) setHead(h *wire.Head) {
	a.mu.Lock()
	if !a.headReceived {
		a.head = h
		a.headReceived = true
	}
	a.mu.Unlock()
	a.signal()
}

// accept adds a run of items from target and returns the receiver's verdict.
func (a *Answer) accept(target api.TargetID, m *wire.Data) (stream.Verdict, error) {
	a.mu.Lock()
	fresh, count, v, err := a.recv.Accept(m.Generation, m.Offset, m.N, m.Packed)
	if err == nil && v == stream.Fresh {
		a.pending = append(a.pending, fresh...)
		a.count += count
		a.source = target
	}
	a.mu.Unlock()
	if err == nil && v == stream.Fresh {
		a.signal()
	}
	return v, err
}

// complete compares a final frame with what was received. missing is set if items
// have not arrived yet; an error means that the answer is not intact.
func (a *Answer) complete(m *wire.Final) (missing bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recv.Complete(m.Generation, m.Count, m.Sum)
}

// nextOffset returns the offset of the item expected next, and the generation,
// which is empty before the first item.
func (a *Answer) nextOffset() (uint64, api.GenerationID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recv.Next(), a.recv.Generation()
}

// started reports whether the caller may have received any part of the answer.
func (a *Answer) started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recv.Next() > 0 || a.headReceived
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
