package stream

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// ErrBeforeWindow is returned for an offset whose items are no longer held.
var ErrBeforeWindow = errors.New("stream: offset is before the replay window")

// ErrBeyondEnd is returned for an offset beyond the items appended so far.
var ErrBeyondEnd = errors.New("stream: offset is beyond the end")

// Buffer holds the items of one generation at its agent. Offsets count items
// from 0. Acknowledged items are kept while they fit into the replay window, so
// that a caller which reconnects can be served again; unacknowledged ones are
// never dropped. A Buffer is not safe for concurrent use.
type Buffer struct {
	base   uint64 // offset of the first item held
	end    uint64 // offset after the last item
	acked  uint64 // items below are delivered
	packed []byte // items base..end
	window int    // bytes of acknowledged items to keep
	ackPos int    // position of item acked within packed
	sum    xxhash.Digest
}

// NewBuffer makes a buffer that keeps up to window bytes of acknowledged items.
func NewBuffer(window int) *Buffer {
	b := &Buffer{window: window}
	b.sum.Reset()
	return b
}

// Append adds an item and gives its offset.
func (b *Buffer) Append(item []byte) uint64 {
	start := len(b.packed)
	b.packed = Append(b.packed, item)
	_, _ = b.sum.Write(b.packed[start:])
	off := b.end
	b.end++
	return off
}

// End is the offset after the last item, which is the count of all items.
func (b *Buffer) End() uint64 { return b.end }

// Acked is the offset below which all items are acknowledged.
func (b *Buffer) Acked() uint64 { return b.acked }

// Unacked counts the bytes not yet acknowledged.
func (b *Buffer) Unacked() int { return len(b.packed) - b.ackPos }

// Held counts all bytes held.
func (b *Buffer) Held() int { return len(b.packed) }

// Sum is the checksum over all items appended, lengths included.
func (b *Buffer) Sum() uint64 { return b.sum.Sum64() }

// From copies items starting at off into dst, at most max bytes but at least
// one item if there is one. It gives the packed run and the count of items.
func (b *Buffer) From(dst []byte, off uint64, max int) ([]byte, int, error) {
	if off < b.base {
		return dst, 0, ErrBeforeWindow
	}
	if off > b.end {
		return dst, 0, ErrBeyondEnd
	}
	p, err := b.seek(off)
	if err != nil {
		return dst, 0, err
	}
	return takeRun(dst, p, max)
}

// seek finds the packed run that starts at off, from the nearer known position.
func (b *Buffer) seek(off uint64) ([]byte, error) {
	if off >= b.acked {
		return skip(b.packed[b.ackPos:], off-b.acked)
	}
	return skip(b.packed, off-b.base)
}

func takeRun(dst, p []byte, max int) ([]byte, int, error) {
	n, taken := 0, 0
	rest := p
	for len(rest) > 0 {
		_, after, err := Next(rest)
		if err != nil {
			return dst, 0, err
		}
		size := len(rest) - len(after)
		if n > 0 && taken+size > max {
			break
		}
		taken += size
		n++
		rest = after
	}
	return append(dst, p[:taken]...), n, nil
}

// Ack marks the items below off as delivered. An older or repeated
// acknowledgement changes nothing; one beyond the end is refused, since it would
// drop items that nobody has received.
func (b *Buffer) Ack(off uint64) error {
	if off > b.end {
		return ErrBeyondEnd
	}
	if off <= b.acked {
		return nil
	}
	rest, err := skip(b.packed[b.ackPos:], off-b.acked)
	if err != nil {
		return err
	}
	b.ackPos = len(b.packed) - len(rest)
	b.acked = off
	return b.trim()
}

// trim drops acknowledged items beyond the replay window. It waits until half a
// window has gathered so that the copy is amortised over many items.
func (b *Buffer) trim() error {
	if b.ackPos <= b.window+b.window/2 {
		return nil
	}
	drop := 0
	for b.ackPos-drop > b.window {
		item, _, err := Next(b.packed[drop:])
		if err != nil {
			return err
		}
		drop += packedLen(item)
		b.base++
	}
	b.packed = append(make([]byte, 0, len(b.packed)-drop+b.window/2), b.packed[drop:]...)
	b.ackPos -= drop
	return nil
}

func packedLen(item []byte) int {
	n := len(item)
	l := 1
	for n >= 0x80 {
		n >>= 7
		l++
	}
	return l + len(item)
}
