package consensus

import (
	"fmt"
	"slices"
)

// entryOverhead is added to the data of each entry when its size is counted, so
// that size limits also bound the number of empty entries.
const entryOverhead = 32

func entrySize(e Entry) int { return len(e.Data) + entryOverhead }

// entryLog is the in-memory part of the log: the entries after base. Slices of
// entries that have been returned are never overwritten in place.
type entryLog struct {
	base     uint64 // index of the last entry that was compacted
	baseTerm uint64
	entries  []Entry // entries[0].Index is base+1
	stable   uint64  // last index known to be durable
	commit   uint64
	applied  uint64
	bytes    uint64   // sum of entrySize over entries
	snap     Snapshot // the latest one; base <= snap.Index <= commit
}

func newEntryLog(r Restored) (*entryLog, error) {
	l := &entryLog{base: r.Snapshot.Index, baseTerm: r.Snapshot.Term, snap: r.Snapshot}
	if err := checkContiguous(r.Snapshot.Index, r.Snapshot.Term, r.Entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRestored, err)
	}
	l.append(r.Entries)
	l.stable = l.last()
	l.commit = max(r.HardState.Commit, r.Snapshot.Index)
	l.applied = r.Snapshot.Index
	if l.commit > l.last() {
		return nil, fmt.Errorf("%w: commit %d is past the last entry %d", ErrInvalidRestored, l.commit, l.last())
	}
	return l, nil
}

// checkContiguous checks that entries follow (index, term) without a gap and that
// their terms never decrease.
func checkContiguous(index, term uint64, entries []Entry) error {
	for _, e := range entries {
		if e.Index != index+1 || e.Term < term || e.Term == 0 {
			return fmt.Errorf("entry (%d, term %d) after (%d, term %d)", e.Index, e.Term, index, term)
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, or false if it is unknown. The term
// at base is known although the entry is gone.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log that ends at (index, term) is at least as up to
// date as this one, by Raft's rule for granting votes.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

func (l *entryLog) append(entries []Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		l.bytes += uint64(entrySize(e))
	}
}

// truncate drops the entries from index on. It also limits the capacity, so that
// later appends don't overwrite slices that have been returned.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base - 1
	for _, e := range l.entries[keep:] {
		l.bytes -= uint64(entrySize(e))
	}
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// slice returns the entries in (after, to], limited to maxBytes but always at
// least one entry if the range is not empty.
func (l *entryLog) slice(after, to uint64, maxBytes int) []Entry {
	if after >= to {
		return nil
	}
	part := l.entries[after-l.base : to-l.base]
	size := 0
	for i, e := range part {
		size += entrySize(e)
		if size > maxBytes && i > 0 {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// conflictHint returns the highest index at or below index whose term is at most
// term, and that entry's term. It lets probing skip a whole term per round trip.
func (l *entryLog) conflictHint(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return l.base, l.baseTerm
}

// compactionIndex returns the index up to which entries can be dropped. Of the
// entries up to index, at most count entries and maxBytes are kept.
func (l *entryLog) compactionIndex(index, count uint64, maxBytes int) uint64 {
	size := 0
	for index > l.base && count > 0 {
		size += entrySize(l.entries[index-l.base-1])
		if size > maxBytes {
			break
		}
		index--
		count--
	}
	return index
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	t, _ := l.term(index)
	for _, e := range l.entries[:index-l.base] {
		l.bytes -= uint64(entrySize(e))
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, t
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.base, l.baseTerm, l.snap = s.Index, s.Term, s
	l.entries, l.bytes = nil, 0
	l.stable, l.commit = s.Index, s.Index
}
