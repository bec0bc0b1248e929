package estimate

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

// lognormal returns a random length of at least 1 from a lognormal distribution.
func lognormal(rng *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*rng.NormFloat64())))
}

func TestBuckets(t *testing.T) {
	for b := range buckets {
		qt.Check(t, bucketOf(edges[b]), qt.Equals, b)
		qt.Check(t, bucketOf(edges[b+1]-1), qt.Equals, b)
	}
	qt.Check(t, bucketOf(1<<30), qt.Equals, buckets-1)
}

// TestCalibration checks that about 90 of 100 outputs stay within the predicted 90%
// quantile, both at the start and after 100 tokens, although lengths triple in the
// middle of the run. The first 300 outputs and the 900 after the change do not count.
func TestCalibration(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 2))
		e := New(Config{})
		k := Key{Customer: "c", Model: "m", Kind: "note"}
		var asked, held [2]int
		for i := range 6000 {
			median := 200.0
			if i >= 3000 {
				median = 600
			}
			length := lognormal(rng, median, 0.9)
			c := e.Curve(k)
			settled := i > 300 && (i < 3000 || i > 3900)
			for j, n := range []int{0, 100} {
				if !settled || length <= n {
					continue
				}
				asked[j]++
				if length <= n+c.Quantile(n, 0.9) {
					held[j]++
				}
			}
			e.Observe(k, 0, length, true)
		}
		for j := range asked {
			share := float64(held[j]) / float64(asked[j])
			qt.Check(t, math.Abs(share-0.9) < 0.025, qt.IsTrue, qt.Commentf("seed %d case %d: %.3f", seed, j, share))
		}
	}
}

// TestCensored guards against an estimator that learns from ended sequences only:
// since short outputs end first, it would take the others for short as well.
// Sequences that still run must count.
func TestCensored(t *testing.T) {
	e := New(Config{})
	k := Key{Kind: "note"}
	for range 100 {
		e.Observe(k, 0, 10, true)
		e.Observe(k, 0, 1000, false)
	}
	got := e.Curve(k).Survival(900)
	qt.Check(t, math.Abs(got-0.5) < 0.07, qt.IsTrue, qt.Commentf("%.3f", got))
}

func TestBackOff(t *testing.T) {
	cases := []struct {
		name string
		key  Key
		// mean is the expected mean length; the estimate must be within 20%.
		mean float64
	}{
		{"own data", Key{"big", "m1", "note"}, 400},
		{"new customer uses the lengths of the model", Key{"new", "m1", "note"}, 400},
		{"new model uses the lengths of the kind", Key{"new", "m9", "note"}, 400},
		{"kinds are kept apart", Key{"big", "m1", "tag"}, 10},
	}
	e := New(Config{})
	for range 1000 {
		e.Observe(Key{"big", "m1", "note"}, 0, 400, true)
		e.Observe(Key{"big", "m1", "tag"}, 0, 10, true)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := e.Curve(c.key).Mean(0)
			qt.Check(t, math.Abs(got/c.mean-1) < 0.2, qt.IsTrue, qt.Commentf("%.1f", got))
		})
	}
}

func TestMeanMatchesSample(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	e := New(Config{HalfLife: 5000})
	k := Key{Kind: "note"}
	var sum, n float64
	for range 5000 {
		length := lognormal(rng, 300, 0.8)
		e.Observe(k, 0, length, true)
		if length > 200 {
			sum += float64(length - 200)
			n++
		}
	}
	got := e.Curve(k).Mean(200)
	qt.Check(t, math.Abs(got/(sum/n)-1) < 0.1, qt.IsTrue, qt.Commentf("%.1f, sample %.1f", got, sum/n))
}

// TestShiftIsSeenEarly triples all lengths at once. After 40 outputs of the new
// lengths, far fewer than the half-life of the counts, the 90% quantile must hold
// again. It may hold slightly more often than that, since scaled hazards give a
// heavier tail than longer lengths do. Without the comparison of observed and
// expected ends it held for a share of only 0.70.
func TestShiftIsSeenEarly(t *testing.T) {
	var asked, held int
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		e := New(Config{})
		k := Key{Customer: "c", Model: "m", Kind: "note"}
		for i := range 600 {
			median := 200.0
			if i >= 500 {
				median = 600
			}
			length := lognormal(rng, median, 0.7)
			if i >= 540 {
				asked++
				if length <= e.Curve(k).Quantile(0, 0.9) {
					held++
				}
			}
			_ = e.Curve(k)
			e.Observe(k, 0, length, true)
		}
	}
	share := float64(held) / float64(asked)
	qt.Check(t, share > 0.88 && share < 0.97, qt.IsTrue, qt.Commentf("%.3f of %d", share, asked))
}

func TestMemoryIsBounded(t *testing.T) {
	e := New(Config{MaxKeys: 100})
	for i := range 10_000 {
		e.Observe(Key{api.CustomerID(strconv.Itoa(i)), "m", "note"}, 0, 50, true)
	}
	qt.Check(t, e.Len(), qt.Equals, 100)
	qt.Check(t, e.Curve(Key{"unseen", "m", "note"}).Mean(0) < 100, qt.IsTrue)
}

func BenchmarkObserveAndAsk(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	e := New(Config{})
	k := Key{"c", "m", "note"}
	for b.Loop() {
		e.Observe(k, 0, lognormal(rng, 300, 1), true)
		_ = e.Curve(k).Quantile(0, 0.9)
	}
}
