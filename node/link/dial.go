package link

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/fieldline"
	"github.com/fasthttp/websocket"
)

// path is the HTTP path on which links are accepted.
const path = "/link"

// Dial opens a link to addr ("host:port"). Both ends prove in the handshake that
// they hold the fleet key. ctx bounds the connection, the WebSocket upgrade and the
// handshake, which also has a timeout of its own. Dial does not wait for the peer to
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
	if err := checkUpgrade(resp); err != nil {
		_ = ws.Close()
		return nil, &api.Error{Step: api.StepLink, Peer: addr, Outcome: api.OutcomeNotRun, Reason: api.ReasonLinkLost, Err: err}
	}
	peer, err := dialHandshake(ctx, ws, opt)
	if ctx.Err() != nil {
		_ = ws.Close()
		return nil, &api.Error{Step: api.StepHandshake, Peer: addr, Outcome: api.OutcomeNotRun, Reason: api.ReasonLinkLost, Err: context.Cause(ctx)}
	}
	if err != nil {
		_ = ws.Close()
		opt.Observer.HandshakeFailed(err)
		return nil, handshakeError(addr, err)
	}
	return newConn(ws, opt, peer), nil
}

// checkUpgrade returns an error if the response to the upgrade has a field without a valid name, which the WebSocket
// library takes.
func checkUpgrade(resp *http.Response) error {
	for name := range resp.Header {
		if err := fieldline.CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// dialHandshake proves this end's identity and checks the peer's. When ctx is done it closes the
// connection: a peer that stopped after the upgrade sends nothing more, and may not close it either.
func dialHandshake(ctx context.Context, ws *websocket.Conn, opt Options) (Peer, error) {
	stop := context.AfterFunc(ctx, func() { _ = ws.NetConn().Close() })
	peer, err := exchangeProofs(ws, opt)
	stop()
	return peer, err
}

func exchangeProofs(ws *websocket.Conn, opt Options) (Peer, error) {
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
