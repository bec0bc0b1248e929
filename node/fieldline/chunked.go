package fieldline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
)

// maxTrailer bounds the trailer section of a chunked body, in bytes.
const maxTrailer = 16 << 10

// ErrTrailerTooLong reports a trailer section longer than maxTrailer.
var ErrTrailerTooLong = errors.New("the trailer section is too long")

// ChunkedReader reads a chunked body. It checks the field lines of the trailer section, and leaves them out.
type ChunkedReader struct {
	r      *bufio.Reader
	chunks io.Reader
	// err is what reading has ended with.
	err error
}

// NewChunkedReader returns a reader of the chunked body that begins with the next byte of r. It reads nothing beyond the
// body's end from r.
func NewChunkedReader(r *bufio.Reader) *ChunkedReader {
	return &ChunkedReader{r: r, chunks: httputil.NewChunkedReader(r)}
}

// Read implements io.Reader. It returns io.EOF only after the end of the trailer section, and an error that wraps
// ErrInvalid if that has an invalid line.
func (c *ChunkedReader) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.chunks.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endBody()
	}
	c.err = err
	return n, err
}

// endBody reads the trailer section, and returns io.EOF if it is valid.
func (c *ChunkedReader) endBody() error {
	var scanner Scanner
	for range maxTrailer {
		next, err := c.r.ReadByte()
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if err := scanner.Scan([]byte{next}); err != nil {
			return fmt.Errorf("trailer: %w", err)
		}
		if scanner.Done() {
			return io.EOF
		}
	}
	return ErrTrailerTooLong
}
