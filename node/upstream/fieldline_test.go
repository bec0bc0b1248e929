package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"almondseam.dev/node/fieldline"
	qt "github.com/frankban/quicktest"
)

// badFieldLines are lines of a head of which no one has a valid field name.
var badFieldLines = []string{
	"X Bad: v", "X-Bad : v", "X-Bad\t: v", "X\tBad: v", " : v", "\t: v", ": v", " X-Bad: v", "\tX-Bad: v", " ", "X-Bad",
	"X\x00Bad: v", "X\x07Bad: v", "X\x1bBad: v", "X\x7fBad: v", "X\x0bBad: v", "X\rBad: v", "X-B\xe4d: v",
	"Content-Length : 2", "Content-Length\t: 2", " Content-Length: 2", "Transfer-Encoding : chunked", "Id : 1", "Connection : close",
}

// headsWith are responses to the request with the ID 1, with a line between, before or after their own ones. What
// follows the line frames a body that a reader who leaves it out, or takes its name without blanks, finds whole.
func headsWith(line string) map[string]string {
	const own, chunks = "3\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"first":                                       "HTTP/1.1 200 OK\r\n" + line + "\r\nId: 1\r\nContent-Length: 14\r\n\r\n" + own,
		"last":                                        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 14\r\n" + line + "\r\n\r\n" + own,
		"after a long line":                           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 14\r\nX: " + strings.Repeat("x", 2*readBufferSize) + "\r\n" + line + "\r\n\r\n" + own,
		"with chunks":                                 "HTTP/1.1 200 OK\r\nId: 1\r\n" + chunks + line + "\r\n\r\n" + own,
		"without framing":                             "HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\n\r\n" + own,
		"without a body":                              "HTTP/1.1 204 No Content\r\nId: 1\r\n" + line + "\r\n\r\n",
		"of a refusal":                                "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n" + line + "\r\n\r\n",
		"line feeds alone":                            "HTTP/1.1 200 OK\nId: 1\nContent-Length: 14\n" + line + "\n\n" + own,
		"of an interim response":                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n\r\n" + response("1", "own"),
		"after an interim response":                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 14\r\n" + line + "\r\n\r\n" + own,
		"of a response to another request":            "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 14\r\n" + line + "\r\n\r\n" + own + response("1", "own"),
		"after a response to another request":         response("9", "stray") + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 14\r\n" + line + "\r\n\r\n" + own,
		"after chunks of a response to another":       "HTTP/1.1 200 OK\r\nId: 9\r\n" + chunks + "\r\n" + own + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 14\r\n" + line + "\r\n\r\n" + own,
		"of a trailer of a response to another":       "HTTP/1.1 200 OK\r\nId: 9\r\n" + chunks + "\r\n3\r\nabc\r\n0\r\n" + line + "\r\n\r\n" + response("1", "own"),
		"later in a trailer of a response to another": "HTTP/1.1 200 OK\r\nId: 9\r\n" + chunks + "\r\n3\r\nabc\r\n0\r\nA: b\r\n" + line + "\r\n\r\n" + response("1", "own"),
	}
}

// TestHeadsWithBadFieldLinesAreNoResponse guards against a head with a field line that has no valid name and is taken
// for a response: the line or a body that the target has not sent would reach a caller.
func TestHeadsWithBadFieldLinesAreNoResponse(t *testing.T) {
	for _, line := range badFieldLines {
		for name, text := range headsWith(line) {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) {
				t.Parallel()
				assertNoResponse(t, text, len(text))
			})
		}
		t.Run(fmt.Sprintf("%q/byte by byte", line), func(t *testing.T) {
			t.Parallel()
			assertNoResponse(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+line+"\r\n\r\n", 1)
		})
	}
}

