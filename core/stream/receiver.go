package stream

import (
	"fmt"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// Verdict is the result of Receiver.Accept for a received packed run.
type Verdict uint8

const (
	// Fresh: the run contained at least one new item.
	Fresh Verdict = iota
	// Duplicate: every item of the run had been received before.
	Duplicate
	// Gap: items before the run are missing, and nothing was accepted. The entry
	// requests a resume from Receiver.Next.
	Gap
	// OtherGeneration: the run belongs to another generation, and nothing was
	// accepted.
	OtherGeneration
)

// Receiver is the entry's end of the transfer of one generation. The first run
// accepted fixes the generation, and runs of any other generation are rejected.
// Otherwise, if a request was started twice, the beginning of one response could
// be followed by the end of another, and the caller would receive a plausible text
// that no engine generated. Comparing the generation ID of every run is enough,
// since an agent creates a new ID for each start. A Receiver is not safe for
// concurrent use.
type Receiver struct {
	gen  api.GenerationID
	next uint64
	sum  xxhash.Digest
	// partial is set when an earlier receiver got the first items. The sender's
	// checksum covers those items too, so that only the count can be compared.
	partial bool
}

// NewReceiver returns a receiver that expects offset 0 of any generation.
func NewReceiver() *Receiver {
	r := &Receiver{}
	r.sum.Reset()
	return r
}

// NewReceiverAt returns a receiver for a caller that reconnects and already has
// the items of gen below off.
func NewReceiverAt(gen api.GenerationID, off uint64) *Receiver {
	r := NewReceiver()
	r.gen = gen
	r.next = off
	r.partial = off > 0
	return r
}

// Generation returns the generation that this receiver accepts, or "" if it
// accepts any.
func (r *Receiver) Generation() api.GenerationID { return r.gen }

// Next returns the offset of the next expected item.
func (r *Receiver) Next() uint64 { return r.next }

// Accept processes a packed run of n items that starts at offset off of gen. It
// returns the part of packed that is new, which aliases packed, the number of new
// items, and the verdict. With an error nothing was accepted.
func (r *Receiver) Accept(gen api.GenerationID, off uint64, n int, packed []byte) ([]byte, int, Verdict, error) {
	if r.gen != "" && r.gen != gen {
		return nil, 0, OtherGeneration, nil
	}
	if off > r.next {
		return nil, 0, Gap, nil
	}
	if off+uint64(n) <= r.next {
		return nil, 0, Duplicate, nil
	}
	count, err := Count(packed)
	if err != nil {
		return nil, 0, Gap, err
	}
	if count != n {
		return nil, 0, Gap, fmt.Errorf("run says %d items and holds %d: %w", n, count, ErrPacked)
	}
	duplicates := r.next - off
	fresh, err := skip(packed, duplicates)
	if err != nil {
		return nil, 0, Gap, err
	}
	r.gen = gen
	_, _ = r.sum.Write(fresh)
	r.next = off + uint64(n)
	return fresh, n - int(duplicates), Fresh, nil
}

// Complete compares the item count and checksum of the final frame with the items
// received. A count beyond Next means that items are missing, and the entry then
// requests a resume. Any other difference is an integrity error: a truncated
// response must never pass as a complete one.
func (r *Receiver) Complete(gen api.GenerationID, count, sum uint64) (missing bool, err error) {
	if r.gen != "" && gen != r.gen {
		return false, fmt.Errorf("final of generation %s, received %s", gen, r.gen)
	}
	if count > r.next {
		return true, nil
	}
	if count < r.next || !r.partial && sum != r.sum.Sum64() {
		return false, fmt.Errorf("received %d items, final says %d", r.next, count)
	}
	return false, nil
}
