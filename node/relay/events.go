package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"
)

// event is one event of a stream, in the bytes that the target wrote.
type event struct {
	raw []byte
	// id is the value of the event's id field, empty if it has none.
	id []byte
}

const (
	// maxEvent is the maximum size of one event in bytes. maxUncountedEvent is the size up to which the
	// memory of an event is not counted as that of a body.
	maxEvent          = 1 << 20
	maxUncountedEvent = 16 << 10
	// maxEventTime is the longest time from the first byte of an event to its end.
	maxEventTime = 3 * time.Second
)

var errEventTooLarge = errors.New("stream event is too large")

// errEventTooLate reports an event that did not end in time.
var errEventTooLate = errors.New("stream event does not end")

// errTruncatedEvent reports a stream that ended in the middle of an event.
var errTruncatedEvent = errors.New("stream ended in the middle of an event")

// eventReader splits a stream into complete events. It never returns an incomplete event,
// because the stream may be continued from another target after the last event returned.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// memory counts the memory of large events, abort ends the stream. counted is what is counted now.
	memory  *callerMemory
	abort   func()
	counted int
}

// newEventReader returns a reader of the events of a target's stream. abort is called if an event does
// not end in time, and must make reading fail.
func newEventReader(r io.Reader, memory *callerMemory, abort func()) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10), memory: memory, abort: abort}
}

// close releases what the reader has counted.
func (e *eventReader) close() {
	e.memory.releaseBody(e.counted)
	e.counted = 0
}

// await waits for the first byte of the next event. If the rest of the event has not arrived with it, it
// returns a function that ends the wait for the rest, and reports whether that took too long.
func (e *eventReader) await() (arrived func() bool) {
	if _, err := e.r.Peek(1); err != nil || e.hasNext() {
		return func() bool { return false }
	}
	timer := time.AfterFunc(maxEventTime, e.abort)
	return func() bool { return !timer.Stop() }
}

// next returns the next complete event, or io.EOF at the end of the stream. The event is valid
// until the next call.
func (e *eventReader) next() (event, error) {
	arrived := e.await()
	ev, err := e.read()
	if late := arrived(); late && err != nil {
		return event{}, errEventTooLate
	}
	return ev, err
}

func (e *eventReader) read() (event, error) {
	e.buf = e.buf[:0]
	ev := event{}
	idStart, idEnd := 0, 0
	for {
		start := len(e.buf)
		if err := e.line(); err != nil {
			if errors.Is(err, io.EOF) && len(e.buf) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			ev.raw, ev.id = e.buf, e.buf[idStart:idEnd]
			return ev, nil
		}
		if bytes.HasPrefix(line, []byte("id:")) {
			value := bytes.TrimPrefix(line[len("id:"):], []byte(" "))
			idStart = start + len(line) - len(value)
			idEnd = start + len(line)
		}
	}
}

// hasNext reports whether next returns an event without waiting for the target.
func (e *eventReader) hasNext() bool {
	rest, _ := e.r.Peek(e.r.Buffered()) // no more than is buffered
	return bytes.Contains(rest, []byte("\n\n")) || bytes.Contains(rest, []byte("\n\r\n"))
}

// line appends the next line, with its line ending, to e.buf.
func (e *eventReader) line() error {
	for {
		part, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEvent || !e.count() {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// count counts the memory of the event that is being read, and reports whether there is enough.
func (e *eventReader) count() bool {
	more := cap(e.buf) - max(e.counted, maxUncountedEvent)
	if more <= 0 {
		return true
	}
	if !e.memory.reserveBody(cap(e.buf) - e.counted) {
		return false
	}
	e.counted = cap(e.buf)
	return true
}
