package consensus

import (
	"fmt"

	"almondseam.dev/core/codec"
)

// Decoder limits. They keep the cost of decoding a damaged or hostile input in
// proportion to its length.
const (
	maxDecodedArray  = 1 << 16
	maxDecodedPairs  = 32
	maxDecodedNested = 8
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Nesting: maxDecodedNested, Items: maxDecodedArray, Pairs: maxDecodedPairs})
)

// Encode returns the deterministic CBOR encoding of v, for example a Message,
// Entry, HardState, Membership or Snapshot.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode decodes the output of Encode into the value that v points to. It limits
// nesting and element counts, and returns an error if bytes are left over. The
// caller must limit len(b).
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func encodeMembership(m Membership) []byte {
	b, err := Encode(m)
	if err != nil {
		panic(err) // a struct of integers and strings always encodes
	}
	return b
}

// DecodeMembership decodes and validates the Data of an EntryMembership.
func DecodeMembership(b []byte) (Membership, error) {
	var m Membership
	if err := Decode(b, &m); err != nil {
		return m, err
	}
	return m, m.validate()
}
