package engine

import (
	"errors"
	"fmt"
	"io"

	"almondseam.dev/node/presence"
	"github.com/valyala/fasthttp"
)

// errEndUnconfirmed reports a response that ended with its connection, while nothing shows that its target did not
// end then too.
var errEndUnconfirmed = errors.New("the response has neither length nor chunks, and its connection has ended")

// lengthChunked is the length that fasthttp returns for chunks. It returns a lower one for neither length nor chunks.
const lengthChunked = -1

// endsWithConnection reports whether nothing but the end of the connection ends the response body.
func endsWithConnection(resp *fasthttp.Response) bool {
	return resp.BodyStream() != nil && resp.Header.ContentLength() < lengthChunked
}

// confirmEnd returns io.EOF if the end of x's connection is the end of its response. The kernel closes the
// connections of a process that ends in the same way as the process itself does at the end of a response.
func (c *Client) confirmEnd(x *exchange) error {
	if !x.endsWithConnection {
		return io.EOF
	}
	if err := presence.Confirm(x.ctx, &c.dialer, c.cfg.Addr); err != nil {
		return fmt.Errorf("%w: %w", errEndUnconfirmed, err)
	}
	return io.EOF
}
