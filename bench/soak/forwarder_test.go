package main

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo starts a server that sends back everything it receives, and returns its address.
func echo(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.TB.(*testing.T).Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); conn.Close() }()
		}
	}()
	return ln.Addr().String()
}

// TestForwarderModes checks that a forwarder passes data in both directions, that a
// connection from which data was dropped receives nothing more after the mode changes back,
// since bytes are missing from it, and that a reset ends a connection.
func TestForwarderModes(t *testing.T) {
	c := qt.New(t)
	f, err := newForwarder("127.0.0.1:0", echo(c))
	c.Assert(err, qt.IsNil)
	t.Cleanup(f.close)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.ln.Addr().String())
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	exchange := func(conn net.Conn) (string, error) {
		_, err := conn.Write([]byte("a\n"))
		c.Assert(err, qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		return bufio.NewReader(conn).ReadString('\n')
	}
	conn := dial()
	got, err := exchange(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "a\n")
	f.set(modeOneWay, 0)
	_, err = exchange(conn)
	c.Assert(err, qt.IsNotNil)
	f.set(modePass, 0)
	_, err = exchange(conn)
	c.Assert(err, qt.IsNotNil)
	fresh := dial()
	_, err = exchange(fresh)
	c.Assert(err, qt.IsNil)
	f.reset()
	_ = fresh.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = fresh.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}
