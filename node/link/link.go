// Package link carries messages between two processes of the system over one
// WebSocket connection. Both ends prove in a handshake that they hold the fleet
// key. Outgoing messages that wait for the writer are sent in batches, each batch as
// one WebSocket message. The link is closed, with a reason that is counted, if the
// peer falls silent, sends a malformed message or reads so slowly that the send
// queue exceeds its bound. None of these ends the process.
package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/codec"
	"almondseam.dev/node/wire"
	"github.com/fasthttp/websocket"
	"github.com/sourcegraph/conc"
)

// Default values of Options, and limits that are not configurable.
const (
	DefaultSilence      = 6 * time.Second
	DefaultMaxMessage   = 4 << 20
	DefaultMaxQueue     = 64 << 20
	handshakeTimeout    = 5 * time.Second
	handshakeLimit      = 4 << 10
	pingsPerSilence     = 3
	bufferSize          = 16 << 10
	batchLimit          = 256 << 10
	controlWriteTimeout = time.Second
)

// The reasons for which a link is closed. Each is a label value of the metric
// almondseam_link_closed_total.
const (
	CloseLocal     = "local"
	ClosePeer      = "peer"
	CloseSilence   = "silence"
	CloseMalformed = "malformed"
	CloseBacklog   = "backlog"
	CloseWrite     = "write"
)

// ErrClosed is returned by Send after the link has ended.
var ErrClosed = errors.New("link: closed")

// ErrTooLarge is returned by Send for a message that, encoded, is longer than
// Options.MaxMessage of this end less batchLimit.
var ErrTooLarge = errors.New("link: message too large")

var handshakeEnc = codec.Encoder()

var handshakeDec = codec.Decoder(codec.Bounds{Nesting: 4, Items: 16, Pairs: 16})

