package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"almondseam.dev/core/api"
)

// protocolVersion is raised when a neighbouring version can no longer be
// understood.
const protocolVersion = 1

const nonceSize = 32

// ErrProof reports a peer that does not hold the fleet key.
var ErrProof = errors.New("link: peer does not hold the fleet key")

// ErrVersion reports a peer that speaks another version of the protocol.
var ErrVersion = errors.New("link: peer speaks another protocol version")

// Role tells what a process is on a link.
type Role string

// The roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Peer is what a process says of itself in the handshake. Both ends' words are
// covered by the proofs.
type Peer struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Zone     api.Zone       `cbor:"2,keyasint,omitempty"`
	Role     Role           `cbor:"3,keyasint"`
	// Start tells two runs of one instance apart.
	Start uint64 `cbor:"4,keyasint,omitempty"`
}

// hello is the first message of each side.
type hello struct {
	Version int    `cbor:"1,keyasint"`
	Peer    Peer   `cbor:"2,keyasint"`
	Nonce   []byte `cbor:"3,keyasint"`
	// Proof is set by the accepting side, which has seen the other's nonce.
	Proof []byte `cbor:"4,keyasint,omitempty"`
}

// confirm is the dialling side's proof.
type confirm struct {
	Proof []byte `cbor:"1,keyasint"`
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}

// proof binds the key to both nonces, both peers and the direction. Without the
// direction an attacker could send a side's own proof back to it; without the
// peers it could keep the nonces and change the names.
func proof(key []byte, side string, dialler, acceptor hello) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(side),
		dialler.Nonce, peerBytes(dialler.Peer),
		acceptor.Nonce, peerBytes(acceptor.Peer),
	} {
		mac.Write(lengthOf(part))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func lengthOf(b []byte) []byte {
	n := len(b)
	return []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
}

func peerBytes(p Peer) []byte {
	b, err := handshakeEnc.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return b
}

func checkProof(got, want []byte) error {
	if subtle.ConstantTimeCompare(got, want) != 1 {
		return ErrProof
	}
	return nil
}

const (
	sideDialler  = "dialler"
	sideAcceptor = "acceptor"
)
