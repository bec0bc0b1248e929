package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds on what is decoded, so that a damaged or hostile input costs no more
// than its own length.
const (
	maxDecodedArray  = 1 << 16
	maxDecodedPairs  = 32
	maxDecodedNested = 8
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	em, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return em
}

func mustDecMode() cbor.DecMode {
	dm, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxDecodedArray,
		MaxMapPairs:      maxDecodedPairs,
		MaxNestedLevels:  maxDecodedNested,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}

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
