package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"almondseam.dev/node/fieldline"
	"almondseam.dev/node/statusline"
)

// Request is an HTTP request to a target.
type Request struct {
	Method string
	// URI is the path with the query, as it stands in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Match reports from the status and header of a response whether it belongs to this request. If
	// Match is nil, the first response is taken.
	Match func(status int, h http.Header) bool
	// OpenedSince excludes idle connections that were opened before that time.
	OpenedSince time.Time
	// ConfirmEnd is called once the target has closed the connection of a response that has neither a length nor
	// chunks. If it returns an error, that end is not the end of the response, and reading the body returns the
	// error. If it is nil, the end of the connection ends the response. A connection that fails ends no response.
	ConfirmEnd func(context.Context) error
	// Opened is called with the opening of the connection before Admit. It may be nil.
	Opened func(Opening)
	// Admit is called once a connection is open, immediately before the first byte is written.
	// If it returns an error, nothing is sent, and Do returns that error together with
	// ErrNotSent. If it is nil, every request is sent.
	Admit func() error
	// Context replaces that of Do from the first byte on. It may be nil.
	Context context.Context
	// MaxIdle bounds the idle connections to the target that are kept after the exchange.
	// Zero or a value above MaxIdlePerTarget means MaxIdlePerTarget.
	MaxIdle int
}

// maxStrayResponses is the number of responses to other requests that an exchange skips before
// it gives its connection up.
const maxStrayResponses = 2

const (
	// maxHead bounds the bytes of the head of a response, with those of all responses before it.
	maxHead = 16 << 10
	// maxStrayBody bounds the body of a response to another request, in bytes.
	maxStrayBody = 256 << 10
	// maxHeadTime is the longest time from the first byte of a response to the end of its head, or to its
	// own end if it is not the one to the request.
	maxHeadTime = 3 * time.Second
	// headTimeDivisor bounds that time to this fraction, 1/headTimeDivisor, of the time that the request
	// has left, so that the rest suffices for another target.
	headTimeDivisor = 4
)

// ErrNoResponse reports bytes of a target that are not a response to the request.
var ErrNoResponse = errors.New("the target sent bytes that are no response")

// headTime returns the time from the first byte of a response within which its head must end.
func (x *Exchange) headTime() time.Duration {
	if until, ok := x.ctx.Deadline(); ok {
		return min(maxHeadTime, time.Until(until)/headTimeDivisor)
	}
	return maxHeadTime
}

// keepAliveMargin is subtracted from the target's Keep-Alive timeout, so that the target does
// not close an idle connection while the next request is being sent on it.
const keepAliveMargin = time.Second

// Opening is when a connection was opened: the target accepted it between the two times.
type Opening struct{ Began, Ended time.Time }

// Framing is what marks the end of a response's body.
type Framing uint8

const (
	// FramingNone: there is no response.
	FramingNone Framing = iota
	// FramedByLength: the body has a stated length, or there is none by the response's status.
	FramedByLength
	// FramedByChunks: the body ends with its last chunk.
	FramedByChunks
	// FramedByConnection: only the end of the connection ends the body.
	FramedByConnection
)

// String returns the name of the framing, for logs.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunks", "connection"}[f]
}

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByConnection
}

// Exchange is a request in progress whose response header has been read. The caller must call
// Close.
type Exchange struct {
	Status int
	Header http.Header
	// Body is the response body. It returns io.EOF only at the end of a complete
	// response, and another error if the response is cut off. Whether a response without a length
	// or chunks is complete when the target closes the connection, Request.ConfirmEnd decides.
	Body io.Reader
	// Length is the length of the body in bytes that the head states, negative if it states none.
	Length int64
	// Framing is what marks the end of the body.
	Framing Framing
	// Opening is when the connection was opened.
	Opening Opening

	ctx        context.Context
	pool       *Pool
	conn       *conn
	resp       *http.Response
	stopCancel func() bool
	write      *requestWrite
	complete   bool
	maxIdle    int
	confirmEnd func(context.Context) error
	// strays counts the responses to other requests, or to none, that were skipped. More bytes of that kind
	// may follow.
	strays int
}

