package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallWorkload returns the Sur Sangat workload with four engines and a length of
// 90 seconds.
func smallWorkload() *workload {
	w := workloads()[0]
	w.engines = 4
	w.length = 90 * time.Second
	return &w
}

// smallCapacity is roughly the capacity of four engines, in requests per second.
const smallCapacity = 15

// TestOursPreemptsLess guards against the product's column silently becoming one of
// the baselines. In an overloaded run it must preempt at most a fifth as often as
// "admit everything" and complete at least nine tenths of its tokens.
func TestOursPreemptsLess(t *testing.T) {
	cols := columns()
	all := runOnce(smallWorkload(), cols[baselines-1], 1.5, smallCapacity, 1)
	own := runOnce(smallWorkload(), cols[len(cols)-1], 1.5, smallCapacity, 1)
	qt.Check(t, all.preemptions > 50, qt.IsTrue, qt.Commentf("%d", all.preemptions))
	qt.Check(t, own.preemptions*5 <= all.preemptions, qt.IsTrue, qt.Commentf("%d of %d", own.preemptions, all.preemptions))
	qt.Check(t, own.goodTokens*10 >= all.goodTokens*9, qt.IsTrue, qt.Commentf("%d of %d", own.goodTokens, all.goodTokens))
}

// TestSameFiguresAgain checks that the same seed gives the same figures, so that
// the results of two runs can be compared.
func TestSameFiguresAgain(t *testing.T) {
	for _, col := range columns() {
		t.Run(col.name, func(t *testing.T) {
			a := runOnce(smallWorkload(), col, 1, smallCapacity, 2)
			b := runOnce(smallWorkload(), col, 1, smallCapacity, 2)
			for _, r := range rows(smallWorkload()) {
				qt.Check(t, r.of(a), qt.Equals, r.of(b), qt.Commentf(r.name))
			}
			qt.Check(t, a.reasons, qt.DeepEquals, b.reasons)
		})
	}
}

// TestEveryCallIsAccountedFor checks that each call is completed, ends with a
// reason or is open at the end. It guards against calls lost when a draining
// target returns its queue.
func TestEveryCallIsAccountedFor(t *testing.T) {
	for _, col := range columns() {
		t.Run(col.name, func(t *testing.T) {
			m := runOnce(smallWorkload(), col, 1.3, smallCapacity, 3)
			sum := m.completions
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
