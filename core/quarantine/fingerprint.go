// Package quarantine decides which requests are refused because they crash the targets that run
// them. It attributes the crashes of targets to the requests that were in progress there.
//
// The package reads no clock: the caller passes in the time. A Table is not safe for concurrent
// use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"almondseam.dev/core/api"
)

// Fingerprint identifies requests that are the same: from the same customer, with the same host,
// method, path, query and body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The hash is cryptographic, because a
// customer that could construct a request with another one's fingerprint could have that request
// refused.
func FingerprintOf(customer api.CustomerID, host, method, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(customer), host, method, uri} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// PartFingerprint returns the fingerprint of a prompt's part, as the targets of a service read it. It
// depends on nothing else that a request holds. It differs from that of any request, whose first
// field is a customer's ID.
func PartFingerprint(service api.ServiceID, part string) Fingerprint {
	return FingerprintOf("\x00part", string(service), part, "", nil)
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(Fingerprint{}) {
		return Fingerprint{}, fmt.Errorf("%q is not a fingerprint of %d hexadecimal digits", s, 2*len(Fingerprint{}))
	}
	return Fingerprint(b), nil
}
