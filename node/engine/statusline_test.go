package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// badStatusLines are lines that begin no final and no interim response.
var badStatusLines = []string{
	"HTTP/1.1 000 Nothing", "HTTP/1.1 000", "HTTP/1.0 000 Nothing", "HTTP/1.1 001 One", "HTTP/1.1 099 Almost",
	"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Beyond", "HTTP/1.1 999 Beyond", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1 -20 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1  200 OK", "\r\nHTTP/1.1 200 OK",
	"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.1 200 OK", "HTTP/1.2 200 OK",
}

// badStatusTails are what may follow a bad status line. The connection stays open after each.
var badStatusTails = []struct{ name, text string }{
	{"no body", "\r\n\r\n"},
	{"a body", "\r\nContent-Length: 2\r\n\r\n{}"},
	{"a body without length", "\r\n\r\n{}"},
	{"a second head", "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
	{"a backoff", "\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"},
}

// sends are the ways in which an agent sends a request to its target.
var sends = map[string]func(ctx context.Context, cl *Client) result{
	"generation": func(ctx context.Context, cl *Client) result { return collect(cl.Generate(ctx, generateWork)) },
	"call":       func(ctx context.Context, cl *Client) result { return collect(cl.Call(ctx, getWork)) },
	"load report": func(ctx context.Context, cl *Client) result {
		_, err := cl.Load(ctx)
		if err == nil {
			return result{outcome: completed}
		}
		e := api.AsError(err)
		return result{outcome: e.Outcome, reason: e.Reason, detail: e.Err.Error()}
	},
}

// assertNoStatusLine checks that what the engine sends is no response for want of a status line.
func assertNoStatusLine(t *testing.T, text string) {
	t.Helper()
	assertNoAnswer(t, text, "no valid status line")
}

// assertNoAnswer checks that what the engine sends is no response to any kind of request, for the given reason: the
// outcome is unknown before the request's time is over, and the connection is closed.
func assertNoAnswer(t *testing.T, text, reason string) {
	t.Helper()
	const patience, pause = 5 * time.Second, time.Second
	for name, send := range sends {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newStallingEngine(t, text)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			cl := New(Config{Addr: e.addr, HeaderTimeout: patience, ReadTimeout: pause})
			got := send(ctx, cl)
			c.Check(got.outcome, qt.Equals, unknown)
			c.Check(got.reason, qt.Equals, api.ReasonEngineDied)
			c.Check(strings.Contains(got.detail, reason), qt.IsTrue, qt.Commentf("%s", got.detail))
			c.Check(cl.Backoff(), qt.Equals, time.Duration(0))
			c.Assert(ctx.Err(), qt.IsNil)
			<-e.clientClosed
		})
	}
}

// TestBadStatusLinesAreNoAnswer guards against a status line that is no final answer and is reported as the answer of
// a call, as a generation that has not run, or not before the request's time is over.
func TestBadStatusLinesAreNoAnswer(t *testing.T) {
	for _, line := range badStatusLines {
		for _, tail := range badStatusTails {
			t.Run(fmt.Sprintf("%q/%s", line, tail.name), func(t *testing.T) {
				t.Parallel()
				assertNoStatusLine(t, line+tail.text)
			})
		}
		t.Run(fmt.Sprintf("%q/after an interim response", line), func(t *testing.T) {
			t.Parallel()
			assertNoStatusLine(t, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+line+"\r\n\r\n")
		})
	}
}

// TestUnfinishedStatusLineIsNoAnswer guards against an engine that begins a status line and sends nothing more.
func TestUnfinishedStatusLineIsNoAnswer(t *testing.T) {
	for _, text := range []string{"H", "HTTP/1.1", "HTTP/1.1 2", "HTTP/1.1 200"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			t.Parallel()
			assertNoStatusLine(t, text)
		})
	}
}

// TestInterimResponsesWithABodyAreNoAnswer guards against the body of an interim response, which has none, that is
// taken for an answer or awaited.
func TestInterimResponsesWithABodyAreNoAnswer(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, text := range map[string]string{
		"a body":                fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(own), own),
		"a length alone":        "\r\nContent-Length: 3\r\n\r\n",
		"a body without length": "\r\n\r\nabc",
		"chunks":                "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"chunks alone":          "\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, line := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 199 Last"} {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) {
				t.Parallel()
				assertNoStatusLine(t, line+text)
			})
		}
	}
}

