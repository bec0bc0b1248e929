// Package stream keeps one generation whole on its way from an agent to a
// caller: the agent's Buffer holds items until they are acknowledged and a while
// longer for a caller that returns; the entry's Receiver lets each item through
// once, in order, from one generation, and checks the total at the end.
//
// An item is an opaque run of bytes. Items travel packed: each is preceded by
// its length as an unsigned varint.
package stream

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrPacked reports a packed run whose lengths do not add up.
var ErrPacked = errors.New("stream: packed items are malformed")

// Append packs one item onto dst.
func Append(dst, item []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(item)))
	return append(dst, item...)
}

// Next splits the first item off a packed run. The item aliases packed.
func Next(packed []byte) (item, rest []byte, err error) {
	n, w := binary.Uvarint(packed)
	if w <= 0 || n > uint64(len(packed)-w) {
		return nil, nil, ErrPacked
	}
	end := w + int(n)
	return packed[w:end], packed[end:], nil
}

// Count checks a packed run and counts its items.
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

// skip drops the first n items of a packed run.
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
