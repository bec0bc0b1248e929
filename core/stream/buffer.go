package stream

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// ErrBeforeWindow is returned for an offset whose item is no longer held.
var ErrBeforeWindow = errors.New("stream: offset is before the replay window")

// ErrBeyondEnd is returned for an offset greater than the number of items appended
// so far.
var ErrBeyondEnd = errors.New("stream: offset is beyond the end")

// Buffer holds the items of one generation at its agent. The offset of an item is
// its index in the generation, from 0. The newest acknowledged items are kept in a
// replay window, so that they can be sent again to a caller that reconnects.
// Unacknowledged items are never dropped. A Buffer is not safe for concurrent use.
type Buffer struct {
	base   uint64 // offset of the first item held
	end    uint64 // offset after the last item
	acked  uint64 // items below this offset are acknowledged
	packed []byte // the packed items from base up to, but not including, end
	window int    // size of the replay window in bytes
	ackPos int    // index in packed of the item at offset acked
	sum    xxhash.Digest
}

// NewBuffer returns an empty buffer with a replay window of window bytes. The
// buffer may hold up to half as many bytes of acknowledged items beyond the
// window before it drops them.
func NewBuffer(window int) *Buffer {
	b := &Buffer{window: window}
	b.sum.Reset()
	return b
}

// Append adds an item and returns its offset.
func (b *Buffer) Append(item []byte) uint64 {
	start := len(b.packed)
	b.packed = Append(b.packed, item)
	_, _ = b.sum.Write(b.packed[start:])
	off := b.end
	b.end++
	return off
}

// End returns the offset after the last item, which equals the number of items
// appended.
func (b *Buffer) End() uint64 { return b.end }

// Acked returns the offset below which all items are acknowledged.
func (b *Buffer) Acked() uint64 { return b.acked }

// Unacked returns the number of packed bytes not yet acknowledged.
func (b *Buffer) Unacked() int { return len(b.packed) - b.ackPos }

// Held returns the number of packed bytes held.
func (b *Buffer) Held() int { return len(b.packed) }

// Sum returns the checksum over all packed items appended so far, including their
// lengths.
func (b *Buffer) Sum() uint64 { return b.sum.Sum64() }

// From appends the packed items from offset off on to dst and returns dst and the
// number of items appended. It appends at most max bytes, but always the first
// item if there is one.
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
	return appendRun(dst, p, max)
}

// seek returns the packed run that starts at off. It scans from the first
// unacknowledged item if off is not before it, and otherwise from the first item.
func (b *Buffer) seek(off uint64) ([]byte, error) {
	if off >= b.acked {
		return skip(b.packed[b.ackPos:], off-b.acked)
	}
	return skip(b.packed, off-b.base)
}

// appendRun appends items from the start of the packed run p to dst, as From does.
func appendRun(dst, p []byte, max int) ([]byte, int, error) {
	n, appended := 0, 0
	rest := p
	for len(rest) > 0 {
		_, after, err := Next(rest)
		if err != nil {
			return dst, 0, err
		}
		size := len(rest) - len(after)
		if n > 0 && appended+size > max {
			break
		}
		appended += size
		n++
		rest = after
	}
	return append(dst, p[:appended]...), n, nil
}

// Ack marks the items below off as acknowledged. An older or repeated
// acknowledgement changes nothing. One beyond the end is rejected with
// ErrBeyondEnd, since it would drop items that were never received.
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

// trim drops the acknowledged items that do not fit into the replay window. It
// waits until the excess is more than half a window, so that the cost of copying
// is amortised over many items.
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

// packedLen returns the number of bytes that item occupies when packed.
func packedLen(item []byte) int {
	n := len(item)
	l := 1
	for n >= 0x80 {
		n >>= 7
		l++
	}
	return l + len(item)
}
