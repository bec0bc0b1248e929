package consensus

import (
	"fmt"

	"almondseam.dev/core/codec"
)

// Bounds on what is decoded, so that a damaged or hostile input costs no more
// than its own length.
const (
	maxDecodedArray  = 1 << 16
	maxDecodedPairs  = 32
	maxDecodedNested = 8
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Nesting: maxDecodedNested, Items: maxDecodedArray, Pairs: maxDecodedPairs})
)

// Encode gives v (Message, Entry, HardState, Membership or Snapshot) as
// deterministic CBOR.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode reads what Encode wrote into the pointer v, within bounds on nesting
// and counts; bytes left over are an error. The caller bounds len(b).
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

// DecodeMembership reads the Data of an EntryMembership.
func DecodeMembership(b []byte) (Membership, error) {
	var m Membership
	if err := Decode(b, &m); err != nil {
		return m, err
	}
	return m, m.validate()
}
