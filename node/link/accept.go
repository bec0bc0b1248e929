package link

import (
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
)

// Acceptor accepts links on a fasthttp server. Its Handler must be installed on
// the server that listens for connections of the system's own processes.
type Acceptor struct {
	opt      Options
	serve    func(*Conn)
	upgrader websocket.FastHTTPUpgrader
}

// NewAcceptor returns an acceptor that calls serve, on a separate goroutine, for
// each link whose handshake has succeeded. serve must run the link and return
// when the link has ended.
func NewAcceptor(opt Options, serve func(*Conn)) *Acceptor {
	return &Acceptor{
		opt:   opt.withDefaults(),
		serve: serve,
		upgrader: websocket.FastHTTPUpgrader{
			HandshakeTimeout: handshakeTimeout,
			ReadBufferSize:   bufferSize,
			WriteBufferSize:  bufferSize,
		},
	}
}

// Handler upgrades requests for the link path to WebSocket connections and
// answers all other requests with 404.
func (a *Acceptor) Handler(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	below := ctx.Conn()
	if err := a.upgrader.Upgrade(ctx, func(ws *websocket.Conn) { a.accept(ws, below) }); err != nil {
		a.opt.Observer.HandshakeFailed(err)
	}
}

// establisher is a connection that wants to know when the handshake has succeeded; see inbound.Conn.
type establisher interface{ Established() }

func (a *Acceptor) accept(ws *websocket.Conn, below net.Conn) {
	peer, err := a.handshake(ws)
	if err != nil {
		a.opt.Observer.HandshakeFailed(err)
		_ = ws.Close()
		return
	}
	if c, ok := below.(establisher); ok {
		c.Established()
	}
	a.serve(newConn(ws, a.opt, peer))
}

func (a *Acceptor) handshake(ws *websocket.Conn) (Peer, error) {
	_ = ws.SetReadDeadline(time.Now().Add(handshakeTimeout))
	ws.SetReadLimit(handshakeLimit)
	var remote hello
	if err := readHandshake(ws, &remote); err != nil {
		return Peer{}, err
	}
	if remote.Version != protocolVersion {
		return Peer{}, fmt.Errorf("%w: %d", ErrVersion, remote.Version)
	}
	if len(remote.Nonce) != nonceSize {
		return Peer{}, ErrProof
	}
	local := hello{Version: protocolVersion, Peer: a.opt.Self, Nonce: newNonce()}
	local.Proof = proof(a.opt.Key, sideAcceptor, remote, local)
	if err := writeHandshake(ws, local); err != nil {
		return Peer{}, err
	}
	var c confirm
	if err := readHandshake(ws, &c); err != nil {
		return Peer{}, err
	}
	if err := checkProof(c.Proof, proof(a.opt.Key, sideDialler, remote, local)); err != nil {
		return Peer{}, err
	}
	return remote.Peer, nil
}
