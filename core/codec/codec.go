// Package codec gives the CBOR modes (RFC 8949) that every package of the project
// encodes and decodes with: deterministic, and bounded on the way in.
package codec

import "github.com/fxamacker/cbor/v2"

// Bounds limit what a decoder takes. A peer or a damaged file that exceeds one
// costs an error, never the memory that its lengths promise.
type Bounds struct {
	// Nesting is the depth of arrays and maps; Items and Pairs bound one array
	// and one map.
	Nesting int
	Items   int
	Pairs   int
	// Strict refuses keys and array elements that the Go type doesn't know. It
	// is for documents; messages ignore them, so that neighbouring versions
	// understand each other.
	Strict bool
}

// Encoder gives the deterministic encoding: equal values have equal bytes, which
// digests and comparisons of snapshots rely on.
func Encoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Decoder gives a decoder that refuses repeated keys, indefinite lengths and
// tags besides what exceeds b. It panics on bounds that the library doesn't take,
// which is a mistake in the program.
func Decoder(b Bounds) cbor.DecMode {
	opt := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  b.Nesting,
		MaxArrayElements: b.Items,
		MaxMapPairs:      b.Pairs,
	}
	if b.Strict {
		opt.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	}
	m, err := opt.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
