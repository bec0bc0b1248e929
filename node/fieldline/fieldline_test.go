package fieldline

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// invalidLines have no valid field name. Each follows a valid line.
var invalidLines = []string{
	"X Bad: v", "X-Bad : v", "X-Bad\t: v", "X\tBad: v", " X-Bad: v", "\tX-Bad: v", " : v", ": v", "\t: v", " ", "\t", " v",
	"X\x00Bad: v", "X\x07Bad: v", "X\x1bBad: v", "X\x7fBad: v", "X\x0bBad: v", "X\rBad: v", "\rX-Bad: v", "X-Bad\r: v", "\r", "X-B\xe4d: v",
	"X-Bad", "X-Bad v", "\"X\": v", "X(Bad): v", "X@Bad: v", "\x00",
	"Content-Length : 2", "Content-Length\t: 2", "Transfer-Encoding : chunked",
}

// validLines are each a whole field section.
var validLines = []string{
	"\r\n", "\n", "A: b\r\n\r\n", "A: b\n\n", "A:b\r\nC:\r\n\r\n", "A: \t b : c \r\n\r\n", "!#$%&'*+-.^_`|~09azAZ: v\r\n\r\n", "A: b\rc\r\n\r\n",
}

// TestEveryByteOfAName guards against a byte that is taken or refused in a field name against the protocol's grammar.
func TestEveryByteOfAName(t *testing.T) {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		want := strings.IndexByte(tokenBytes, byte(b)) >= 0
		for _, name := range []string{string([]byte{byte(b)}), string([]byte{'X', byte(b)}), string([]byte{'X', byte(b), 'Y'})} {
			qt.Check(t, CheckName(name) == nil, qt.Equals, want, qt.Commentf("%q", name))
			if b == ':' || b == '\n' {
				continue // these end a name, or a line
			}
			var s Scanner
			valid := s.Scan([]byte(name+": v\r\n\r\n")) == nil
			qt.Check(t, valid, qt.Equals, want, qt.Commentf("%q", name))
			qt.Check(t, s.Done(), qt.Equals, valid)
		}
	}
	qt.Assert(t, CheckName(""), qt.ErrorIs, ErrInvalid)
}

// TestHeadsAreCheckedToTheirEnd guards against a head of which only the part that has arrived is checked, and against
// checking what follows its end.
func TestHeadsAreCheckedToTheirEnd(t *testing.T) {
	const status, rest = "HTTP/1.1 200 O : K\r\n", " : \x00 \r\n"
	for _, lines := range validLines {
		text := status + lines + rest
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			r := bufio.NewReader(from)
			qt.Check(t, PeekHead(r), qt.IsNil, qt.Commentf("%q", lines))
			all, err := io.ReadAll(r)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(all), qt.Equals, text)
		}
	}
	for _, line := range invalidLines {
		for _, before := range []string{"", "A: b\r\n", "A: b\n"} {
			r := bufio.NewReader(strings.NewReader(status + before + line + "\r\n\r\n" + rest))
			qt.Check(t, PeekHead(r), qt.ErrorIs, ErrInvalid, qt.Commentf("%q after %q", line, before))
		}
	}
}

// TestNothingIsAwaitedAfterAnInvalidByte guards against a wait for the rest of a head that cannot become valid.
func TestNothingIsAwaitedAfterAnInvalidByte(t *testing.T) {
	r := bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nX "), iotest.ErrReader(io.ErrClosedPipe)))
	qt.Assert(t, PeekHead(r), qt.ErrorIs, ErrInvalid)
}

// TestHeadLongerThanTheBuffer guards against a head that is checked in part only.
func TestHeadLongerThanTheBuffer(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 64)+"\r\nX : v\r\n\r\n"), 64)
	qt.Assert(t, PeekHead(r), qt.Equals, bufio.ErrBufferFull)
}

// TestInvalidTrailersEndNoBody guards against a chunked body that counts as complete although what follows its last
// chunk is no trailer section, and against reading beyond its end.
func TestInvalidTrailersEndNoBody(t *testing.T) {
	const chunks, next = "3\r\nabc\r\n0\r\n", "HTTP/1.1 200 OK\r\n"
	read := func(trailer string) (body, rest string, err error) {
		r := bufio.NewReader(strings.NewReader(chunks + trailer + next))
		b, err := io.ReadAll(NewChunkedReader(r))
		left, _ := io.ReadAll(r)
		return string(b), string(left), err
	}
	for _, lines := range validLines {
		body, rest, err := read(lines)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%q", lines))
		qt.Check(t, body, qt.Equals, "abc")
		qt.Check(t, rest, qt.Equals, next, qt.Commentf("%q", lines))
	}
	for _, line := range invalidLines {
		for _, before := range []string{"", "A: b\r\n"} {
			_, _, err := read(before + line + "\r\n\r\n")
			qt.Check(t, err, qt.ErrorIs, ErrInvalid, qt.Commentf("%q after %q", line, before))
		}
	}
	_, _, err := read("A: " + strings.Repeat("x", maxTrailer) + "\r\n\r\n")
	qt.Assert(t, err, qt.Equals, ErrTrailerTooLong)
}

// TestCutChunksEndNoBody guards against a chunked body that counts as complete before its last byte, the line feed
// after the trailer section.
func TestCutChunksEndNoBody(t *testing.T) {
	const whole = "3\r\nabc\r\n0\r\nA: b\r\n\r\n"
	for n := range len(whole) {
		c := NewChunkedReader(bufio.NewReader(strings.NewReader(whole[:n])))
		_, err := io.ReadAll(c)
		qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF, qt.Commentf("%q", whole[:n]))
		_, again := c.Read(make([]byte, 1))
		qt.Check(t, again, qt.Equals, err)
	}
}

// FuzzScanner checks that a head that is taken has the fields that net/http reads from it, with valid names.
func FuzzScanner(f *testing.F) {
	for _, line := range append(append([]string{}, invalidLines...), validLines...) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, lines string) {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n\r\n", lines)
		if PeekHead(bufio.NewReaderSize(strings.NewReader(text), len(text)+16)) != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return // for another reason
		}
		for name := range resp.Header {
			qt.Check(t, CheckName(name), qt.IsNil, qt.Commentf("%q in %q", name, text))
		}
	})
}
