package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

type noObserver struct{}

func (noObserver) Dialled(string, error) {}

// target takes connections and gives each to serve, with its number from 1.
func target(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}},
		Match: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (x *Exchange) text() (string, error) {
	b, err := io.ReadAll(x.Body)
	x.Close()
	return string(b), err
}

// A target sends a second answer to one request. The next request on the connection
// must not be given it, whether it is there before the request goes out or comes
// just before its own answer.
func TestStrayAnswersBelongToNobody(t *testing.T) {
	c := qt.New(t)
	addr := target(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if id == "2" {
				fmt.Fprint(conn, answer("1", "stray"))
			}
			fmt.Fprint(conn, answer(id, "mine "+id))
		}
	})
	p := NewPool(noObserver{})
	for _, id := range []string{"1", "2", "3"} {
		x, err := p.Do(context.Background(), addr, get(id))
		c.Assert(err, qt.IsNil)
		body, err := x.text()
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "mine "+id)
	}
}

// How an answer ends decides whether it is whole, and whether its connection may
// carry another request.
func TestEndsOfAnswers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		write string
		reset bool
		whole bool
		kept  bool
	}{
		{"by its length", answer("1", "abc"), false, true, true},
		{"short of its length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc", false, false, false},
		{"with the last chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, true, true},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false, false},
		{"with the connection", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nabc", false, true, false},
		{"with a reset", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nabc", true, false, false},
		{"followed by stray bytes", answer("1", "abc") + "HTTP/1.1 200 OK\r\n", false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			connections := make(chan int, 2)
			addr := target(t, func(n int, conn net.Conn, r *bufio.Reader) {
				connections <- n
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprint(conn, tt.write)
				if tt.kept {
					if _, err := http.ReadRequest(r); err == nil {
						fmt.Fprint(conn, answer("2", "again"))
					}
					return
				}
				if tt.reset {
					// The answer has to have arrived before the reset discards it.
					_, _ = r.ReadByte()
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			p := NewPool(noObserver{})
			req := get("1")
			x, err := p.Do(context.Background(), addr, req)
			c.Assert(err, qt.IsNil)
			if tt.reset {
				_, err = x.conn.Write([]byte("x"))
				c.Assert(err, qt.IsNil)
			}
			_, err = x.text()
			c.Assert(err == nil, qt.Equals, tt.whole)
			c.Assert(len(p.kept[addr]) == 1, qt.Equals, tt.kept)
			if !tt.kept {
				return
			}
			x, err = p.Do(context.Background(), addr, get("2"))
			c.Assert(err, qt.IsNil)
			_, err = x.text()
			c.Assert(err, qt.IsNil)
			c.Assert(<-connections, qt.Equals, 1)
		})
	}
}

// A target answers before it has read a long body and keeps the connection. The
// rest of that body is still due there; another request must not go in its place.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	c := qt.New(t)
	requests := make(chan string, 4)
	addr := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		requests <- req.Header.Get("Id")
		fmt.Fprint(conn, answer(req.Header.Get("Id"), "early"))
		if req.ContentLength > 0 {
			// Never read on: whatever comes is the body, as far as it is concerned.
			_, _ = io.CopyN(io.Discard, r, 1)
			next := make([]byte, 1)
			_, _ = conn.Read(next)
		}
	})
	p := NewPool(noObserver{})
	long := get("1")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("x", 64<<20))
	x, err := p.Do(context.Background(), addr, long)
	c.Assert(err, qt.IsNil)
	body, err := x.text()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "early")
	x, err = p.Do(context.Background(), addr, get("2"))
	c.Assert(err, qt.IsNil)
	_, err = x.text()
	c.Assert(err, qt.IsNil)
	c.Assert(<-requests, qt.Equals, "1")
	c.Assert(<-requests, qt.Equals, "2")
}

// Whether a request may have run: a refused connection proves that it has not.
func TestErrorsTellWhetherTheRequestWasSent(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	p := NewPool(noObserver{})
	_, err = p.Do(context.Background(), closed, get("1"))
	c.Assert(errors.Is(err, ErrNotSent), qt.IsTrue)

	lost := target(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = p.Do(context.Background(), lost, get("1"))
	c.Assert(errors.Is(err, ErrLost), qt.IsTrue)
}

// A header's value must not begin another header or another request.
func TestValuesCannotBeginARequest(t *testing.T) {
	c := qt.New(t)
	head := string(encodeHead(&Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"x\r\n\r\nGET /smuggled HTTP/1.1"}}}))
	c.Assert(strings.Contains(head, "\r\nGET "), qt.IsFalse)
}

// TestKeptConnectionsAreBounded guards against entries that together keep more idle connections
// to a target than it accepts.
func TestKeptConnectionsAreBounded(t *testing.T) {
	const most, atOnce = 2, 6
	c := qt.New(t)
	addr := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(conn, answer(req.Header.Get("Id"), "whole"))
		}
	})
	p := NewPool(noObserver{})
	var open []*Exchange
	for i := range atOnce {
		req := get(fmt.Sprint(i))
		req.MaxIdle = most
		x, err := p.Do(context.Background(), addr, req)
		c.Assert(err, qt.IsNil)
		open = append(open, x)
	}
	for _, x := range open {
		_, err := x.text()
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.kept[addr], qt.HasLen, most)
}
