package engine

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/agent"
	"almondseam.dev/node/fieldline"
	"almondseam.dev/node/wire"
	"github.com/valyala/fasthttp"
)

// Config configures a Client. A zero duration takes its default.
type Config struct {
	// Addr is the target's address, "host:port".
	Addr string
	// DialTimeout bounds connecting, HeaderTimeout reading the response header.
	// HeaderTimeout is long, since an engine that queues requests answers late.
	DialTimeout   time.Duration
	HeaderTimeout time.Duration
	// ReadTimeout bounds each read of the response body.
	ReadTimeout time.Duration
	// Capabilities are the target's, as given in the agent's settings.
	Capabilities agent.Capabilities
	// OnBackoff is called when a response asks for the time asked without requests; left is
	// the time for which nothing is sent from then on. It may be nil. It is called from
	// several goroutines.
	OnBackoff func(asked, left time.Duration)
}

// Defaults of Config.
const (
	DefaultDialTimeout   = 2 * time.Second
	DefaultHeaderTimeout = 5 * time.Minute
	DefaultReadTimeout   = 2 * time.Minute
	// readBufferSize bounds the header of a response to a generation,
	// callBufferSize that of a response to a call: services send cookies and
	// policies that engines do not. A larger header leaves the outcome unknown,
	// although the service may have acted.
	readBufferSize = 4 << 10
	callBufferSize = 16 << 10
	callChunkSize  = 16 << 10
	// maxErrorBody bounds the body of an error response and of a load report.
	maxErrorBody = 16 << 10
)

// Client sends requests to one target. Each request has a connection of its own,
// which is never reused: an HTTP client that reuses connections sends a request
// again if the server has closed the connection, and cannot tell whether the
// server had read it. A booking would then be made twice. On a new connection the
// request is written once, and there is no reason to send it again.
type Client struct {
	cfg       Config
	dialer    net.Dialer
	condition condition
}

// New returns a client. It opens no connection.
func New(cfg Config) *Client {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.HeaderTimeout = cmp.Or(cfg.HeaderTimeout, DefaultHeaderTimeout)
	cfg.ReadTimeout = cmp.Or(cfg.ReadTimeout, DefaultReadTimeout)
	return &Client{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout}}
}

var _ agent.Target = (*Client)(nil)

const (
	// goneProbes is the number of connections that Gone tries, at the interval goneInterval: a
	// process that ends may close its connections before its listener.
	goneProbes   = 2
	goneInterval = 100 * time.Millisecond
)

// Gone implements agent.Target.
func (c *Client) Gone(ctx context.Context) bool {
	for i := range goneProbes {
		if i > 0 {
			time.Sleep(goneInterval)
		}
		conn, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
	}
	return false
}

// Capabilities implements agent.Target.
func (c *Client) Capabilities() agent.Capabilities { return c.cfg.Capabilities }

func (c *Client) newError(outcome api.Outcome, reason api.Reason, err error) *api.Error {
	return &api.Error{Step: api.StepEngine, Peer: c.cfg.Addr, Outcome: outcome, Reason: reason, Err: err}
}

// exchange is one request and its response, on a connection of its own.
type exchange struct {
	conn        net.Conn
	br          *bufio.Reader
	resp        fasthttp.Response
	body        io.Reader
	readTimeout time.Duration
	// endsWithConnection is set if nothing but the end of the connection ends the response body.
	endsWithConnection bool
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// statementErr reports a statement in the response's header that cannot be parsed.
	statementErr error
	once         sync.Once
}

// Close closes the connection, which cancels the work at the target.
func (x *exchange) Close() {
	x.once.Do(func() {
		x.cancel()
		_ = x.conn.Close()
	})
}

// Read reads the response body. It fails if the target sends nothing for
// readTimeout.
func (x *exchange) Read(p []byte) (int, error) {
	_ = x.conn.SetReadDeadline(time.Now().Add(x.readTimeout))
	return x.body.Read(p)
}

// startExchange connects, writes the request once and reads the response header.
// The outcome of its error is not_run only if no byte was written.
//
// A backoff of the target is checked before connecting and again before the first byte,
// because connecting takes time.
func (c *Client) startExchange(ctx context.Context, w agent.Work, body []byte, accept string) (*exchange, error) {
	if err := c.admit(); err != nil {
		return nil, err
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Addr)
	if err != nil {
		return nil, c.newError(api.OutcomeNotRun, api.ReasonEngineUnreachable, err)
	}
	x := &exchange{conn: conn, readTimeout: c.cfg.ReadTimeout}
	x.ctx, x.cancel = context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	if err := c.admit(); err != nil {
		x.Close()
		return nil, err
	}
	if err := c.writeRequest(x, w, body, accept); err != nil {
		x.Close()
		return nil, c.newError(api.OutcomeUnknown, reasonBeforeResponse(ctx, err), err)
	}
	x.resp.SkipBody = w.Method == fasthttp.MethodHead
	bufferSize := readBufferSize
	if accept == "" {
		bufferSize = callBufferSize
	}
	if err := c.readHeader(ctx, x, bufferSize); err != nil {
		x.Close()
		return nil, c.newError(api.OutcomeUnknown, reasonBeforeResponse(ctx, err), err)
	}
	x.statementErr = c.applyStatements(&x.resp)
	return x, nil
}

