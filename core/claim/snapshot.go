package claim

import (
	"container/heap"
	"sort"

	"almondseam.dev/core/api"
)

// Snapshot gives all claims in the order of their grants, so that equal tables
// give equal bytes.
func (t *Table) Snapshot() []Record {
	out := t.Records()
	SortRecords(out)
	return out
}

// Records gives a copy of all claims in no order. Only the answers share memory
// with the table, which never changes their bytes.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.claims))
	for _, h := range t.claims {
		out = append(out, h.Record)
	}
	return out
}

// SortRecords puts records in the order of their grants.
func SortRecords(records []Record) {
	sort.Slice(records, func(i, j int) bool { return records[i].Grant < records[j].Grant })
}

// Restore gives the table that Snapshot was taken of.
func Restore(l Limits, records []Record) *Table {
	t := NewTable(l)
	t.claims = make(map[Key]*held, len(records))
	t.perCustomer = make(map[api.CustomerID]int)
	for _, r := range records {
		h := &held{Record: r, slot: len(t.oldest)}
		t.claims[r.Key] = h
		t.perCustomer[r.Key.Customer]++
		t.oldest = append(t.oldest, h)
		if r.Kept {
			t.answers = append(t.answers, h)
			t.answerBytes += len(r.Answer)
		}
	}
	heap.Init(&t.oldest)
	sort.Slice(t.answers, func(i, j int) bool { return t.answers[i].SettledAt < t.answers[j].SettledAt })
	return t
}

// byExpiry is a heap of claims, the earliest granted first.
type byExpiry []*held

func (b byExpiry) Len() int { return len(b) }

func (b byExpiry) Less(i, j int) bool {
	if b[i].Claimed != b[j].Claimed {
		return b[i].Claimed < b[j].Claimed
	}
	return b[i].Grant < b[j].Grant
}

func (b byExpiry) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].slot, b[j].slot = i, j
}

// Push is for container/heap.
func (b *byExpiry) Push(x any) {
	h := x.(*held)
	h.slot = len(*b)
	*b = append(*b, h)
}

// Pop is for container/heap.
func (b *byExpiry) Pop() any {
	old := *b
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	return last
}
