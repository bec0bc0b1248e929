package link

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"almondseam.dev/core/api"
	"github.com/fasthttp/websocket"
)

// path is the HTTP path on which links are accepted.
const path = "/link"

// Dial opens a link to addr ("host:port"). Both ends prove in the handshake that
// they hold the fleet key. ctx bounds the connection and the WebSocket upgrade;
// reading the handshake has a timeout of its own. Dial does not wait for the peer to
// check this end's proof: if the peer rejects it, the link closes with ClosePeer.
func Dial(ctx context.Context, addr string, opt Options) (*Conn, error) {
	opt = opt.withDefaults()
	d := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferSize,
		WriteBufferSize:  bufferSize,
		NetDialContext:   opt.NetDial,
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
	local := hello{Version: protocolVersion, Peer: opt.Self, Nonce: newNonce()}
	if err := writeHandshake(ws, local); err != nil {
		return Peer{}, err
	}
	var remote hello
	if err := readHandshake(ws, &remote); err != nil {
		return Peer{}, err
	}
	if remote.Version != protocolVersion {
		return Peer{}, fmt.Errorf("%w: %d", ErrVersion, remote.Version)
	}
	if err := checkProof(remote.Proof, proof(opt.Key, sideAcceptor, local, remote)); err != nil {
		return Peer{}, err
	}
	if err := writeHandshake(ws, confirm{Proof: proof(opt.Key, sideDialler, local, remote)}); err != nil {
		return Peer{}, err
	}
	return remote.Peer, nil
}
