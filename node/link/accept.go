package link

import (
	"fmt"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
)

// Acceptor takes links on a fasthttp server. Give its Handler to the server
// that listens for the system's own processes.
type Acceptor struct {
	opt      Options
	serve    func(*Conn)
	upgrader websocket.FastHTTPUpgrader
}

// NewAcceptor makes an acceptor that calls serve for each proved link, on a
// goroutine of its own. serve runs the link and returns when it has ended.
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

// Handler upgrades requests for the link path and refuses all others.
func (a *Acceptor) Handler(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if err := a.upgrader.Upgrade(ctx, a.accept); err != nil {
		a.opt.Observer.HandshakeFailed(err)
	}
}

func (a *Acceptor) accept(ws *websocket.Conn) {
	peer, err := a.handshake(ws)
	if err != nil {
		a.opt.Observer.HandshakeFailed(err)
		_ = ws.Close()
		return
	}
	a.serve(newConn(ws, a.opt, peer))
}

func (a *Acceptor) handshake(ws *websocket.Conn) (Peer, error) {
	_ = ws.SetReadDeadline(time.Now().Add(handshakeTimeout))
	ws.SetReadLimit(handshakeLimit)
	var theirs hello
	if err := readHandshake(ws, &theirs); err != nil {
		return Peer{}, err
	}
	if theirs.Version != protocolVersion {
		return Peer{}, fmt.Errorf("%w: %d", ErrVersion, theirs.Version)
	}
	if len(theirs.Nonce) != nonceSize {
		return Peer{}, ErrProof
	}
	mine := hello{Version: protocolVersion, Peer: a.opt.Self, Nonce: newNonce()}
	mine.Proof = proof(a.opt.Key, sideAcceptor, theirs, mine)
	if err := writeHandshake(ws, mine); err != nil {
		return Peer{}, err
	}
	var c confirm
	if err := readHandshake(ws, &c); err != nil {
		return Peer{}, err
	}
	if err := checkProof(c.Proof, proof(a.opt.Key, sideDialler, theirs, mine)); err != nil {
		return Peer{}, err
	}
	return theirs.Peer, nil
}
