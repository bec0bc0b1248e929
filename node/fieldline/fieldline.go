// Package fieldline checks the field lines of HTTP/1.1 messages, in heads and trailers (RFC 9112, sections 5 and 7.1.2).
//
// HTTP libraries accept whitespace in and after field names, and lines that begin with whitespace, and differ in how they
// interpret them: one that ignores "Content-Length " delimits the body differently from one that trims the name.
package fieldline

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// ErrInvalid reports a field line without a valid name.
var ErrInvalid = errors.New("no valid field line")

// part is a part of a line.
type part uint8

const (
	// lineStart is the first byte of a line.
	lineStart part = iota
	inName
	inValue
	// inStartLine is the line before the field lines of a head.
	inStartLine
	// lineFeed is the last byte of the empty line, after a carriage return.
	lineFeed
	ended
)

// Scanner checks field lines, byte by byte, up to the empty line that ends them. The zero value expects a field line
// next. It is not safe for concurrent use.
type Scanner struct{ at part }

// NewHeadScanner returns a scanner that expects a status line, which it does not check, before the field lines.
func NewHeadScanner() Scanner { return Scanner{at: inStartLine} }

// Done reports whether the empty line that ends the field lines has been scanned.
func (s *Scanner) Done() bool { return s.at == ended }

// Scan checks the next bytes, up to the end of the field lines. It returns an error that wraps ErrInvalid at the first
// byte that cannot stand in a field line.
func (s *Scanner) Scan(b []byte) error {
	for len(b) > 0 && s.at != ended {
		if s.at == inValue || s.at == inStartLine {
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				return nil
			}
			s.at, b = lineStart, b[end+1:]
			continue
		}
		if err := s.next(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

// next checks the next byte of the empty line, or of a line up to its colon.
func (s *Scanner) next(c byte) error {
	switch {
	case s.at != inName && c == '\n':
		s.at = ended
	case s.at == lineStart && c == '\r':
		s.at = lineFeed
	case s.at == inName && c == ':':
		s.at = inValue
	case s.at != lineFeed && isTokenByte(c):
		s.at = inName
	default:
		return fmt.Errorf("%w: byte %#02x where a field's name is due", ErrInvalid, c)
	}
	return nil
}

// CheckName returns an error that wraps ErrInvalid unless name is a valid field name.
func CheckName(name string) error {
	valid := name != ""
	for i := range len(name) {
		valid = valid && isTokenByte(name[i])
	}
	if !valid {
		return fmt.Errorf("%w: name %.40q", ErrInvalid, name)
	}
	return nil
}

// isTokenByte reports whether c may stand in a token (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// PeekHead checks the field lines of the head that begins with the next byte of r, and consumes nothing. It waits for
// the end of the head, and returns an error that wraps ErrInvalid at the first byte that cannot stand in a field line.
// A head that is longer than r's buffer leads to bufio.ErrBufferFull.
func PeekHead(r *bufio.Reader) error {
	scanner := NewHeadScanner()
	for scanned := 0; !scanner.Done(); scanned = r.Buffered() {
		if _, err := r.Peek(scanned + 1); err != nil {
			return err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if err := scanner.Scan(b[scanned:]); err != nil {
			return err
		}
	}
	return nil
}
