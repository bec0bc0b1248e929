package upstream

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// maxInlineBody is the size of the largest body that is written before the response is read.
// A larger body is written concurrently: a target may respond before it has read the whole
// body, and if both sides only wrote, they would deadlock.
const maxInlineBody = 8 << 10

// requestWrite is the writing of a request, which may go on while the response is read.
type requestWrite struct {
	// done is closed once writing has ended, with err.
	done chan struct{}
	err  error
}

// startWrite writes the parts of a request. It returns before they are written if their last one, the body, is large.
func startWrite(c *conn, head, body []byte) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	if len(body) <= maxInlineBody {
		w.write(c, append(head, body...))
		return w
	}
	go w.write(c, head, body)
	return w
}

func (w *requestWrite) write(c *conn, parts ...[]byte) {
	defer close(w.done)
	for _, part := range parts {
		if _, w.err = c.Write(part); w.err != nil {
			return
		}
	}
}

// complete reports whether the request was written completely. A target that responded
// early may still expect the rest of the body, and would take the next request for it.
func (w *requestWrite) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// abandon stops writing the request and returns the error with which the connection failed, if writing returned one.
//
// The kernel reports a connection's error to one call only: once a write has returned ECONNRESET, reads return io.EOF,
// as after an orderly close. EPIPE means that the target had closed its sending side before the reset.
func (w *requestWrite) abandon(c *conn) error {
	longAgo := time.Unix(1, 0)
	_ = c.SetWriteDeadline(longAgo) // fails if the connection is closed, which ends the write as well
	<-w.done
	if w.err == nil || errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, unix.EPIPE) {
		return nil
	}
	return fmt.Errorf("write the request: %w", w.err)
}
