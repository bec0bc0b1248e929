package stream

import (
	"fmt"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// Verdict tells what became of a received run.
type Verdict uint8

const (
	// Fresh: at least one item was new.
	Fresh Verdict = iota
	// Duplicate: every item had been received before.
	Duplicate
	// Gap: items are missing in front of it; nothing was taken. The receiver
	// asks for a resume from Next.
	Gap
	// OtherGeneration: it belongs to another generation; nothing was taken.
	OtherGeneration
)

// Receiver is the entry's end of one generation. The generation is fixed by the
// first item: without that, a request started twice could splice the beginning
// of one answer to the end of another, and the caller would see a fluent text
// that no engine ever wrote. Comparing the ID on every run is enough, since an
// agent makes a new ID for each start. Not safe for concurrent use.
type Receiver struct {
	gen  api.GenerationID
	next uint64
	sum  xxhash.Digest
	// partial is set when the first items went to an earlier receiver: the
	// checksum covers them too, so that only the count can be compared.
	partial bool
}

// NewReceiver makes a receiver that expects offset 0 of any generation.
func NewReceiver() *Receiver {
	r := &Receiver{}
	r.sum.Reset()
	return r
}

// NewReceiverAt makes a receiver for a caller that comes back with the items
// below off of gen already in its hands.
func NewReceiverAt(gen api.GenerationID, off uint64) *Receiver {
	r := NewReceiver()
	r.gen = gen
	r.next = off
	r.partial = off > 0
	return r
}

// Generation is the generation fixed by the first item, or "".
func (r *Receiver) Generation() api.GenerationID { return r.gen }

// Next is the offset of the item expected next.
func (r *Receiver) Next() uint64 { return r.next }

// Accept takes a run of n packed items that starts at off. It gives the part
// of packed that is new, aliasing packed.
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
	have, err := Count(packed)
	if err != nil {
		return nil, 0, Gap, err
	}
	if have != n {
		return nil, 0, Gap, fmt.Errorf("run says %d items and holds %d: %w", n, have, ErrPacked)
	}
	known := r.next - off
	fresh, err := skip(packed, known)
	if err != nil {
		return nil, 0, Gap, err
	}
	r.gen = gen
	_, _ = r.sum.Write(fresh)
	r.next = off + uint64(n)
	return fresh, n - int(known), Fresh, nil
}

// Complete compares the final frame's count and checksum with what was
// received. A count beyond Next means that items are still missing; the
// receiver then resumes. Any other difference is an integrity failure: a short
// answer must never pass as a whole one.
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
