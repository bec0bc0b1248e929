package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one event of a stream, in the bytes that the target wrote.
type event struct {
	raw []byte
	// id is the value of the event's id field, empty if it has none.
	id []byte
}

// maxEvent is the maximum size of one event in bytes.
const maxEvent = 1 << 20

var errEventTooLarge = errors.New("stream event is too large")

// errTruncatedEvent reports a stream that ended in the middle of an event.
var errTruncatedEvent = errors.New("stream ended in the middle of an event")

// eventReader splits a stream into complete events. It never returns an incomplete event,
// because the stream may be continued from another target after the last event returned.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next complete event, or io.EOF at the end of the stream. The event is valid
// until the next call.
func (e *eventReader) next() (event, error) {
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
		if len(e.buf) > maxEvent {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