// Do sends a request and reads the header of its response. ctx, or from the first byte on the
// request's own context, applies to the whole exchange: if it is done while the body is being read, the
// connection is closed. Nothing is sent once ctx is done. An error wraps ErrNotSent or ErrLost.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Exchange, error) {
	c, err := p.get(ctx, addr, req.OpenedSince)
	if err != nil {
		return nil, err
	}
	if req.Opened != nil {
		req.Opened(c.opening)
	}
	if err := req.admit(ctx); err != nil {
		p.putBack(c, req.MaxIdle)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := &Exchange{Opening: c.opening, ctx: cmp.Or(req.Context, ctx), pool: p, conn: c, maxIdle: req.MaxIdle, confirmEnd: req.ConfirmEnd}
	x.stopCancel = context.AfterFunc(x.ctx, func() { _ = c.Close() })
	x.write = startWrite(c, encodeHead(req), req.Body)
	if err := x.readHead(req); err != nil {
		x.Close()
		return nil, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return x, nil
}

// admit returns an error if nothing may be sent.
func (req *Request) admit(ctx context.Context) error {
	if req.Admit != nil {
		if err := req.Admit(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// Header.Write replaces line breaks in values, so that no value can inject a header
	// or a request.
	_ = req.Header.Write(&b) // writing to a bytes.Buffer never fails
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the response header. It skips interim responses, and up to maxStrayResponses
// responses that do not match the request.
//
// A target may work on the request for any time before the first byte of each of them. What it then sends
// must end, by its size and in headTime, unless it is the response's body: such bytes are no answer, and
// without an end they would occupy this process until its caller leaves.
func (x *Exchange) readHead(req *Request) error {
	x.conn.reader.begin(maxHead)
	defer x.conn.reader.end()
	for {
		if _, err := x.conn.r.Peek(1); err != nil {
			return err
		}
		found, err := x.readResponse(req)
		if found || err != nil {
			return err
		}
		if x.strays > maxStrayResponses {
			return fmt.Errorf("%w: too many responses to other requests", ErrNoResponse)
		}
	}
}

// readResponse reads the head of one response. If that is not the one to the request, it is skipped, and
// found is false.
func (x *Exchange) readResponse(req *Request) (found bool, err error) {
	var expired atomic.Bool
	timer := time.AfterFunc(x.headTime(), func() {
		expired.Store(true)
		_ = x.conn.Close()
	})
	defer func() {
		timer.Stop()
		if err != nil && expired.Load() {
			err = fmt.Errorf("%w: it does not end in time: %w", ErrNoResponse, err)
		}
	}()
	if err := x.conn.awaitStatusLine(); err != nil {
		return false, err
	}
	resp, err := x.conn.readHead(req.Method)
	if err != nil {
		return false, err
	}
	if !statusline.IsFinal(resp.StatusCode) {
		return false, checkInterim(resp)
	}
	if req.Match == nil || req.Match(resp.StatusCode, resp.Header) {
		x.resp, x.Status, x.Header, x.Length, x.Framing = resp, resp.StatusCode, resp.Header, resp.ContentLength, framingOf(resp)
		x.Body = &body{x: x, from: x.conn.bodyOf(resp)}
		return true, nil
	}
	x.strays++
	x.conn.reader.suspend()
	defer x.conn.reader.resume()
	return false, skipBody(x.conn.bodyOf(resp))
}

// skipBody reads the body of a response to another request.
func skipBody(b io.Reader) error {
	n, err := io.CopyN(io.Discard, b, maxStrayBody+1)
	if n > maxStrayBody {
		return fmt.Errorf("%w: a response to another request does not end", ErrNoResponse)
	}
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.Is(err, fieldline.ErrInvalid), errors.Is(err, fieldline.ErrTrailerTooLong):
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return err
}

// body reads the response body and records in the exchange when it has reached its end.
type body struct {
	x    *Exchange
	from io.Reader
	// err is what reading has ended with.
	err error
}

func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.x.endBody()
	}
	b.err = err
	return n, err
}

// endBody returns io.EOF if the response has ended.
func (x *Exchange) endBody() error {
	if x.Framing == FramedByConnection {
		if err := x.checkConnectionEnd(); err != nil {
			return fmt.Errorf("%w: %w", ErrLost, err)
		}
	}
	x.complete = true
	return io.EOF
}

// checkConnectionEnd returns an error if the end of the connection is not the end of the response.
func (x *Exchange) checkConnectionEnd() error {
	if err := x.write.abandon(x.conn); err != nil {
		return err
	}
	if x.confirmEnd == nil {
		return nil
	}
	return x.confirmEnd(x.ctx)
}

// Close ends the exchange. It returns the connection to the pool only if it brought no response to no
// request, the response was read to its end, the request was written completely, ctx was not done, and the target keeps the
// connection open.
func (x *Exchange) Close() {
	live := x.stopCancel()
	if !live || x.strays > 0 || !x.complete || !x.write.complete() || x.resp.Close || x.Framing == FramedByConnection {
		_ = x.conn.Close() // not reusable
		return
	}
	x.pool.putIdle(x.conn, x.keepAliveTimeout(), x.maxIdle)
}

// Abort closes the connection, so that a read of the body fails. It may be called while the body is read.
func (x *Exchange) Abort() { _ = x.conn.Close() }

// keepAliveTimeout returns for how long the connection may be kept idle: the response's Keep-Alive
// timeout less keepAliveMargin, or the pool's default if the response has none.
func (x *Exchange) keepAliveTimeout() time.Duration {
	for part := range strings.SplitSeq(x.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0 // malformed timeout: do not keep the connection
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return x.pool.idleTimeout
}
