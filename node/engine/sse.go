// Package engine connects an agent to its target over HTTP: to an
// OpenAI-compatible engine that streams server-sent events, or to a plain service.
package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrEventTooLong reports an event or a line that exceeds the reader's limit.
var ErrEventTooLong = errors.New("engine: event too long")

const maxEventBytes = 1 << 20

// sseReader reads server-sent events (WHATWG HTML, section 9.2) to the extent that
// engines use them: it returns the data of each event and skips comments and other
// fields.
type sseReader struct {
	r    *bufio.Reader
	data []byte
}

// next returns the data of the next event, which is valid until the following
// call. At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if it
// has read complete data lines of an event without the blank line that ends it.
func (s *sseReader) next() ([]byte, error) {
	s.data = s.data[:0]
	hasData := false
	for {
		line, err := s.line()
		if err != nil {
			if err == io.EOF && hasData {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return s.data, nil
			}
			continue
		}
		v, ok := dataField(line)
		if !ok {
			continue
		}
		if hasData {
			s.data = append(s.data, '\n')
		}
		hasData = true
		s.data = append(s.data, v...)
		if len(s.data) > maxEventBytes {
			return nil, ErrEventTooLong
		}
	}
}

// line returns the next line without its line ending. For a line that is cut
// off by the end of the stream it returns io.EOF, since the line may be
// incomplete.
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
	for len(long) <= maxEventBytes {
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
