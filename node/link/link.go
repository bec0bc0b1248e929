// Package link carries messages between two processes of the system over one
// WebSocket. Both ends prove the fleet key; outgoing messages are gathered into
// as few WebSocket messages as the writer's pace allows; a peer that falls
// silent, sends a malformed message or lets the queue grow past its bound loses
// the link with a counted reason, never the process.
package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/codec"
	"almondseam.dev/node/wire"
	"github.com/fasthttp/websocket"
	"github.com/sourcegraph/conc"
)

// Defaults of Options.
const (
	DefaultSilence      = 6 * time.Second
	DefaultMaxMessage   = 4 << 20
	DefaultMaxQueue     = 64 << 20
	handshakeTimeout    = 5 * time.Second
	handshakeLimit      = 4 << 10
	pingsPerSilence     = 3
	bufferSize          = 16 << 10
	gatherLimit         = 256 << 10
	controlWriteTimeout = time.Second
)

// Why a link ended; each is a label of the metric almondseam_link_closed_total.
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

// ErrTooLarge is returned by Send for a message beyond the peer's bound.
var ErrTooLarge = errors.New("link: message too large")

var handshakeEnc = codec.Encoder()

var handshakeDec = codec.Decoder(codec.Bounds{Nesting: 4, Items: 16, Pairs: 16})

// Options of both ends of a link.
type Options struct {
	// Key is the fleet key. It must not be empty.
	Key []byte
	// Self is what this process says of itself.
	Self Peer
	// Codec knows the messages of this kind of link.
	Codec *wire.Codec
	// Silence ends a link on which nothing has arrived for so long. A stalled
	// link looks exactly like a quiet one, so both ends ping three times in
	// that span: silence then means a stall.
	Silence time.Duration
	// MaxMessage bounds one WebSocket message in bytes.
	MaxMessage int64
	// MaxQueue bounds the bytes waiting to be written.
	MaxQueue int
	// Observer hears how links come up and end; nil for none.
	Observer Observer
}