// Options configures one end of a link, dialling or accepting.
type Options struct {
	// Key is the fleet key. It must not be empty; this package does not check that.
	Key []byte
	// Self is the identity that this process sends to the peer.
	Self Peer
	// Codec encodes and decodes the message types of this kind of link.
	Codec *wire.Codec
	// Silence is how long nothing may arrive before the link is closed. A stalled
	// link cannot be told from an idle one, so each end sends three pings in
	// this time; if nothing at all arrives from the peer, the link has stalled.
	Silence time.Duration
	// MaxMessage bounds the size of one WebSocket message in bytes, sent or
	// received.
	MaxMessage int64
	// MaxQueue bounds the bytes in the send queue. Batches that the writer has
	// taken from the queue and is writing do not count.
	MaxQueue int
	// Observer is notified of links that are established, closed or rejected in
	// the handshake. It may be nil.
	Observer Observer
	// NetDial opens the connection for a link; nil for TCP.
	NetDial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Observer receives the events of links. For every link whose handshake has
// succeeded, dialled or accepted, LinkUp is called once and LinkClosed is called once
// when the link is closed. This package makes both calls, because a gauge of links
// went below zero when the calls were made in different places and one was missing.
// The methods may be called from several goroutines.
type Observer interface {
	LinkUp(peer Peer)
	// LinkClosed receives one of the Close constants as the reason.
	LinkClosed(peer Peer, reason string)
	// HandshakeFailed is called for a failed handshake and, on the accepting end,
	// also for a failed WebSocket upgrade.
	HandshakeFailed(reason error)
}

type noObserver struct{}

func (noObserver) LinkUp(Peer)             {}
func (noObserver) LinkClosed(Peer, string) {}
func (noObserver) HandshakeFailed(error)   {}

func (o Options) withDefaults() Options {
	o.Silence = cmp.Or(o.Silence, DefaultSilence)
	o.MaxMessage = cmp.Or(o.MaxMessage, DefaultMaxMessage)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return o
}

// Conn is one end of a link. Send may be called from several goroutines; Run must
// be called only once.
type Conn struct {
	ws   *websocket.Conn
	opt  Options
	peer Peer

	// received counts what has arrived from the peer: messages, pings and pongs.
	received atomic.Uint64
	// receiving is set while a message of which a part has arrived is read.
	receiving atomic.Bool

	mu     sync.Mutex
	queue  [][]byte // batches of encoded messages that the writer has not taken yet
	queued int      // bytes in queue
	reason string   // empty while the link is up; set once
	wake   chan struct{}
	closed chan struct{}
	// pingDue holds a token if Probe has asked for a ping.
	pingDue chan struct{}
	// pieceRead holds a token if the peer has read the last piece of a paced message.
	pieceRead chan struct{}
}

func newConn(ws *websocket.Conn, opt Options, peer Peer) *Conn {
	opt.Observer.LinkUp(peer)
	return &Conn{
		ws:      ws,
		opt:     opt,
		peer:    peer,
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		pingDue: make(chan struct{}, 1),

		pieceRead: make(chan struct{}, 1),
	}
}

// Peer returns the identity of the peer.
func (c *Conn) Peer() Peer { return c.peer }

// Done returns a channel that is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// CloseReason returns why the link was closed, or "" while it is up.
func (c *Conn) CloseReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

// Send queues a message for the writer. It does not wait for the network: if the
// queue exceeds MaxQueue, Send closes the link, because a peer that does not read
// would otherwise make the memory of this process grow. Each stream has its own flow
// control by credit, so the queue to a healthy peer stays far below the bound.
func (c *Conn) Send(m wire.Message) error {
	c.mu.Lock()
	if c.reason != "" {
		c.mu.Unlock()
		return c.wrapError(ErrClosed)
	}
	err := c.enqueue(m)
	full := c.queued > c.opt.MaxQueue
	if full {
		// Under the same lock, so that the writer cannot take a message that is reported as not sent.
		c.markClosed(CloseBacklog)
	}
	c.mu.Unlock()
	if full {
		c.closeSocket(CloseBacklog)
		return c.wrapError(ErrClosed)
	}
	if err != nil {
		return c.wrapError(err)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// enqueue appends the encoded m to the last batch of the queue, or to a new batch
// if the last one has reached batchLimit. A batch is written as one WebSocket
// message, which the peer reads as a whole and rejects if it is too large. c.mu must
// be held.
func (c *Conn) enqueue(m wire.Message) error {
	last := len(c.queue) - 1
	if last < 0 || len(c.queue[last]) >= batchLimit {
		c.queue = append(c.queue, nil)
		last++
	}
	before := c.queue[last]
	after, err := c.opt.Codec.Append(before, m)
	if err == nil && int64(len(after)-len(before)) > c.opt.MaxMessage-batchLimit {
		err = ErrTooLarge
	}
	if err != nil {
		c.queue[last] = before
		return err
	}
	c.queue[last] = after
	c.queued += len(after) - len(before)
	return nil
}

func (c *Conn) wrapError(err error) error {
	return &api.Error{Step: api.StepLink, Peer: string(c.peer.Instance), Outcome: api.OutcomeUnknown, Reason: api.ReasonLinkLost, Err: err}
}

// Close closes the link with the reason CloseLocal.
func (c *Conn) Close() { c.closeWith(CloseLocal) }

func (c *Conn) closeWith(reason string) {
	c.mu.Lock()
	if c.reason != "" {
		c.mu.Unlock()
		return
	}
	c.markClosed(reason)
	c.mu.Unlock()
	c.closeSocket(reason)
}

// markClosed records why the link is closed and drops the queue. c.mu must be held, and c.reason be empty.
func (c *Conn) markClosed(reason string) {
	c.reason = reason
	c.queue = nil
	close(c.closed)
}

// closeSocket ends the connection of a link that was marked as closed.
func (c *Conn) closeSocket(reason string) {
	closeSocket(c.ws)
	c.opt.Observer.LinkClosed(c.peer, reason)
}

// closeSocket closes the underlying network connection. On the accepting end, Close
// of the server library's connection has no effect until the library's handler has
// returned. The read loop would therefore continue for as long as the peer sends
// pings: a link closed for its backlog would go on reading, and a shutdown would
// never finish.
func closeSocket(ws *websocket.Conn) {
	if hijacked, ok := ws.NetConn().(interface{ UnsafeConn() net.Conn }); ok {
		_ = hijacked.UnsafeConn().Close()
	}
	_ = ws.Close()
}

// Run reads from the link and calls handle for each message, in order, on the
// calling goroutine, until the link is closed. It returns the reason. When ctx is
// done, Run closes the link with the reason CloseLocal.
func (c *Conn) Run(ctx context.Context, handle func(wire.Message)) string {
	var wg conc.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(func() {
		select {
		case <-ctx.Done():
			c.closeWith(CloseLocal)
		case <-c.closed:
		}
	})
	c.readLoop(handle)
	wg.Wait()
	return c.CloseReason()
}

func (c *Conn) readLoop(handle func(wire.Message)) {
	c.ws.SetReadLimit(c.opt.MaxMessage)
	c.ws.SetPingHandler(func(data string) error {
		c.extendReadDeadline()
		return c.ws.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(controlWriteTimeout))
	})
	c.ws.SetPongHandler(func(data string) error {
		c.extendReadDeadline()
		if data == pieceMark {
			c.pieceWasRead()
		}
		return nil
	})
	for {
		c.extendReadDeadline()
		data, err := c.readMessage()
		if err != nil {
			c.closeWith(closeReasonFor(err))
			return
		}
		if !c.dispatch(data, handle) {
			return
		}
	}
}

func (c *Conn) extendReadDeadline() {
	c.received.Add(1)
	_ = c.ws.SetReadDeadline(time.Now().Add(c.opt.Silence))
}

// Probe checks, without blocking, that the peer is alive: it sends a ping and closes the link
// with the reason CloseSilence if nothing arrives within the given time. It is for a caller that
// waits for a reply and would otherwise learn only after Options.Silence that none can come.
func (c *Conn) Probe(within time.Duration) {
	before := c.received.Load()
	time.AfterFunc(within, func() {
		if c.received.Load() == before {
			c.closeWith(CloseSilence)
		}
	})
	select {
	case c.pingDue <- struct{}{}:
	default:
	}
}

func (c *Conn) dispatch(data []byte, handle func(wire.Message)) bool {
	for len(data) > 0 {
		m, rest, err := c.opt.Codec.Decode(data)
		if err != nil {
			c.closeWith(CloseMalformed)
			return false
		}
		handle(m)
		data = rest
	}
	return true
}

func closeReasonFor(err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return CloseSilence
	}
	if errors.Is(err, websocket.ErrReadLimit) {
		return CloseMalformed
	}
	return ClosePeer
}

func (c *Conn) writeLoop() {
	tick := time.NewTicker(c.opt.Silence / pingsPerSilence)
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-tick.C:
			if !c.ping() {
				return
			}
		case <-c.pingDue:
			if !c.ping() {
				return
			}
		case <-c.wake:
			if !c.flush() {
				return
			}
		}
	}
}

