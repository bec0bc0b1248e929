package relay

import (
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"almondseam.dev/node/inbound"
)

const (
	// callerStallTimeout is the longest time for which a caller may read nothing of a response
	// that is ready for it. The target's connection is not read meanwhile, and targets end a
	// connection that is not read for long.
	callerStallTimeout = 10 * time.Second
	// minCallerStall is the time that remains when callers that do not read occupy all the
	// memory that they may. It is longer than the retransmission of a lost packet, so that a
	// caller which reads is not ended for one.
	minCallerStall = 250 * time.Millisecond
	// stalledCallerBytes is the most memory that a caller which does not read occupies, apart
	// from bodies: the buffers of both connections and of the event reader, the event being
	// written, and the stacks of two goroutines.
	stalledCallerBytes = 72 << 10
)

// callerMemory bounds the memory that callers which do not read occupy together: the more of it
// is occupied, the sooner they are ended. It is safe for concurrent use.
type callerMemory struct {
	// bound is in bytes, zero for none.
	bound int64
	// occupied is the memory of all callers to whom bytes are being written.
	occupied atomic.Int64
	// bodies is the memory of the bodies of all requests in progress.
	bodies *inbound.Memory
	// connections returns the memory of the open connections in bytes.
	connections func() int64
}

// newCallerMemory returns the memory of callers. bodies may be nil, and connections too.
func newCallerMemory(bound int64, bodies *inbound.Memory, connections func() int64) *callerMemory {
	if bodies == nil {
		bodies = inbound.NewMemory(bound / bodyMemoryDivisor)
	}
	if connections == nil {
		connections = func() int64 { return 0 }
	}
	return &callerMemory{bound: bound, bodies: bodies, connections: connections}
}

// stallTimeout returns how long a write that begins now may take: all of longest while at most
// half of the memory is occupied, and less the more is.
func (m *callerMemory) stallTimeout(longest time.Duration) time.Duration {
	occupied := m.occupied.Load() + m.connections() + m.bodies.Reserved()
	if m.bound <= 0 || occupied <= m.bound/2 {
		return longest
	}
	free := max(1-float64(occupied)/float64(m.bound), 0)
	return min(longest, max(minCallerStall, time.Duration(2*free*float64(longest))))
}

// callerResponse writes the response to a caller. It holds no bytes of its own: while the caller
// does not read, the relay does not read from the target. Only the server's buffer and the
// buffers of the two connections are then occupied.
type callerResponse struct {
	http.ResponseWriter
	control *http.ResponseController
	memory  *callerMemory
	// requestBytes is the memory of the request's body, which is kept for another attempt, responseBytes
	// that of the responses that were read for it.
	requestBytes, responseBytes int
	// limit is the time after which nothing may be written, zero while it is unknown.
	limit time.Time
	// stall is the longest time that a write may take.
	stall time.Duration
	// stalled is set once a write has timed out.
	stalled bool
	// complete is set once the response has been written to its end. Any other response is aborted.
	complete bool
	// close reports whether the connection is to be closed after the response; nil for never.
	close func() bool
}

func newCallerResponse(w http.ResponseWriter, memory *callerMemory, stall time.Duration) *callerResponse {
	return &callerResponse{ResponseWriter: w, control: http.NewResponseController(w), memory: memory, stall: stall}
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *callerResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *callerResponse) WriteHeader(status int) {
	if w.close != nil && w.close() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *callerResponse) Write(b []byte) (int, error) {
	occupied := w.begin(cap(b))
	defer w.memory.occupied.Add(-occupied)
	n, err := w.ResponseWriter.Write(b)
	return n, w.record(err)
}

// FlushError writes what the server has buffered.
func (w *callerResponse) FlushError() error {
	defer w.memory.occupied.Add(-w.begin(0))
	return w.record(w.control.Flush())
}

// begin counts the memory that the caller occupies while bytes are written to it, and sets the
// time until which they must have been. It returns what it has counted.
func (w *callerResponse) begin(bodyBytes int) (occupied int64) {
	occupied = int64(stalledCallerBytes + w.requestBytes + bodyBytes)
	w.memory.occupied.Add(occupied)
	until := time.Now().Add(w.memory.stallTimeout(w.stall))
	if !w.limit.IsZero() && w.limit.Before(until) {
		until = w.limit
	}
	_ = w.control.SetWriteDeadline(until) // not supported by test writers
	return occupied
}

// record notes whether a write has timed out.
func (w *callerResponse) record(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.stalled = true
	}
	return err
}

// reset resets the connection. Without chunks a body may end with its connection, so that only a reset shows
// that it is incomplete.
func (w *callerResponse) reset() {
	conn, _, err := w.control.Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// release removes the write deadline, so that the connection can serve further requests.
func (w *callerResponse) release() { _ = w.control.SetWriteDeadline(time.Time{}) }
