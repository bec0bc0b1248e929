package origin

import (
	"crypto/sha256"
	"encoding/binary"

	"almondseam.dev/core/api"
)

// Key identifies a stream by the customer and the request that brought its first event.
type Key [16]byte

// KeyOf returns the key of the stream of a request. It depends on the customer, so that no customer
// can change what is known of another one's streams. The customer is empty on a public route.
func KeyOf(customer api.CustomerID, request api.RequestID) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(customer)))
	h.Write(length[:])
	h.Write([]byte(customer))
	h.Write([]byte(request))
	return Key(h.Sum(nil)[:len(Key{})])
}
