package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// small is Sur Sangat with four engines for a minute and a half.
func small() *workload {
	w := workloads()[0]
	w.engines = 4
	w.length = 90 * time.Second
	return &w
}

// smallCapacity is about what four engines carry, in requests per second.
const smallCapacity = 15

// TestOursPreemptsLess keeps the product's column from silently becoming one of
// the baselines: in a crowded run it preempts at most a fifth as often as admit
// everything and completes no fewer tokens than nine in ten of it.
func TestOursPreemptsLess(t *testing.T) {
	cols := columns()
	all := runOnce(small(), cols[baselines-1], 1.5, smallCapacity, 1)
	own := runOnce(small(), cols[len(cols)-1], 1.5, smallCapacity, 1)
	qt.Check(t, all.preemptions > 50, qt.IsTrue, qt.Commentf("%d", all.preemptions))
	qt.Check(t, own.preemptions*5 <= all.preemptions, qt.IsTrue, qt.Commentf("%d of %d", own.preemptions, all.preemptions))
	qt.Check(t, own.goodTokens*10 >= all.goodTokens*9, qt.IsTrue, qt.Commentf("%d of %d", own.goodTokens, all.goodTokens))
}

// TestSameFiguresAgain: one seed gives one set of figures, so that two pages can
// be compared.
func TestSameFiguresAgain(t *testing.T) {
	for _, col := range columns() {
		t.Run(col.name, func(t *testing.T) {
			a := runOnce(small(), col, 1, smallCapacity, 2)
			b := runOnce(small(), col, 1, smallCapacity, 2)
			for _, r := range rows(small()) {
				qt.Check(t, r.of(a), qt.Equals, r.of(b), qt.Commentf(r.name))
			}
			qt.Check(t, a.reasons, qt.DeepEquals, b.reasons)
		})
	}
}

// TestEveryCallIsAccountedFor: each call ends completed, with a reason, or open
// at the end; none is lost in a queue that was handed back.
func TestEveryCallIsAccountedFor(t *testing.T) {
	for _, col := range columns() {
		t.Run(col.name, func(t *testing.T) {
			m := runOnce(small(), col, 1.3, smallCapacity, 3)
			sum := m.good
			for _, n := range m.reasons {
				sum += n
			}
			qt.Check(t, sum, qt.Equals, m.calls)
		})
	}
}

func TestMaxMin(t *testing.T) {
	cases := []struct {
		name   string
		demand []float64
		total  float64
		want   []float64
	}{
		{"enough for all", []float64{1, 2, 3}, 6, []float64{1, 2, 3}},
		{"the small ones whole", []float64{1, 5, 5}, 7, []float64{1, 3, 3}},
		{"equal parts", []float64{5, 5}, 4, []float64{2, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, maxMin(c.demand, c.total), qt.DeepEquals, c.want)
		})
	}
}