// ping writes a ping and reports whether that succeeded.
func (c *Conn) ping() bool {
	if err := c.ws.WriteControl(websocket.PingMessage, nil, time.Now().Add(c.opt.Silence)); err != nil {
		c.closeWith(CloseWrite)
		return false
	}
	return true
}

// flush writes the queued batches until the queue is empty. It reports whether all
// writes succeeded. If a piece of a batch has not been written within Options.Silence, the
// link has stalled and is closed with the reason CloseWrite.
func (c *Conn) flush() bool {
	for {
		c.mu.Lock()
		batches := c.queue
		c.queue = nil
		c.queued = 0
		c.mu.Unlock()
		if len(batches) == 0 {
			return true
		}
		for _, batch := range batches {
			if !c.write(batch) {
				return false
			}
		}
	}
}

func (c *Conn) write(batch []byte) bool {
	_ = c.ws.SetWriteDeadline(time.Now().Add(c.opt.Silence))
	write := c.ws.WriteMessage
	if len(batch) > unpacedLimit {
		write = c.writePaced
	}
	if err := write(websocket.BinaryMessage, batch); err != nil {
		c.closeWith(CloseWrite)
		return false
	}
	return true
}

// handshakeError wraps a handshake failure with the step and the peer's address.
func handshakeError(addr string, err error) error {
	return &api.Error{Step: api.StepHandshake, Peer: addr, Outcome: api.OutcomeNotRun, Reason: api.ReasonUnauthenticated, Err: err}
}

func writeHandshake(ws *websocket.Conn, v any) error {
	b, err := handshakeEnc.Marshal(v)
	if err != nil {
		return err
	}
	return ws.WriteMessage(websocket.BinaryMessage, b)
}

func readHandshake(ws *websocket.Conn, v any) error {
	_, b, err := ws.ReadMessage()
	if err != nil {
		return fmt.Errorf("read handshake: %w", err)
	}
	return handshakeDec.Unmarshal(b, v)
}
