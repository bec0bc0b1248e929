package link

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
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

// TestUpgradeWithABadHeadOpensNoLink guards against a link to something that answers the upgrade with a head which is no
// response's.
func TestUpgradeWithABadHeadOpensNoLink(t *testing.T) {
	for _, tt := range []struct{ status, line string }{
		{"101 Switching Protocols", "X Bad: v"}, {"101 Switching Protocols", "X-Bad : v"}, {"101 Switching Protocols", "X\tBad: v"},
		{"101 Switching Protocols", "X\x00Bad: v"}, {"101 Switching Protocols", "Upgrade : other"},
		{"000 Nothing", "Content-Length: 0"}, {"200 OK", "Content-Length: 0"}, {"100 Continue", "Content-Length: 0"},
	} {
		t.Run(fmt.Sprintf("%s/%q", tt.status, tt.line), func(t *testing.T) {
			c := qt.New(t)
			upgraded := make(chan bool, 1)
			addr := listenRaw(c, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-Websocket-Accept: %s\r\n%s\r\n\r\n",
					tt.status, websocketAccept(req.Header.Get("Sec-Websocket-Key")), tt.line)
				_, err = r.ReadByte()
				upgraded <- err == nil
			})
			_, err := Dial(t.Context(), addr, options("k", RoleAgent))
			c.Assert(err, qt.IsNotNil)
			c.Assert(<-upgraded, qt.IsFalse, qt.Commentf("the handshake was begun"))
		})
	}
}

// websocketAccept returns the proof of a WebSocket server for a client's key (RFC 6455, section 4.2.2).
func websocketAccept(key string) string {
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// listenRaw accepts connections on the loopback interface until the test ends. It returns the address.
func listenRaw(c *qt.C, serve func(conn net.Conn, r *bufio.Reader)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serve(conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}
