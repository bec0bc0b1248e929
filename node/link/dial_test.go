package link

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/fasthttp/websocket"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestDialEndsWithItsContext guards against a dial that outlives the time it was given because the peer
// stops after the upgrade of the connection and before its first message.
func TestDialEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addr := listenWebSocket(c, func(ws *websocket.Conn) {
		_, _, _ = ws.ReadMessage()
		cancel()
		_, _, _ = ws.ReadMessage() // returns once the dialling end has closed the connection
	})
	_, err := Dial(ctx, addr, options("k", RoleAgent))
	c.Assert(err, qt.ErrorIs, context.Canceled)
}

// listenWebSocket accepts WebSocket connections on the loopback interface until the test ends. It returns
// the address.
func listenWebSocket(c *qt.C, serve func(*websocket.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var upgrader websocket.FastHTTPUpgrader
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = upgrader.Upgrade(ctx, serve) }}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	c.TB.(*testing.T).Cleanup(func() {
		_ = srv.Shutdown()
		<-done
	})
	return ln.Addr().String()
}

// TestNamesAreResolvedAtEachDial guards against a process that never reaches its peers again although their name leads
// to other machines now.
func TestNamesAreResolvedAtEachDial(t *testing.T) {
	c := qt.New(t)
	var dialled []string
	refused := errors.New("refused")
	opt := Options{Key: []byte("key"), NetDial: func(_ context.Context, _, addr string) (net.Conn, error) {
		dialled = append(dialled, addr)
		return nil, refused
	}}
	for range 2 {
		_, err := Dial(context.Background(), "members.example:7401", opt)
		c.Assert(errors.Is(err, refused), qt.IsTrue)
	}
	c.Assert(dialled, qt.DeepEquals, []string{"members.example:7401", "members.example:7401"})
}
