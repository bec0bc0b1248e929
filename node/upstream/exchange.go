package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path with the query, as it goes on the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Match tells by its head whether an answer belongs to this request; nil takes
	// the first one.
	Match func(http.Header) bool
	// MaxIdle bounds how many idle connections to the target are kept once the exchange is
	// over; zero, or more than MaxIdlePerTarget, is that.
	MaxIdle int
}

// maxStray is how many answers that belong to other requests are skipped on one
// connection before it is given up.
const maxStray = 2

// keepMargin is taken off the time for which a target says that it keeps an idle
// connection, so that it does not close one as the next request is under way.
const keepMargin = time.Second

// Exchange is a request under way whose answer's head has been read. Close must be
// called.
type Exchange struct {
	Status int
	Header http.Header
	// Body is the answer's body. Its error is nil or io.EOF only when the answer
	// is whole.
	Body io.Reader

	pool    *Pool
	conn    *conn
	resp    *http.Response
	stop    func() bool
	written chan error
	whole   bool
	most    int
}

// Do sends a request and reads the head of its answer. ctx ends the whole
// exchange, also while the body is read. An error wraps ErrNotSent or ErrLost.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Exchange, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, conn: c, most: req.MaxIdle}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	x.send(req)
	if err := x.readHead(req); err != nil {
		x.Close()
		return nil, fmt.Errorf("%w: %w", ErrLost, err)
	}
	x.Body = &body{x: x}
	return x, nil
}

// inlineBody is the largest body that is written before the answer is read. A
// larger one is written beside it: a target may answer before it has read all,
// and with both sides writing neither would read.
const inlineBody = 8 << 10

func (x *Exchange) send(req *Request) {
	head := encodeHead(req)
	x.written = make(chan error, 1)
	if len(req.Body) <= inlineBody {
		_, err := x.conn.Write(append(head, req.Body...))
		x.written <- err
		return
	}
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(req.Body)
		}
		x.written <- err
	}()
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// Header.Write refuses nothing and replaces line breaks in values, so that no
	// value can begin a header or a request of its own.
	_ = req.Header.Write(&b) // a bytes.Buffer takes every write
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the answer's head. It skips interim answers, and those of other
// requests that arrive where this one's is due.
func (x *Exchange) readHead(req *Request) error {
	for stray := 0; ; {
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if req.Match == nil || req.Match(resp.Header) {
			x.resp, x.Status, x.Header = resp, resp.StatusCode, resp.Header
			return nil
		}
		stray++
		if stray > maxStray {
			return errors.New("answers of other requests")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
}

// body reads the answer's body and notices its whole end.
type body struct{ x *Exchange }

func (b *body) Read(p []byte) (int, error) {
	n, err := b.x.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only when the answer was read
// to its end, the request was written whole, and the target means to keep it.
func (x *Exchange) Close() {
	live := x.stop()
	if !live || !x.whole || !x.sent() || x.resp.Close || x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 {
		_ = x.conn.Close() // given up on purpose
		return
	}
	x.pool.put(x.conn, x.keepFor(), x.most)
}

// sent tells whether the request was written whole. A target that answered early
// still reads the rest of the body; other bytes must not come in its place.
func (x *Exchange) sent() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// keepFor reads the Keep-Alive time of the answer.
func (x *Exchange) keepFor() time.Duration {
	for part := range strings.SplitSeq(x.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0 // unreadable: as if the target did not mean to keep it
		}
		return time.Duration(seconds)*time.Second - keepMargin
	}
	return x.pool.idle
}
