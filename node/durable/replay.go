package durable

import (
	"fmt"

	"almondseam.dev/core/consensus"
)

// replay rebuilds the log from segments, oldest first.
type replay struct {
	hardState consensus.HardState
	baseIndex uint64 // index of the entry before entries[0]
	baseTerm  uint64
	entries   []consensus.Entry
	started   bool
}

// last returns the index and term of the log's last entry.
func (r *replay) last() (index, term uint64) {
	if k := len(r.entries); k > 0 {
		return r.entries[k-1].Index, r.entries[k-1].Term
	}
	return r.baseIndex, r.baseTerm
}

// readHeader reads and verifies the first frame of a segment.
func readHeader(name string, b []byte, seq uint64) (header, frame, error) {
	var h header
	f, ok := readFrame(b, seq, 0)
	if !ok {
		return h, f, damagedError(name, 0, "no valid segment header")
	}
	if err := consensus.Decode(f.payload, &h); err != nil {
		return h, f, damagedError(name, 0, err.Error())
	}
	if err := checkVersion(h.Version); err != nil {
		return h, f, recoverError(name, 0, err)
	}
	if h.Seq != seq {
		return h, f, damagedError(name, 0, fmt.Sprintf("header belongs to segment %d", h.Seq))
	}
	return h, f, nil
}

// applySegment adds the frames of one segment to the log. It returns the length of
// the segment's valid part. Only the newest segment may end in a torn tail.
func (r *replay) applySegment(name string, b []byte, seq uint64, newest bool) (uint64, error) {
	h, f, err := readHeader(name, b, seq)
	if err != nil {
		return 0, err
	}
	if err := r.header(name, h); err != nil {
		return 0, err
	}
	at := f.size
	for at < uint64(len(b)) {
		f, ok := readFrame(b, seq, at)
		if !ok {
			if !newest || wasDurable(b, seq, at) {
				return 0, damagedError(name, int64(at), "a frame that had been synced is invalid")
			}
			return at, nil
		}
		if err := r.batch(f.payload); err != nil {
			return 0, damagedError(name, int64(at), err.Error())
		}
		at += f.size
	}
	return at, nil
}

// header checks that the segment continues the log. For the first segment
// read, and for one that resets the log, it begins the log after the header's entry.
func (r *replay) header(name string, h header) error {
	index, term := r.last()
	switch {
	case !r.started || h.Reset:
		r.entries, r.baseIndex, r.baseTerm = nil, h.PrevIndex, h.PrevTerm
	case h.PrevIndex != index || h.PrevTerm != term:
		// The preceding segment ends too early, or is a different one.
		return damagedError(name, 0, fmt.Sprintf("segment follows entry %d of term %d, but the preceding log ends at entry %d of term %d", h.PrevIndex, h.PrevTerm, index, term))
	}
	r.started = true
	r.hardState = h.Hard
	return nil
}

// batch decodes one batch and applies it to the log and the hard state.
func (r *replay) batch(payload []byte) error {
	var x batch
	if err := consensus.Decode(payload, &x); err != nil {
		return err
	}
	if len(x.Entries) > 0 {
		if err := r.append(x.Entries); err != nil {
			return err
		}
	}
	if x.Hard != nil {
		r.hardState = *x.Hard
	}
	return nil
}

// append adds entries to the log, replacing those from the first one's index on.
func (r *replay) append(entries []consensus.Entry) error {
	first := entries[0].Index
	last, _ := r.last()
	if first == 0 || first > last+1 {
		return fmt.Errorf("entry %d cannot follow entry %d", first, last)
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return fmt.Errorf("found entry %d where entry %d was expected", e.Index, first+uint64(i))
		}
	}
	if first <= r.baseIndex {
		// The batch overwrites entries from before the first segment read. Those
		// are in segments that a later snapshot has made obsolete.
		r.entries, r.baseIndex, r.baseTerm = nil, first-1, 0
	}
	r.entries = append(r.entries[:first-r.baseIndex-1], entries...)
	return nil
}

// entriesAfter returns the entries that follow the snapshot, and whether the log
// contains the snapshot's last entry. If it does not, a crash came after a leader's
// snapshot was saved and before the log was reset to follow it.
func (r *replay) entriesAfter(s consensus.Snapshot) ([]consensus.Entry, bool) {
	last, _ := r.last()
	if s.Index < r.baseIndex || s.Index > last {
		return nil, false
	}
	term := r.baseTerm
	if s.Index > r.baseIndex {
		term = r.entries[s.Index-r.baseIndex-1].Term
	}
	if term != s.Term {
		return nil, false
	}
	return r.entries[s.Index-r.baseIndex:], true
}
