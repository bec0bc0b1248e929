package link

import (
	"context"
	"net"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
	"github.com/fasthttp/websocket"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The server library keeps a clock for the Date header and an idle-worker
	// sweep that sleeps on after Shutdown; neither holds anything of ours.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

var pathCodec = wire.NewCodec(wire.PathProtos()...)

func options(key string, role Role) Options {
	return Options{Key: []byte(key), Self: Peer{Instance: api.InstanceID(role), Role: role}, Codec: pathCodec}
}

// listen accepts links on loopback until the test ends.
func listen(t *testing.T, opt Options, serve func(*Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: NewAcceptor(opt, serve).Handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = srv.Shutdown()
		<-done
	})
	return ln.Addr().String()
}

func TestMessagesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	const n = 1000
	got := make(chan uint64, n)
	addr := listen(t, options("k", RoleEntry), func(conn *Conn) {
		conn.Run(context.Background(), func(m wire.Message) { got <- m.(*wire.Ack).Offset })
	})
	conn, err := Dial(context.Background(), addr, options("k", RoleAgent))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Peer().Role, qt.Equals, RoleEntry)
	ran := make(chan string)
	go func() { ran <- conn.Run(context.Background(), func(wire.Message) {}) }()
	for i := range uint64(n) {
		c.Assert(conn.Send(&wire.Ack{Offset: i}), qt.IsNil)
	}
	for i := range uint64(n) {
		c.Assert(<-got, qt.Equals, i)
	}
	conn.Close()
	c.Assert(<-ran, qt.Equals, CloseLocal)
	c.Assert(conn.Send(&wire.Ack{}), qt.ErrorIs, ErrClosed)
}

// A process with another fleet key dials. It must learn nothing and be able to
// send nothing: each end proves the key before any message is taken.
func TestWrongKeyIsRefusedByTheDiallerFirst(t *testing.T) {
	c := qt.New(t)
	addr := listen(t, options("right", RoleEntry), func(conn *Conn) { t.Error("served") })
	_, err := Dial(context.Background(), addr, options("wrong", RoleAgent))
	c.Assert(err, qt.ErrorIs, ErrProof)
}

// A peer skips the proof check on its side and sends its messages at once. The
// accepting end must not serve it.
func TestAcceptorRefusesBadProof(t *testing.T) {
	c := qt.New(t)
	addr := listen(t, options("right", RoleEntry), func(conn *Conn) { t.Error("served") })
	ws, _, err := websocket.DefaultDialer.Dial("ws://"+addr+path, nil)
	c.Assert(err, qt.IsNil)
	defer ws.Close()
	c.Assert(writeHandshake(ws, hello{Version: protocolVersion, Nonce: newNonce()}), qt.IsNil)
	var h hello
	c.Assert(readHandshake(ws, &h), qt.IsNil)
	c.Assert(writeHandshake(ws, confirm{Proof: h.Proof}), qt.IsNil)
	_, _, err = ws.ReadMessage()
	c.Assert(err, qt.IsNotNil)
}

// The peer's bytes are not CBOR, or name a kind nobody knows. The link ends
// with a counted reason and the process goes on.
func TestMalformedMessageEndsTheLink(t *testing.T) {
	for name, raw := range map[string][]byte{
		"truncated":     {0x0a, 0xa2},
		"unknown kind":  {0x18, 0xff, 0xa0},
		"not a kind":    {0xff},
		"wrong type":    {0x0a, 0x61, 'x'},
		"deep nesting":  {0x0a, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x00},
		"huge declared": {0x0a, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			why := make(chan string, 1)
			addr := listen(t, options("k", RoleEntry), func(conn *Conn) {
				why <- conn.Run(context.Background(), func(wire.Message) {})
			})
			conn, err := Dial(context.Background(), addr, options("k", RoleAgent))
			c.Assert(err, qt.IsNil)
			c.Assert(conn.ws.WriteMessage(websocket.BinaryMessage, raw), qt.IsNil)
			c.Assert(<-why, qt.Equals, CloseMalformed)
			conn.Close()
		})
	}
}

// The link stalls without closing: TCP stays up, nothing arrives. Both ends
// must notice within the silence bound, or streams would hang for ever.
func TestSilenceEndsTheLink(t *testing.T) {
	c := qt.New(t)
	opt := options("k", RoleEntry)
	opt.Silence = 200 * time.Millisecond
	why := make(chan string, 1)
	addr := listen(t, opt, func(conn *Conn) {
		why <- conn.Run(context.Background(), func(wire.Message) {})
	})
	conn, err := Dial(context.Background(), addr, options("k", RoleAgent))
	c.Assert(err, qt.IsNil)
	// Run is never called on this end, so it neither reads nor pings.
	c.Assert(<-why, qt.Equals, CloseSilence)
	conn.Close()
}

// The peer stops reading. The queue reaches its bound and the link ends; the
// sender never blocks.
func TestBacklogEndsTheLink(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	defer close(ended)
	addr := listen(t, options("k", RoleEntry), func(conn *Conn) {
		<-ended
		conn.Close()
	})
	opt := options("k", RoleAgent)
	opt.MaxQueue = 1 << 10
	conn, err := Dial(context.Background(), addr, opt)
	c.Assert(err, qt.IsNil)
	for range 2000 {
		if err = conn.Send(&wire.Data{Packed: make([]byte, 64)}); err != nil {
			break
		}
	}
	c.Assert(err, qt.ErrorIs, ErrClosed)
	c.Assert(conn.CloseReason(), qt.Equals, CloseBacklog)
}

func FuzzDecode(f *testing.F) {
	seed, err := pathCodec.Append(nil, &wire.Data{Generation: "g", N: 1, Packed: []byte{1, 'a'}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			_, rest, err := pathCodec.Decode(data)
			if err != nil {
				return
			}
			if len(rest) >= len(data) {
				t.Fatal("no progress")
			}
			data = rest
		}
	})
}

// The accepting side ends a link whose peer is alive and pings on. Both ends must
// be gone at once; before, the accepting one read on until its peer fell silent.
func TestAcceptorCanEndALink(t *testing.T) {
	c := qt.New(t)
	opt := options("k", RoleEntry)
	accepted := make(chan *Conn, 1)
	why := make(chan string, 1)
	addr := listen(t, opt, func(conn *Conn) {
		accepted <- conn
		why <- conn.Run(context.Background(), func(wire.Message) {})
	})
	conn, err := Dial(context.Background(), addr, options("k", RoleAgent))
	c.Assert(err, qt.IsNil)
	ran := make(chan string, 1)
	go func() { ran <- conn.Run(context.Background(), func(wire.Message) {}) }()
	(<-accepted).Close()
	c.Assert(<-why, qt.Equals, CloseLocal)
	c.Assert(<-ran, qt.Equals, ClosePeer)
}
