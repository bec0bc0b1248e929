// Package stream transfers the items of one generation from an agent to a caller
// without loss, duplication or reordering. The agent's Buffer holds items until
// they are acknowledged, and some of them longer for a caller that reconnects.
// The entry's Receiver accepts each item once, in order and from one generation
// only, and checks the number of items and their checksum at the end.
//
// An item is an opaque byte string. A packed item is preceded by its length as an
// unsigned varint; a packed run is a concatenation of packed items.
package stream

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrPacked is returned for a malformed packed run or a run whose number of items
// differs from the stated one.
var ErrPacked = errors.New("stream: packed items are malformed")

// Append appends one packed item to dst.
func Append(dst, item []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(item)))
	return append(dst, item...)
}

// Next returns the first item of a packed run and the rest of the run. Both alias
// packed.
func Next(packed []byte) (item, rest []byte, err error) {
	n, w := binary.Uvarint(packed)
	if w <= 0 || n > uint64(len(packed)-w) {
		return nil, nil, ErrPacked
	}
	end := w + int(n)
	return packed[w:end], packed[end:], nil
}

// Count returns the number of items in a packed run, or ErrPacked if the run is
// malformed.
func Count(packed []byte) (int, error) {
	n := 0
	for len(packed) > 0 {
		_, rest, err := Next(packed)
		if err != nil {
			return 0, err
		}
		packed = rest
		n++
	}
	return n, nil
}

// skip returns a packed run without its first n items.
func skip(packed []byte, n uint64) ([]byte, error) {
	for range n {
		_, rest, err := Next(packed)
		if err != nil {
			return nil, fmt.Errorf("skip: %w", err)
		}
		packed = rest
	}
	return packed, nil
}
