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
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/agent"
	"almondseam.dev/node/wire"
	"github.com/valyala/fasthttp"
)

// Config of a target's road.
type Config struct {
	// Addr is the target's address, "host:port".
	Addr string
	// Dial bounds connecting, Head the wait for the response's first byte
	// (an engine that queues answers late, so it is long).
	Dial time.Duration
	Head time.Duration
	// Quiet bounds the time between two reads of a response.
	Quiet time.Duration
	// Capabilities of the target, from the agent's settings.
	Capabilities agent.Capabilities
}

// Defaults of Config.
const (
	DefaultDial  = 2 * time.Second
	DefaultHead  = 5 * time.Minute
	DefaultQuiet = 2 * time.Minute
	// readBuffer bounds the head of a generation's response, callBuffer that of
	// a call's: services send cookies and policies that engines don't. A head
	// beyond it leaves the outcome unknown, though the service has acted.
	readBuffer   = 4 << 10
	callBuffer   = 16 << 10
	callChunk    = 16 << 10
	maxErrorBody = 16 << 10
)

// Client is the road to one target. Every request has a connection of its own,
// never pooled: an HTTP client with kept-alive connections sends a request again
// when the server has closed the connection under it, and cannot tell whether
// the server had read it. A booking would then be made twice. On a fresh
// connection, written once, there is nothing to send again.
type Client struct {
	cfg  Config
	dial net.Dialer
}

// New makes a client. It opens no connection.
func New(cfg Config) *Client {
	cfg.Dial = cmp.Or(cfg.Dial, DefaultDial)
	cfg.Head = cmp.Or(cfg.Head, DefaultHead)
	cfg.Quiet = cmp.Or(cfg.Quiet, DefaultQuiet)
	return &Client{cfg: cfg, dial: net.Dialer{Timeout: cfg.Dial}}
}

var _ agent.Target = (*Client)(nil)

// Capabilities implements agent.Target.
func (c *Client) Capabilities() agent.Capabilities { return c.cfg.Capabilities }

func (c *Client) fail(outcome api.Outcome, reason api.Reason, err error) *api.Error {
	return &api.Error{Step: api.StepEngine, Peer: c.cfg.Addr, Outcome: outcome, Reason: reason, Err: err}
}

// exchange is one request on its own connection.
type exchange struct {
	conn  net.Conn
	br    *bufio.Reader
	resp  fasthttp.Response
	body  io.Reader
	quiet time.Duration
	once  sync.Once
}

// Close ends the connection, which cancels the work at the target.
func (x *exchange) Close() {
	x.once.Do(func() { _ = x.conn.Close() })
}

// Read reads the response's body, failing when the target is quiet for too long.
func (x *exchange) Read(p []byte) (int, error) {
	_ = x.conn.SetReadDeadline(time.Now().Add(x.quiet))
	return x.body.Read(p)
}

// open dials, writes the request once and reads the response's head. Its error
// is not_run only when no byte was written.
func (c *Client) open(ctx context.Context, w agent.Work, body []byte, accept string) (*exchange, error) {
	conn, err := c.dial.DialContext(ctx, "tcp", c.cfg.Addr)
	if err != nil {
		return nil, c.fail(api.OutcomeNotRun, api.ReasonEngineUnreachable, err)
	}
	x := &exchange{conn: conn, quiet: c.cfg.Quiet}
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	if err := c.write(x, w, body, accept); err != nil {
		x.Close()
		return nil, c.fail(api.OutcomeUnknown, openReason(ctx, err), err)
	}
	x.resp.SkipBody = w.Method == fasthttp.MethodHead
	buffer := readBuffer
	if accept == "" {
		buffer = callBuffer
	}
	if err := c.readHead(x, buffer); err != nil {
		x.Close()
		return nil, c.fail(api.OutcomeUnknown, openReason(ctx, err), err)
	}
	return x, nil
}

// openReason is the reason of a request that failed before its answer began. At
// the request's own deadline the connection is closed under the read, whose error
// is then that of a closed connection: told by it alone, a service that is merely
// slow would pass for one that died.
func openReason(ctx context.Context, err error) api.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return api.ReasonTimeout
	}
	return readReason(err)
}

// readReason tells a target that was quiet for too long from one that went.
func readReason(err error) api.Reason {
	// The HTTP library's own timeout is no net.Error.
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() {
		return api.ReasonTimeout
	}
	return api.ReasonEngineDied
}

func (c *Client) write(x *exchange, w agent.Work, body []byte, accept string) error {
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

func (c *Client) readHead(x *exchange, buffer int) error {
	_ = x.conn.SetReadDeadline(time.Now().Add(c.cfg.Head))
	x.br = bufio.NewReaderSize(x.conn, buffer)
	x.resp.StreamBody = true
	if err := x.resp.Read(x.br); err != nil {
		return err
	}
	x.body = x.resp.BodyStream()
	if x.body == nil {
		x.body = strings.NewReader("")
	}
	return nil
}

// Call implements agent.Target. Once the first byte may have left, a failure is
// unknown: the service may have acted on what it read.
func (c *Client) Call(ctx context.Context, w agent.Work) (agent.Answer, error) {
	x, err := c.open(ctx, w, w.Body, "")
	if err != nil {
		return nil, err
	}
	return &callAnswer{exchange: x, client: c, buf: make([]byte, callChunk)}, nil
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

// Next implements agent.Answer. fasthttp reports a body cut short of its
// length or its last chunk as an error, so io.EOF is the true end.
func (a *callAnswer) Next() ([]byte, error) {
	for {
		n, err := a.Read(a.buf)
		if n > 0 {
			return a.buf[:n], nil
		}
		if err == io.EOF {
			return nil, io.EOF
		}
		if err != nil {
			return nil, a.client.fail(api.OutcomeInterrupted, api.ReasonEngineTruncated, err)
		}
	}
}

// Load implements agent.Target with the engine's GET /load.
func (c *Client) Load(ctx context.Context) (agent.TargetLoad, error) {
	x, err := c.open(ctx, agent.Work{Method: fasthttp.MethodGet, Path: "/load"}, nil, "application/json")
	if err != nil {
		return agent.TargetLoad{}, err
	}
	defer x.Close()
	b, err := io.ReadAll(io.LimitReader(x, maxErrorBody))
	if err != nil {
		return agent.TargetLoad{}, c.fail(api.OutcomeUnknown, api.ReasonEngineTruncated, err)
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return agent.TargetLoad{}, c.fail(api.OutcomeUnknown, api.ReasonEngineRefused, fmt.Errorf("status %d", x.resp.StatusCode()))
	}
	var l agent.TargetLoad
	if err := json.Unmarshal(b, &l); err != nil {
		return agent.TargetLoad{}, c.fail(api.OutcomeUnknown, api.ReasonEngineRefused, err)
	}
	return l, nil
}
