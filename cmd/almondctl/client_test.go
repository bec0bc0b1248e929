package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startServer starts a server that answers each request with text, and returns its address.
func startServer(t *testing.T, text string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, text)
			}()
		}
	}()
	return ln.Addr().String()
}

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + `{"reason":"r"}`

// assertNoAnswer checks that a server which sends text counts as unavailable, and that the next one is asked.
func assertNoAnswer(t *testing.T, text string) {
	t.Helper()
	c := qt.New(t)
	bad := startServer(t, text)
	command := cli{servers: []string{bad}, timeout: 10 * time.Second}
	err := command.call(http.MethodGet, "/", nil, nil, nil)
	var coded *exitError
	c.Assert(errors.As(err, &coded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(coded.code, qt.Equals, exitUnavailable)
	command.servers = []string{bad, startServer(t, soundAnswer)}
	var answer struct{ Reason string }
	c.Assert(command.call(http.MethodGet, "/", nil, nil, &answer), qt.IsNil)
	c.Assert(answer.Reason, qt.Equals, "r")
}

// TestBadStatusLineIsNoAnswer guards against a command that reports success, or a refusal, although a server's status
// line is no final answer. The next server is asked.
func TestBadStatusLineIsNoAnswer(t *testing.T) {
	const rest = "\r\nContent-Length: 14\r\n\r\n" + `{"reason":"r"}`
	for _, line := range []string{"HTTP/1.1 000 Nothing", "HTTP/1.1 001 One", "HTTP/1.1 099 Almost", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Beyond", "HTTP/1.1  200 OK", "HTTP/3.1 200 OK"} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
			t.Run(fmt.Sprintf("%q/after %d bytes", line, len(interim)), func(t *testing.T) {
				assertNoAnswer(t, interim+line+rest)
			})
		}
	}
}

// TestHeadsWithBadFieldLinesAreNoAnswer guards against a command that reports success, or a refusal, although a server's
// head has a line without a valid field name.
func TestHeadsWithBadFieldLinesAreNoAnswer(t *testing.T) {
	const begin, rest = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n", "\r\n\r\n" + `{"reason":"r"}`
	for _, line := range []string{"X Bad: v", "X-Bad : v", " : v", "X\tBad: v", "X\x00Bad: v", "X-Bad", "Transfer-Encoding : chunked"} {
		for name, text := range map[string]string{
			"last":                      begin + line + rest,
			"without a length":          "HTTP/1.1 200 OK\r\nX: v\r\n" + line + rest,
			"of a refusal":              "HTTP/1.1 409 Conflict\r\nContent-Length: 14\r\n" + line + rest,
			"of an interim response":    "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + soundAnswer,
			"after an interim response": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + begin + line + rest,
		} {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) { assertNoAnswer(t, text) })
		}
	}
}

// TestInterimResponsesAreSkipped guards against an answer that is lost because of interim responses before it, and
// against one that announces a body.
func TestInterimResponsesAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	var answer struct{ Reason string }
	command := cli{servers: []string{startServer(t, interim+soundAnswer)}, timeout: 10 * time.Second}
	qt.Assert(t, command.call(http.MethodGet, "/", nil, nil, &answer), qt.IsNil)
	qt.Assert(t, answer.Reason, qt.Equals, "r")
	assertNoAnswer(t, fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n%s", len(soundAnswer), soundAnswer))
	assertNoAnswer(t, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)+soundAnswer)
}
