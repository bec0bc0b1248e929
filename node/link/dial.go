package link

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"almondseam.dev/core/api"
	"github.com/fasthttp/websocket"
)

// path is where links are accepted.
const path = "/link"

// Dial opens a link to addr ("host:port") and proves the fleet key both ways.
func Dial(ctx context.Context, addr string, opt Options) (*Conn, error) {
	opt = opt.withDefaults()
	d := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferSize,
		WriteBufferSize:  bufferSize,
	}
	ws, resp, err := d.DialContext(ctx, "ws://"+addr+path, http.Header{})
	if err != nil {
		return nil, &api.Error{Step: api.StepLink, Peer: addr, Outcome: api.OutcomeNotRun, Reason: api.ReasonLinkLost, Err: err}
	}
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	peer, err := dialHandshake(ws, opt)
	if err != nil {
		_ = ws.Close()
		opt.Observer.HandshakeFailed(err)
		return nil, handshakeError(addr, err)
	}
	return newConn(ws, opt, peer), nil
}

func dialHandshake(ws *websocket.Conn, opt Options) (Peer, error) {
	_ = ws.SetReadDeadline(time.Now().Add(handshakeTimeout))
	ws.SetReadLimit(handshakeLimit)
	mine := hello{Version: protocolVersion, Peer: opt.Self, Nonce: newNonce()}
	if err := writeHandshake(ws, mine); err != nil {
		return Peer{}, err
	}
	var theirs hello
	if err := readHandshake(ws, &theirs); err != nil {
		return Peer{}, err
	}
	if theirs.Version != protocolVersion {
		return Peer{}, fmt.Errorf("%w: %d", ErrVersion, theirs.Version)
	}
	if err := checkProof(theirs.Proof, proof(opt.Key, sideAcceptor, mine, theirs)); err != nil {
		return Peer{}, err
	}
	if err := writeHandshake(ws, confirm{Proof: proof(opt.Key, sideDialler, mine, theirs)}); err != nil {
		return Peer{}, err
	}
	return theirs.Peer, nil
}
