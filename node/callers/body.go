package callers

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/entry"
)

// errTruncated makes the HTTP library close the connection without sending the last
// chunk of the body.
var errTruncated = errors.New("callers: answer cut short")

// answerReader reads the events of an answer for one caller. Close reports the number
// of tokens used to the limiter.
type answerReader struct {
	answer       *entry.Answer
	keepAlive    time.Duration
	hold         time.Duration
	settle       func(tokens int)
	promptTokens int
	callerGone   func() bool
	items        int
	ended        bool
	notRun       bool
	closed       bool
}

// callerCheckInterval is the interval at which answerReader checks whether the caller
// has disconnected while no event arrives.
const callerCheckInterval = 250 * time.Millisecond

// next waits for an event. Meanwhile it checks periodically whether the caller is still
// connected, and cancels the request if it is not: the HTTP library notices a
// disconnect only when a write fails, and until then the request would keep occupying
// an engine that may be overloaded.
func (r *answerReader) next(wait time.Duration) entry.Event {
	deadline := time.Now().Add(wait)
	for {
		left := time.Until(deadline)
		e := r.answer.Next(min(max(left, 0), callerCheckInterval))
		if e.Kind != entry.EventIdle {
			r.items += e.N
			r.recordEnd(e)
			return e
		}
		if r.callerGone() {
			r.answer.Cancel(r.hold)
		}
		if left <= callerCheckInterval {
			return e
		}
	}
}

// firstEvents returns the events up to the first one that is not a change of phase: a
// part of the answer, its end, or EventIdle if none arrives within wait.
func (r *answerReader) firstEvents(wait time.Duration) []entry.Event {
	deadline := time.Now().Add(wait)
	var out []entry.Event
	for {
		e := r.next(time.Until(deadline))
		out = append(out, e)
		if e.Kind != entry.EventPhase {
			return out
		}
	}
}

// recordEnd notes the outcome if e is the end of the answer.
func (r *answerReader) recordEnd(e entry.Event) {
	if e.Kind == entry.EventEnd {
		r.ended = true
		r.notRun = e.End.Outcome == api.OutcomeNotRun
	}
}

// Close reports the tokens used: those of the prompt and one for each item. It cancels
// the request if the answer has not ended.
func (r *answerReader) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.ended {
		r.answer.Cancel(r.hold)
	}
	if r.notRun {
		// A request that did not run costs no tokens. Otherwise requests that are
		// refused under overload would use up the customer's rate, and the next
		// ones would be refused as exceeding it.
		r.settle(0)
		return
	}
	r.settle(r.promptTokens + r.items)
}

// peerClosedFunc returns a function that reports whether the peer of conn has closed
// the connection. The function peeks at the socket without consuming data. It always
// reports false if conn gives no access to its socket.
func peerClosedFunc(conn net.Conn) func() bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	return func() bool { return peerClosed(raw) }
}

// peerClosed reports whether the peer has closed the connection or the socket has
// failed.
func peerClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock := err == syscall.EAGAIN || err == syscall.EINTR
		closed = n == 0 && err == nil || err != nil && !wouldBlock
	})
	return err != nil || closed
}

// renderer converts events into the bytes of a response body.
type renderer interface {
	// render appends to dst what the caller receives for e.
	render(dst []byte, e entry.Event) ([]byte, error)
	// end appends the last bytes. reported is the end that the caller is told; it
	// differs from e if an answer ended as completed but turns out to be incomplete.
	// truncate requests that the connection be closed without completing the body.
	end(dst []byte, e entry.End) (out []byte, reported entry.End, truncate bool)
}

// responseBody is the response body that the HTTP library reads on the connection's
// goroutine. The library sends the result of each Read at once as one chunk. It calls
// Close after the last write, or when a write has failed because the caller has
// disconnected.
type responseBody struct {
	conn         net.Conn
	writeTimeout time.Duration // for one write
	answerReader *answerReader
	format       renderer
	// firstEvents holds the events that were read before the response body was created.
	firstEvents []entry.Event
	out         []byte
	pos         int
	readErr     error
	// onRefused is called if the caller is told that the answer ended incomplete; it
	// may be nil. It is not called if the answer ends after the caller has
	// disconnected.
	onRefused  func(api.Reason)
	callerLeft bool
	// resetIfCut requests that the connection be reset unless the whole body was written: without chunks, a body may
	// end with its connection, and only a reset shows that it is incomplete.
	resetIfCut bool
	// runInBackground runs the reading of the remaining answer if the caller
	// disconnects before its end. If it is nil, the request is cancelled then.
	runInBackground func(rest func())
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	for b.pos == len(b.out) {
		if b.readErr != nil {
			return 0, b.readErr
		}
		b.fill()
	}
	n := copy(p, b.out[b.pos:])
	b.pos += n
	b.extendWriteDeadline()
	return n, nil
}

// extendWriteDeadline gives the next write its own deadline. The HTTP library sets one
// deadline for the whole response, which would cut off a long stream in the middle even
// if its caller reads fast.
func (b *responseBody) extendWriteDeadline() {
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.writeTimeout))
}

func (b *responseBody) fill() {
	e := b.nextEvent()
	b.out, b.pos = b.out[:0], 0
	if e.Kind == entry.EventEnd {
		b.finish(e.End)
		return
	}
	out, err := b.format.render(b.out, e)
	if err != nil {
		b.finish(entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()})
		return
	}
	b.out = out
}

func (b *responseBody) finish(e entry.End) {
	out, reported, truncate := b.format.end(b.out, e)
	b.out = out
	b.readErr = io.EOF
	if reported.Outcome != api.OutcomeCompleted && !b.callerLeft && b.onRefused != nil {
		b.onRefused(reported.Reason)
	}
	if truncate {
		b.readErr = errTruncated
	}
}

func (b *responseBody) nextEvent() entry.Event {
	if len(b.firstEvents) > 0 {
		e := b.firstEvents[0]
		b.firstEvents = b.firstEvents[1:]
		return e
	}
	return b.answerReader.next(b.answerReader.keepAlive)
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.readErr == nil && b.runInBackground != nil {
		b.runInBackground(b.drain)
		return nil
	}
	b.answerReader.Close()
	return nil
}

// CloseWithError implements fasthttp.ReadCloserWithError. The HTTP library calls it after Close, with the error that
// kept it from writing the whole body, and then closes the connection.
func (b *responseBody) CloseWithError(err error) error {
	if tcp, ok := b.conn.(interface{ SetLinger(sec int) error }); ok && err != nil && b.resetIfCut {
		return tcp.SetLinger(0)
	}
	return nil
}

// drain reads the rest of the answer without sending it, so that the call runs to its
// end and its claim, if any, is settled.
func (b *responseBody) drain() {
	b.callerLeft = true
	for b.readErr == nil {
		b.fill()
	}
	b.answerReader.Close()
}