// Observer hears of links. LinkUp and LinkClosed are told once each for every link
// whose handshake has succeeded, on both sides: a gauge of links that took them
// from different places fell below zero where one was left out. Its methods may
// be called from several goroutines.
type Observer interface {
	LinkUp(peer Peer)
	LinkClosed(peer Peer, why string)
	HandshakeFailed(why error)
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

// Conn is one link. Send may be called from several goroutines; Run from one.
type Conn struct {
	ws   *websocket.Conn
	opt  Options
	peer Peer

	mu     sync.Mutex
	queue  [][]byte // encoded runs of messages, not yet taken by the writer
	queued int      // bytes in queue
	why    string   // set once, at the end
	wake   chan struct{}
	closed chan struct{}
}

func newConn(ws *websocket.Conn, opt Options, peer Peer) *Conn {
	opt.Observer.LinkUp(peer)
	return &Conn{
		ws:     ws,
		opt:    opt,
		peer:   peer,
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
}

// Peer tells who is at the other end.
func (c *Conn) Peer() Peer { return c.peer }

// Done is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// CloseReason tells how the link ended, "" while it is up.
func (c *Conn) CloseReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.why
}

// Send queues a message. It never blocks: when the queue passes its bound the
// link is ended, since a peer that does not read would otherwise hold this
// process's memory. Streams have credit of their own, so a healthy peer never
// comes near the bound.
func (c *Conn) Send(m wire.Message) error {
	c.mu.Lock()
	if c.why != "" {
		c.mu.Unlock()
		return c.fail(ErrClosed)
	}
	err := c.enqueue(m)
	full := c.queued > c.opt.MaxQueue
	c.mu.Unlock()
	if err != nil {
		return c.fail(err)
	}
	if full {
		c.end(CloseBacklog)
		return c.fail(ErrClosed)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// enqueue encodes m behind the last run, or into a new one when that run is
// long enough: a run is written as one WebSocket message, which the peer reads
// whole and refuses when it is too large.
func (c *Conn) enqueue(m wire.Message) error {
	last := len(c.queue) - 1
	if last < 0 || len(c.queue[last]) >= gatherLimit {
		c.queue = append(c.queue, nil)
		last++
	}
	before := c.queue[last]
	run, err := c.opt.Codec.Append(before, m)
	if err == nil && int64(len(run)-len(before)) > c.opt.MaxMessage-gatherLimit {
		err = ErrTooLarge
	}
	if err != nil {
		c.queue[last] = before
		return err
	}
	c.queue[last] = run
	c.queued += len(run) - len(before)
	return nil
}

func (c *Conn) fail(err error) error {
	return &api.Error{Step: api.StepLink, Peer: string(c.peer.Instance), Outcome: api.OutcomeUnknown, Reason: api.ReasonLinkLost, Err: err}
}

// Close ends the link from this side.
func (c *Conn) Close() { c.end(CloseLocal) }

func (c *Conn) end(why string) {
	c.mu.Lock()
	if c.why != "" {
		c.mu.Unlock()
		return
	}
	c.why = why
	c.queue = nil
	close(c.closed)
	c.mu.Unlock()
	closeSocket(c.ws)
	c.opt.Observer.LinkClosed(c.peer, why)
}

// closeSocket closes the connection itself. On the accepting side the server
// library's Close does nothing until its handler has returned, so that a link
// ended here would go on reading for as long as its peer pings: a backlog would
// stop nobody and a shutdown would wait for ever.
func closeSocket(ws *websocket.Conn) {
	if hijacked, ok := ws.NetConn().(interface{ UnsafeConn() net.Conn }); ok {
		_ = hijacked.UnsafeConn().Close()
	}
	_ = ws.Close()
}

// Run reads until the link ends and gives each message to handle, in order, on
// this goroutine. It returns why the link ended. It returns early when ctx is
// done.
func (c *Conn) Run(ctx context.Context, handle func(wire.Message)) string {
	var wg conc.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(func() {
		select {
		case <-ctx.Done():
			c.end(CloseLocal)
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
		c.extendRead()
		return c.ws.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(controlWriteTimeout))
	})
	c.ws.SetPongHandler(func(string) error {
		c.extendRead()
		return nil
	})
	for {
		c.extendRead()
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			c.end(readEnd(err))
			return
		}
		if !c.dispatch(data, handle) {
			return
		}
	}
}

func (c *Conn) extendRead() { _ = c.ws.SetReadDeadline(time.Now().Add(c.opt.Silence)) }

func (c *Conn) dispatch(data []byte, handle func(wire.Message)) bool {
	for len(data) > 0 {
		m, rest, err := c.opt.Codec.Decode(data)
		if err != nil {
			c.end(CloseMalformed)
			return false
		}
		handle(m)
		data = rest
	}
	return true
}

func readEnd(err error) string {
	var nerr net.Error
	if errors.As(err, &nerr) && nerr.Timeout() {
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
			if err := c.ws.WriteControl(websocket.PingMessage, nil, time.Now().Add(c.opt.Silence)); err != nil {
				c.end(CloseWrite)
				return
			}
		case <-c.wake:
			if !c.drain() {
				return
			}
		}
	}
}

// drain writes what is queued, with the write deadline at the silence bound: a
// write that makes no progress for so long is a stalled link.
func (c *Conn) drain() bool {
	for {
		c.mu.Lock()
		runs := c.queue
		c.queue = nil
		c.queued = 0
		c.mu.Unlock()
		if len(runs) == 0 {
			return true
		}
		for _, run := range runs {
			if !c.write(run) {
				return false
			}
		}
	}
}

func (c *Conn) write(run []byte) bool {
	_ = c.ws.SetWriteDeadline(time.Now().Add(c.opt.Silence))
	if err := c.ws.WriteMessage(websocket.BinaryMessage, run); err != nil {
		c.end(CloseWrite)
		return false
	}
	return true
}

// handshakeError wraps a failure with the step and the peer's address.
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
