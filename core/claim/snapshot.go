package claim

import (
	"container/heap"
	"sort"

	"almondseam.dev/core/api"
)

// Snapshot returns copies of all claims in the order of their grants, so that equal
// tables have equal snapshots, byte for byte.
func (t *Table) Snapshot() []Record {
	out := t.Records()
	SortRecords(out)
	return out
}

// Records returns copies of all claims in no particular order. Only the answers
// share memory with the table, which never modifies their bytes.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.claims))
	for _, item := range t.claims {
		out = append(out, item.Record)
	}
	return out
}

// SortRecords sorts records in place by their grants.
func SortRecords(records []Record) {
	sort.Slice(records, func(i, j int) bool { return records[i].Grant < records[j].Grant })
}

// Restore returns a table with the limits l and the claims of a snapshot.
func Restore(l Limits, records []Record) *Table {
	t := NewTable(l)
	t.claims = make(map[Key]*heapItem, len(records))
	t.perCustomer = make(map[api.CustomerID]int)
	for _, r := range records {
		item := &heapItem{Record: r, heapIndex: len(t.expiry)}
		t.claims[r.Key] = item
		t.perCustomer[r.Key.Customer]++
		t.expiry = append(t.expiry, item)
		if r.Kept {
			t.keptAnswers = append(t.keptAnswers, item)
			t.answerBytes += len(r.Answer)
		}
	}
	heap.Init(&t.expiry)
	sort.Slice(t.keptAnswers, func(i, j int) bool { return t.keptAnswers[i].SettledAt < t.keptAnswers[j].SettledAt })
	return t
}

// expiryHeap is a min-heap of claims by the time of their latest grant, which is the
// order in which they expire.
type expiryHeap []*heapItem

func (b expiryHeap) Len() int { return len(b) }

func (b expiryHeap) Less(i, j int) bool {
	if b[i].Claimed != b[j].Claimed {
		return b[i].Claimed < b[j].Claimed
	}
	return b[i].Grant < b[j].Grant
}

func (b expiryHeap) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].heapIndex, b[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (b *expiryHeap) Push(x any) {
	item := x.(*heapItem)
	item.heapIndex = len(*b)
	*b = append(*b, item)
}

// Pop implements heap.Interface.
func (b *expiryHeap) Pop() any {
	old := *b
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	return last
}
