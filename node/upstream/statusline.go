package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"almondseam.dev/node/statusline"
)

// awaitStatusLine waits for the status line of a response. It returns an error as soon as what has arrived cannot
// begin one.
func (c *conn) awaitStatusLine() error {
	_, err := statusline.Peek(c.r)
	if errors.Is(err, statusline.ErrInvalid) {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return err
}

// checkInterim returns an error if an interim response announces a body. It has none, so the bytes of that body would
// be taken for the response that follows.
func checkInterim(resp *http.Response) error {
	length := resp.Header.Get("Content-Length")
	if len(resp.TransferEncoding) > 0 || length != "" && length != "0" {
		return fmt.Errorf("%w: an interim response, status %d, announces a body", ErrNoResponse, resp.StatusCode)
	}
	return nil
}
