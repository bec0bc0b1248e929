package main

import (
	"bufio"
	"fmt"
	"net"

	"almondseam.dev/node/fieldline"
	"almondseam.dev/node/statusline"
	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the interim responses to one request.
const maxInterimResponses = 100

// checkedConn is a connection on which the first final response must have a valid status line and valid field names:
// fasthttp returns the status 200 for 000, and takes names with blanks. It leaves out interim responses, behind which
// fasthttp would read the final one's head.
type checkedConn struct {
	net.Conn
	r       *bufio.Reader
	checked bool
}

// dialChecked connects to a server.
func dialChecked(addr string) (net.Conn, error) {
	conn, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	if !c.checked {
		if err := c.awaitFinal(); err != nil {
			return 0, err
		}
		c.checked = true
	}
	return c.r.Read(b)
}

// awaitFinal skips interim responses until the head of the final response has arrived.
func (c *checkedConn) awaitFinal() error {
	for range maxInterimResponses {
		status, err := statusline.Peek(c.r)
		if err != nil {
			return err
		}
		if err := fieldline.PeekHead(c.r); err != nil || statusline.IsFinal(status) {
			return err
		}
		if err := c.skipInterim(status); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: too many interim responses", statusline.ErrInvalid)
}

// skipInterim reads an interim response, which has no body.
func (c *checkedConn) skipInterim(status int) error {
	var head fasthttp.ResponseHeader
	if err := head.Read(c.r); err != nil {
		return err
	}
	const chunked = -1 // a lower length stands for none
	if n := head.ContentLength(); n > 0 || n == chunked {
		return fmt.Errorf("%w: an interim response, status %d, announces a body", statusline.ErrInvalid, status)
	}
	return nil
}