// TestInterimResponsesWithoutEndAreNoAnswer guards against an engine that sends interim responses until the request's
// time is over.
func TestInterimResponsesWithoutEndAreNoAnswer(t *testing.T) {
	c := qt.New(t)
	e := newEngine(t, func(e *fakeEngine, conn net.Conn, br *bufio.Reader) {
		e.readRequest(br)
		for {
			if _, err := io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
				return
			}
		}
	})
	got := collect(e.client().Call(t.Context(), getWork))
	c.Assert(got.outcome, qt.Equals, unknown)
	c.Assert(got.reason, qt.Equals, api.ReasonEngineDied)
}

// TestSoundStatusLinesAreAnswers guards against an answer that is lost because its status is rare, or because its
// status line has no reason phrase or arrives in pieces.
func TestSoundStatusLinesAreAnswers(t *testing.T) {
	const rest = "\r\nContent-Length: 3\r\n\r\nabc"
	for _, tt := range []struct {
		name, text string
		status     int
	}{
		{"200", "HTTP/1.1 200 OK" + rest, 200},
		{"no reason phrase", "HTTP/1.1 200" + rest, 200},
		{"an empty reason phrase", "HTTP/1.1 200 " + rest, 200},
		{"HTTP/1.0", "HTTP/1.0 200 OK" + rest, 200},
		{"rare success", "HTTP/1.1 299 Fine" + rest, 299},
		{"redirection", "HTTP/1.1 302 Found" + rest, 302},
		{"last", "HTTP/1.1 599 Last" + rest, 599},
		{"after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 Last\r\nContent-Length: 0\r\n\r\nHTTP/1.1 201 Created" + rest, 201},
	} {
		for _, piece := range []int{1, 5, 1 << 20} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, piece), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				e := newEngine(t, func(e *fakeEngine, conn net.Conn, br *bufio.Reader) {
					e.readRequest(br)
					for rest := tt.text; rest != ""; {
						n := min(piece, len(rest))
						if _, err := io.WriteString(conn, rest[:n]); err != nil {
							return
						}
						rest = rest[n:]
						time.Sleep(time.Millisecond)
					}
				})
				answer, err := e.client().Call(t.Context(), getWork)
				c.Assert(err, qt.IsNil)
				status, _ := answer.Head()
				c.Assert(status, qt.Equals, tt.status)
				c.Assert(collect(answer, nil), qt.Equals, result{"abc", completed, "", ""})
			})
		}
	}
}

// TestOnlyAnErrorStatusProvesThatNothingRan guards against a generation that is sent elsewhere as not run although its
// engine has answered with a success or a redirection, or works on behind a gateway that has lost it.
func TestOnlyAnErrorStatusProvesThatNothingRan(t *testing.T) {
	for status, want := range map[int]result{
		201: {"", unknown, api.ReasonEngineRefused, "engine answered with status 201"},
		202: {"", unknown, api.ReasonEngineRefused, "engine answered with status 202"},
		204: {"", unknown, api.ReasonEngineRefused, "engine answered with status 204"},
		302: {"", unknown, api.ReasonEngineRefused, "engine answered with status 302"},
		400: {"", notRun, api.ReasonBadRequest, "engine answered with status 400"},
		500: {"", notRun, api.ReasonEngineRefused, "engine answered with status 500"},
		502: {"", unknown, api.ReasonEngineRefused, "engine answered with status 502"},
		503: {"", notRun, api.ReasonEngineRefused, "engine answered with status 503"},
		504: {"", unknown, api.ReasonEngineRefused, "engine answered with status 504"},
		599: {"", notRun, api.ReasonEngineRefused, "engine answered with status 599"},
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			e := newRespondingEngine(t, fmt.Sprintf("HTTP/1.1 %d Any\r\nConnection: close\r\n\r\n", status))
			qt.Assert(t, collect(e.client().Generate(t.Context(), generateWork)), qt.Equals, want)
		})
	}
}
