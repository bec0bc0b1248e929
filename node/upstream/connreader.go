package upstream

import (
	"fmt"
	"io"
	"net/http"

	"almondseam.dev/node/fieldline"
)

// connReader reads from a connection. It bounds the bytes of heads, and checks their field lines as they arrive: a head
// may be longer than the buffer that it is parsed from.
type connReader struct {
	from    io.Reader
	limited bool
	left    int
	// fields checks what is read, up to the end of a head. It is nil while no head is read.
	fields *fieldline.Scanner
	// err is what the check has ended with. Nothing is read after it: bufio and net/textproto return the part of a
	// line that is in front of an error, without the error.
	err error
}

// begin limits what is read from now on to n bytes, until end.
func (r *connReader) begin(n int) { r.limited, r.left = true, n }

// end lifts the limit.
func (r *connReader) end() { r.limited = false }

// suspend lifts the limit until resume, which applies the rest of it.
func (r *connReader) suspend() { r.limited = false }

func (r *connReader) resume() { r.limited = true }

// Read implements io.Reader. It returns an error that wraps ErrNoResponse instead of bytes that are part of no head.
func (r *connReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.readLimited(b)
	if err := r.check(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

func (r *connReader) readLimited(b []byte) (int, error) {
	if !r.limited {
		return r.from.Read(b)
	}
	if r.left <= 0 {
		return 0, fmt.Errorf("%w: its head does not end", ErrNoResponse)
	}
	n, err := r.from.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

func (r *connReader) check(b []byte) error {
	if r.fields == nil {
		return nil
	}
	if err := r.fields.Scan(b); err != nil {
		r.err = fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return r.err
}

// readHead reads the head of a response. It returns an error that wraps ErrNoResponse if a field line is invalid.
func (c *conn) readHead(method string) (*http.Response, error) {
	scanner := fieldline.NewHeadScanner()
	c.reader.fields = &scanner
	defer func() { c.reader.fields = nil }()
	buffered, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.reader.check(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if c.reader.err != nil {
		return nil, c.reader.err
	}
	return resp, err
}

// bodyOf returns the body of a response whose head has just been read.
func (c *conn) bodyOf(resp *http.Response) io.Reader {
	if framingOf(resp) == FramedByChunks {
		return fieldline.NewChunkedReader(c.r) // that of net/http takes trailers with invalid names
	}
	return resp.Body
}