// TestTrailersWithBadFieldLinesEndNoResponse guards against a chunked body that counts as complete although what
// follows its last chunk is no trailer section.
func TestTrailersWithBadFieldLinesEndNoResponse(t *testing.T) {
	for _, line := range badFieldLines {
		for _, before := range []string{"", "A: b\r\n"} {
			t.Run(fmt.Sprintf("%q/after %q", line, before), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				text := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + before + line + "\r\n\r\n"
				addr, closed := respondOnce(t, text, len(text))
				p := NewPool(noObserver{})
				x, err := p.Do(t.Context(), addr, newGetRequest("1"))
				c.Assert(err, qt.IsNil)
				body, err := x.readAndClose()
				c.Assert(err, qt.ErrorIs, fieldline.ErrInvalid)
				c.Assert(body, qt.Equals, "abc")
				c.Assert(p.countIdle(addr), qt.Equals, 0)
				<-closed
			})
		}
	}
}

// TestSoundFieldLinesAreTaken guards against a response that is refused because its field lines are rare, many or long,
// because it has trailers, or because of bytes that are no part of its head.
func TestSoundFieldLinesAreTaken(t *testing.T) {
	const length, chunks = "Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	for _, tt := range []struct{ name, text, body string }{
		{"every byte of a name", "!#$%&'*+-.^_`|~09azAZ: v\r\n" + length, "abc"},
		{"an empty value", "X:\r\nY: \r\n" + length, "abc"},
		{"blanks and colons in a value", "X: \t a : b \t \r\n" + length, "abc"},
		{"many lines", strings.Repeat("X: v\r\n", 1000) + length, "abc"},
		{"a long line", "X: " + strings.Repeat("x", 3*readBufferSize) + "\r\n" + length, "abc"},
		{"a trailer", chunks + "X: v\r\nY: w\r\n\r\n", "abc"},
		{"no trailer", chunks + "\r\n", "abc"},
		{"a body like bad lines", "Content-Length: 12\r\n\r\n : v\r\nX Y\r\n\r\n", " : v\r\nX Y\r\n\r\n"[:12]},
	} {
		for _, piece := range []int{7, 1 << 20} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", response("9", " : v\r\n\r\n")} {
				t.Run(fmt.Sprintf("%s/%d/after %d bytes", tt.name, piece, len(before)), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					addr, _ := respondOnce(t, before+"HTTP/1.1 200 O : K\r\nId: 1\r\n"+tt.text, piece)
					x, err := NewPool(noObserver{}).Do(t.Context(), addr, newGetRequest("1"))
					c.Assert(err, qt.IsNil)
					body, err := x.readAndClose()
					c.Assert(err, qt.IsNil)
					c.Assert(body, qt.Equals, tt.body)
				})
			}
		}
	}
}

// TestSkippedBodyIsNoPartOfTheHead guards against a sound response that is lost because the body of a response to another
// request counts to the limit of its head.
func TestSkippedBodyIsNoPartOfTheHead(t *testing.T) {
	c := qt.New(t)
	text := response("9", strings.Repeat("x", 2*maxHead)) + response("1", "own")
	addr, _ := respondOnce(t, text, len(text))
	x, err := NewPool(noObserver{}).Do(t.Context(), addr, newGetRequest("1"))
	c.Assert(err, qt.IsNil)
	body, err := x.readAndClose()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "own")
}

// TestConnectionIsKeptAfterATrailer guards against a connection that is closed, or used again with bytes of the response
// before, because of a trailer.
func TestConnectionIsKeptAfterATrailer(t *testing.T) {
	c := qt.New(t)
	addr := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		c.Check(n, qt.Equals, 1)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: v\r\n\r\n")
		}
	})
	p := NewPool(noObserver{})
	for _, id := range []string{"1", "2", "3"} {
		x, err := p.Do(t.Context(), addr, newGetRequest(id))
		c.Assert(err, qt.IsNil)
		body, err := x.readAndClose()
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "abc")
	}
	c.Assert(p.countIdle(addr), qt.Equals, 1)
}
