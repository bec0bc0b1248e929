package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondseam.dev/node/fieldline"
	"almondseam.dev/node/statusline"
	"github.com/valyala/fasthttp"
)

const (
	// maxStatusLineTime is the longest time from the first byte of a response to the end of its status.
	// statusLineDivisor bounds it to this fraction, 1/statusLineDivisor, of the time that the request has left.
	maxStatusLineTime = 3 * time.Second
	statusLineDivisor = 4
	// maxInterimResponses bounds the interim responses to one request.
	maxInterimResponses = 100
)

// awaitFinal skips interim responses until the head of the final response has arrived. The target may work for
// any time up to the deadline before the first byte of each. An error wraps statusline.ErrInvalid or
// fieldline.ErrInvalid if what the target sends is no response.
func (x *exchange) awaitFinal(ctx context.Context, deadline time.Time) error {
	for range maxInterimResponses {
		if _, err := x.br.Peek(1); err != nil {
			return err
		}
		status, err := x.peekStatus(ctx, deadline)
		if err != nil {
			return err
		}
		if err := fieldline.PeekHead(x.br); err != nil || statusline.IsFinal(status) {
			return err
		}
		if err := x.skipInterim(status); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: too many interim responses", statusline.ErrInvalid)
}

// peekStatus returns the status of the response that has begun to arrive.
func (x *exchange) peekStatus(ctx context.Context, deadline time.Time) (int, error) {
	within := maxStatusLineTime
	if until, ok := ctx.Deadline(); ok {
		within = min(within, time.Until(until)/statusLineDivisor)
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(within))
	defer func() { _ = x.conn.SetReadDeadline(deadline) }()
	status, err := statusline.Peek(x.br)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return 0, fmt.Errorf("%w: it does not end in time", statusline.ErrInvalid)
	}
	return status, err
}

// skipInterim reads an interim response, which has no body.
func (x *exchange) skipInterim(status int) error {
	var head fasthttp.ResponseHeader
	if err := head.Read(x.br); err != nil {
		return err
	}
	if n := head.ContentLength(); n > 0 || n == lengthChunked {
		return fmt.Errorf("%w: an interim response, status %d, announces a body", statusline.ErrInvalid, status)
	}
	return nil
}
