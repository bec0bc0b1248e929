package estimate

import "sort"

// buckets is the number of length buckets; the last one ends near 150,000 tokens.
const buckets = 64

// edges[b] is the number of tokens at which bucket b begins.
var edges = makeEdges()

// makeEdges returns edges that grow by a fifth, rounded down, but by at least one
// token each.
func makeEdges() [buckets + 1]int {
	var e [buckets + 1]int
	for b := 1; b <= buckets; b++ {
		e[b] = max(e[b-1]+1, e[b-1]*6/5)
	}
	return e
}

// smallBuckets is a lookup table with the buckets of short lengths, which are looked
// up most often.
var smallBuckets = makeSmallBuckets()

func makeSmallBuckets() [1024]uint8 {
	var t [1024]uint8
	for n := range t {
		t[n] = uint8(searchBucket(n))
	}
	return t
}

// bucketOf returns the bucket of a length; lengths beyond the last edge are in the
// last bucket.
func bucketOf(n int) int {
	if n >= 0 && n < len(smallBuckets) {
		return int(smallBuckets[n])
	}
	return searchBucket(n)
}

func searchBucket(n int) int {
	b := sort.Search(buckets, func(b int) bool { return edges[b+1] > n })
	return min(b, buckets-1)
}

// MaxTokens returns the upper end of the last bucket in tokens. A Curve gives no
// output a chance of reaching it.
func MaxTokens() int { return edges[buckets] }

// Curve is a distribution of output lengths, kept as a survival function. It is
// immutable.
type Curve struct {
	// survival[b] is the share of sequences that reach edges[b] tokens.
	survival [buckets + 1]float32
	// tail[b] is the integral of the survival function from edges[b] on, from
	// which the mean remaining length follows.
	tail [buckets + 1]float32
}

// fillTail sets the survival at the last edge to zero and computes tail.
func (c *Curve) fillTail() {
	c.survival[buckets] = 0
	for b := buckets - 1; b >= 0; b-- {
		width := float32(edges[b+1] - edges[b])
		c.tail[b] = c.tail[b+1] + width*(c.survival[b]+c.survival[b+1])/2
	}
}

// Survival returns the share of sequences that reach n tokens, interpolated
// linearly within a bucket.
func (c *Curve) Survival(n int) float64 {
	if n >= edges[buckets] {
		return 0
	}
	b := bucketOf(n)
	lo, hi := c.survival[b], c.survival[b+1]
	f := float32(n-edges[b]) / float32(edges[b+1]-edges[b])
	return float64(lo + (hi-lo)*f)
}

// ConditionalSurvival returns the probability that a sequence that has produced n
// tokens produces at least m more.
func (c *Curve) ConditionalSurvival(n, m int) float64 {
	now := c.Survival(n)
	if now <= 0 {
		return 0
	}
	return c.Survival(n+m) / now
}

// Mean returns the expected number of further tokens of a sequence that has produced
// n tokens, at least 1.
func (c *Curve) Mean(n int) float64 {
	if n >= edges[buckets] {
		return 1
	}
	now := c.Survival(n)
	if now <= 0 {
		return 1
	}
	b := bucketOf(n)
	part := float64(edges[b+1]-n) * (now + float64(c.survival[b+1])) / 2
	return max(1, (part+float64(c.tail[b+1]))/now)
}

// Quantile returns the number of further tokens, at least 1, that a sequence that
// has produced n tokens does not exceed with probability q.
func (c *Curve) Quantile(n int, q float64) int {
	target := c.Survival(n) * (1 - q)
	b := sort.Search(buckets, func(b int) bool { return float64(c.survival[b+1]) <= target })
	if b >= buckets {
		return max(1, edges[buckets]-n)
	}
	lo, hi := float64(c.survival[b]), float64(c.survival[b+1])
	at := float64(edges[b+1])
	if lo > hi {
		at = float64(edges[b]) + float64(edges[b+1]-edges[b])*(lo-target)/(lo-hi)
	}
	return max(1, int(at)-n)
}
