package durable

import (
	"sort"

	"almondseam.dev/core/consensus"
)

// termIndex looks up the term of a stored entry by its index. It keeps one termRun
// for each run of consecutive entries with the same term.
type termIndex struct {
	first uint64 // lowest index covered
	last  uint64
	runs  []termRun
}

// termRun is the index of the first entry in a run, and the term of the run.
type termRun struct{ index, term uint64 }

// reset empties the index, except for the entry that the log begins after.
func (t *termIndex) reset(index, term uint64) {
	*t = termIndex{first: index, last: index, runs: []termRun{{index, term}}}
}

// append adds entries, replacing those from the first one's index on.
func (t *termIndex) append(entries []consensus.Entry) {
	first := entries[0].Index
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].index >= first {
		t.runs = t.runs[:len(t.runs)-1]
	}
	t.first = min(t.first, first)
	for _, e := range entries {
		if k := len(t.runs); k == 0 || t.runs[k-1].term != e.Term {
			t.runs = append(t.runs, termRun{e.Index, e.Term})
		}
		t.last = e.Index
	}
}

// at returns the term of the entry at index, or false if the entry is not stored.
func (t *termIndex) at(index uint64) (uint64, bool) {
	if index < t.first || index > t.last {
		return 0, false
	}
	i := sort.Search(len(t.runs), func(i int) bool { return t.runs[i].index > index })
	if i == 0 {
		return 0, false
	}
	return t.runs[i-1].term, true
}

// compact drops all entries before index.
func (t *termIndex) compact(index uint64) {
	term, ok := t.at(index)
	if !ok {
		return
	}
	i := sort.Search(len(t.runs), func(i int) bool { return t.runs[i].index > index })
	t.runs = append([]termRun{{index, term}}, t.runs[i:]...)
	t.first = index
}
