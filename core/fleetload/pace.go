package fleetload

import "almondseam.dev/core/pace"

// boundPace returns a reported load without its pace if no entry can have observed it: one that
// is negative, that has more gaps than an entry counts or gaps longer than it learns, or that
// has only one of the two sums. A single such report would otherwise decide the mean of all
// entries.
func (t *Table) boundPace(l Load) Load {
	const maxGap = int(pace.MaxGap / 1e6) // in milliseconds
	none := l.PaceWeight == 0 && l.PaceSum == 0
	if none || l.PaceWeight > 0 && l.PaceWeight <= pace.MaxWeight && l.PaceSum > 0 && l.PaceSum <= l.PaceWeight*maxGap {
		return l
	}
	t.badPaces++
	l.PaceWeight, l.PaceSum = 0, 0
	return l
}

// TakeBadPaces returns the number of reported paces that were dropped since the last call
// because no entry can have observed them.
func (t *Table) TakeBadPaces() int {
	n := t.badPaces
	t.badPaces = 0
	return n
}
