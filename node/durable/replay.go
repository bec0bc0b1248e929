package durable

import (
	"fmt"

	"almondseam.dev/core/consensus"
)

// replay rebuilds the log from segments, oldest first.
type replay struct {
	hard     consensus.HardState
	base     uint64 // the entry before entries[0]
	baseTerm uint64
	entries  []consensus.Entry
	began    bool
}

func (r *replay) last() (index, term uint64) {
	if k := len(r.entries); k > 0 {
		return r.entries[k-1].Index, r.entries[k-1].Term
	}
	return r.base, r.baseTerm
}

// readHeader reads the first frame of a segment.
func readHeader(name string, b []byte, seq uint64) (header, frame, error) {
	var h header
	f, ok := readFrame(b, seq, 0)
	if !ok {
		return h, f, damaged(name, 0, "no segment header")
	}
	if err := consensus.Decode(f.payload, &h); err != nil {
		return h, f, damaged(name, 0, err.Error())
	}
	if err := checkVersion(h.Version); err != nil {
		return h, f, recoverError(name, 0, err)
	}
	if h.Seq != seq {
		return h, f, damaged(name, 0, fmt.Sprintf("header is of segment %d", h.Seq))
	}
	return h, f, nil
}

// segment takes in one segment. It gives the length up to which it is whole;
// only the newest may end in a torn tail.
func (r *replay) segment(name string, b []byte, seq uint64, newest bool) (uint64, error) {
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
			if !newest || onceDurable(b, seq, at) {
				return 0, damaged(name, int64(at), "checksum of a frame that was durable")
			}
			return at, nil
		}
		if err := r.batch(f.payload); err != nil {
			return 0, damaged(name, int64(at), err.Error())
		}
		at += f.size
	}
	return at, nil
}

func (r *replay) header(name string, h header) error {
	index, term := r.last()
	switch {
	case !r.began || h.Reset:
		r.entries, r.base, r.baseTerm = nil, h.PrevIndex, h.PrevTerm
	case h.PrevIndex != index || h.PrevTerm != term:
		// The segment before this one ends too early, or isn't the one.
		return damaged(name, 0, fmt.Sprintf("follows entry %d of term %d, but the log before ends with %d of term %d", h.PrevIndex, h.PrevTerm, index, term))
	}
	r.began = true
	r.hard = h.Hard
	return nil
}

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
		r.hard = *x.Hard
	}
	return nil
}

func (r *replay) append(entries []consensus.Entry) error {
	first := entries[0].Index
	last, _ := r.last()
	if first == 0 || first > last+1 {
		return fmt.Errorf("entry %d after entry %d", first, last)
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return fmt.Errorf("entry %d where %d belongs", e.Index, first+uint64(i))
		}
	}
	if first <= r.base {
		// Entries before this segment were overwritten; they lie in segments
		// that a snapshot has made superfluous.
		r.entries, r.base, r.baseTerm = nil, first-1, 0
	}
	r.entries = append(r.entries[:first-r.base-1], entries...)
	return nil
}

// after gives the entries that follow the snapshot, and false where the log
// doesn't hold the entry that the snapshot ends with: then a crash came between
// the snapshot of a leader and the new log that follows it.
func (r *replay) after(s consensus.Snapshot) ([]consensus.Entry, bool) {
	last, _ := r.last()
	if s.Index < r.base || s.Index > last {
		return nil, false
	}
	term := r.baseTerm
	if s.Index > r.base {
		term = r.entries[s.Index-r.base-1].Term
	}
	if term != s.Term {
		return nil, false
	}
	return r.entries[s.Index-r.base:], true
}
