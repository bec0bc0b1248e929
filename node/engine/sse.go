// Package engine is the agent's adapter to a target over HTTP: OpenAI-compatible
// engines with server-sent events, and plain services.
package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrEventTooLong reports an event beyond the reader's bound.
var ErrEventTooLong = errors.New("engine: event too long")

const maxEvent = 1 << 20

// sseReader reads server-sent events (WHATWG HTML, section 9.2) as far as
// engines use them: it gives the data of each event and passes over comments
// and other fields.
type sseReader struct {
	r    *bufio.Reader
	data []byte
}

// next gives the data of the next event, valid until the following call. An
// event that the stream's end cuts off is not given: io.ErrUnexpectedEOF.
func (s *sseReader) next() ([]byte, error) {
	s.data = s.data[:0]
	some := false
	for {
		line, err := s.line()
		if err != nil {
			if err == io.EOF && some {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if some {
				return s.data, nil
			}
			continue
		}
		v, ok := dataField(line)
		if !ok {
			continue
		}
		if some {
			s.data = append(s.data, '\n')
		}
		some = true
		s.data = append(s.data, v...)
		if len(s.data) > maxEvent {
			return nil, ErrEventTooLong
		}
	}
}

// line reads one line without its end. A line that the stream's end cuts off is
// io.EOF: it may be half a line.
func (s *sseReader) line() ([]byte, error) {
	line, err := s.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = s.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

func (s *sseReader) longLine(start []byte) ([]byte, error) {
	long := append([]byte(nil), start...)
	for len(long) <= maxEvent {
		part, err := s.r.ReadSlice('\n')
		long = append(long, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		return long, err
	}
	return nil, ErrEventTooLong
}

func dataField(line []byte) ([]byte, bool) {
	v, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(v, []byte{' '}), true
}