// reasonBeforeResponse returns the reason for a request that failed before its
// response header was read. At the deadline of the request, the connection is
// closed while it is being read, and the read fails as on any closed connection.
// By this error alone, a service that is merely slow would be reported as one that
// died.
func reasonBeforeResponse(ctx context.Context, err error) api.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return api.ReasonTimeout
	}
	return reasonForReadError(err)
}

// reasonForReadError returns ReasonTimeout if the target sent nothing for too
// long, and ReasonEngineDied for any other error.
func reasonForReadError(err error) api.Reason {
	// The HTTP library's own timeout error is not a net.Error.
	var timeoutErr interface{ Timeout() bool }
	if errors.As(err, &timeoutErr) && timeoutErr.Timeout() {
		return api.ReasonTimeout
	}
	return api.ReasonEngineDied
}

func (c *Client) writeRequest(x *exchange, w agent.Work, body []byte, accept string) error {
	var req fasthttp.Request
	req.Header.SetMethod(w.Method)
	req.SetRequestURI(w.Path)
	req.Header.SetHost(c.cfg.Addr)
	for _, h := range w.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	if accept != "" {
		req.Header.Set("Accept", accept)
	}
	req.Header.Set("X-Request-Id", string(w.Request))
	req.Header.SetConnectionClose()
	req.SetBodyRaw(body)
	bw := bufio.NewWriter(x.conn)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

func (c *Client) readHeader(ctx context.Context, x *exchange, bufferSize int) error {
	deadline := time.Now().Add(c.cfg.HeaderTimeout)
	_ = x.conn.SetReadDeadline(deadline)
	x.br = bufio.NewReaderSize(x.conn, bufferSize)
	if err := x.awaitFinal(ctx, deadline); err != nil {
		return err
	}
	x.resp.StreamBody = true
	if err := x.resp.Read(x.br); err != nil {
		return err
	}
	x.endsWithConnection = endsWithConnection(&x.resp)
	x.body = x.responseBody()
	return nil
}

// responseBody returns the body of the response whose header has been read.
func (x *exchange) responseBody() io.Reader {
	stream := x.resp.BodyStream()
	switch {
	case stream == nil:
		return strings.NewReader("")
	case x.resp.Header.ContentLength() == lengthChunked:
		return fieldline.NewChunkedReader(x.br) // that of fasthttp takes trailers with invalid names
	}
	return stream
}

// Call implements agent.Target. Once the first byte may have been sent, the
// outcome of a failure is unknown: the service may have acted on what it read.
func (c *Client) Call(ctx context.Context, w agent.Work) (agent.Answer, error) {
	x, err := c.startExchange(ctx, w, w.Body, "")
	if err != nil {
		return nil, err
	}
	return &callAnswer{exchange: x, client: c, buf: make([]byte, callChunkSize)}, nil
}

type callAnswer struct {
	*exchange
	client *Client
	buf    []byte
}

// Head implements agent.Answer.
func (a *callAnswer) Head() (int, []wire.Header) {
	var hs []wire.Header
	for k, v := range a.resp.Header.All() {
		hs = append(hs, wire.Header{Name: string(k), Value: string(v)})
	}
	return a.resp.StatusCode(), hs
}

// Next implements agent.Answer. Reading returns an error for a body that ends
// before its declared length or the trailer after its last chunk, so io.EOF means that such a body
// is complete. A body with neither ends when the connection is closed, which is its end only if the target's
// process still runs.
func (a *callAnswer) Next() ([]byte, error) {
	for {
		n, err := a.Read(a.buf)
		if n > 0 {
			return a.buf[:n], nil
		}
		if err == io.EOF {
			err = a.client.confirmEnd(a.exchange)
		}
		if err == io.EOF {
			return nil, io.EOF
		}
		if err != nil {
			return nil, a.client.newError(api.OutcomeInterrupted, api.ReasonEngineTruncated, err)
		}
	}
}

// Load implements agent.Target by a GET request for the engine's /load.
func (c *Client) Load(ctx context.Context) (agent.TargetLoad, error) {
	x, err := c.startExchange(ctx, agent.Work{Method: fasthttp.MethodGet, Path: "/load"}, nil, "application/json")
	if err != nil {
		return agent.TargetLoad{}, err
	}
	defer x.Close()
	b, err := io.ReadAll(io.LimitReader(x, maxErrorBody))
	if err != nil {
		return agent.TargetLoad{}, c.newError(api.OutcomeUnknown, api.ReasonEngineTruncated, err)
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return agent.TargetLoad{}, c.newError(api.OutcomeUnknown, api.ReasonEngineRefused, fmt.Errorf("status %d", x.resp.StatusCode()))
	}
	var l agent.TargetLoad
	if err := json.Unmarshal(b, &l); err != nil {
		return agent.TargetLoad{}, c.newError(api.OutcomeUnknown, api.ReasonEngineRefused, err)
	}
	return l, nil
}
