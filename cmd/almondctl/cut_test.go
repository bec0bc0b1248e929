package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"almondseam.dev/node/control/opapi"
	qt "github.com/frankban/quicktest"
)

// answerOnce returns the address of a member that answers one request with raw and ends.
func answerOnce(t *testing.T, raw string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, raw)
		}
		_ = ln.Close()
		_ = conn.Close()
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

// TestCutAnswerOfAMemberIsNoAnswer guards against a list or a change that is shown although the member's answer was
// cut.
func TestCutAnswerOfAMemberIsNoAnswer(t *testing.T) {
	const body = `[{"id":1,"address":"m"}]`
	for framing, head := range map[string]string{
		"neither": "HTTP/1.1 200 OK\r\n\r\n",
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)),
	} {
		t.Run(framing, func(t *testing.T) {
			for n := range len(body) + 1 {
				c := &cli{servers: []string{answerOnce(t, head+body[:n])}, timeout: time.Minute}
				var members []opapi.Member
				err := c.call(http.MethodGet, opapi.PathMembers, nil, nil, &members)
				qt.Assert(t, err == nil, qt.Equals, n == len(body), qt.Commentf("%q: %v", body[:n], err))
			}
		})
	}
}

// TestCutAnswerToAChange guards against reporting a change as made although the member's answer to it was cut before
// the end of its length.
func TestCutAnswerToAChange(t *testing.T) {
	c := &cli{servers: []string{answerOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"change\":")}, timeout: time.Minute}
	err := c.call(http.MethodPost, opapi.PathMembers, nil, opapi.MemberChange{}, nil)
	qt.Assert(t, err, qt.IsNotNil)
}

// TestAnswerCutUnderALongChange guards against reporting a change as made although the member has answered before it
// has read the change, and has reset the connection.
func TestAnswerCutUnderALongChange(t *testing.T) {
	const smallWindow, longChange = 16 << 10, 16 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(smallWindow) // the connection is open
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"change\":")
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}()
	c := &cli{servers: []string{ln.Addr().String()}, timeout: time.Minute}
	err = c.call(http.MethodPost, opapi.PathConfig, nil, make([]byte, longChange), nil)
	qt.Assert(t, err, qt.IsNotNil)
}
