package durable

import (
	"sort"

	"almondseam.dev/core/consensus"
)

// termIndex knows the term of each stored entry by the first index of each run
// of one term.
type termIndex struct {
	first uint64 // lowest index known
	last  uint64
	runs  []termRun
}

type termRun struct{ index, term uint64 }

func (t *termIndex) reset(index, term uint64) {
	*t = termIndex{first: index, last: index, runs: []termRun{{index, term}}}
}

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

// compact forgets what lies before index.
func (t *termIndex) compact(index uint64) {
	term, ok := t.at(index)
	if !ok {
		return
	}
	i := sort.Search(len(t.runs), func(i int) bool { return t.runs[i].index > index })
	t.runs = append([]termRun{{index, term}}, t.runs[i:]...)
	t.first = index
}
