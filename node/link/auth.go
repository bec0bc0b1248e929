package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"almondseam.dev/core/api"
)

// protocolVersion is incremented when consecutive versions of the protocol can no
// longer understand each other. A peer with another version is rejected.
const protocolVersion = 1

const nonceSize = 32

// ErrProof reports that the peer did not prove that it holds the fleet key.
var ErrProof = errors.New("link: peer does not hold the fleet key")

// ErrVersion reports a peer that speaks another version of the protocol.
var ErrVersion = errors.New("link: peer speaks another protocol version")

// Role is the kind of a process at one end of a link.
type Role string

// The roles of the processes that use links.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Peer is the identity that a process sends in the handshake. The proofs of both
// ends cover both identities.
type Peer struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Zone     api.Zone       `cbor:"2,keyasint,omitempty"`
	Role     Role           `cbor:"3,keyasint"`
	// Start distinguishes two runs of a process on the same instance.
	Start uint64 `cbor:"4,keyasint,omitempty"`
}

// hello is the first handshake message that each end sends.
type hello struct {
	Version int    `cbor:"1,keyasint"`
	Peer    Peer   `cbor:"2,keyasint"`
	Nonce   []byte `cbor:"3,keyasint"`
	// Proof is set by the accepting end only: it answers the dialling end's hello
	// and so knows the nonces of both ends.
	Proof []byte `cbor:"4,keyasint,omitempty"`
}

// confirm is the last handshake message and carries the dialling end's proof.
type confirm struct {
	Proof []byte `cbor:"1,keyasint"`
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}

// proof returns an HMAC with the fleet key over the proving side, both nonces and
// both identities. Without the side an attacker could reflect the proof of one end
// back to it; without the identities an attacker could relay the nonces and change
// who the ends claim to be.
func proof(key []byte, side string, dialler, acceptor hello) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(side),
		dialler.Nonce, peerBytes(dialler.Peer),
		acceptor.Nonce, peerBytes(acceptor.Peer),
	} {
		mac.Write(lengthPrefix(part))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func lengthPrefix(b []byte) []byte {
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
