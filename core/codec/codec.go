// Package codec provides the CBOR modes (RFC 8949) that the packages of this project
// share. Encoding is deterministic, and decoding is bounded.
package codec

import "github.com/fxamacker/cbor/v2"

// Bounds limits what a decoder accepts. Input from a peer or a damaged file that
// exceeds a bound is rejected with an error before memory is allocated for the
// lengths that it declares.
type Bounds struct {
	// Nesting is the maximum depth of nested arrays and maps. Items is the maximum
	// number of elements of one array, Pairs that of one map.
	Nesting int
	Items   int
	Pairs   int
	// Strict rejects map keys for which the Go type has no field. It is meant for
	// documents. Messages are decoded without it and ignore such keys, so that
	// adjacent versions of the software understand each other. An array that is
	// decoded into a struct must have exactly the struct's length in either case.
	Strict bool
}

// Encoder returns the deterministic encoding mode: equal values have equal bytes,
// which digests and comparisons of snapshots rely on.
func Encoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Decoder returns a decoding mode that rejects repeated keys, indefinite lengths,
// tags and whatever exceeds b. It panics on bounds that the library does not accept,
// since they are a programming error.
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
