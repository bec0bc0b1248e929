package estimate

import "sort"

// buckets is the number of length buckets; the last one ends near 150,000 tokens.
const buckets = 64

// edges[b] is the number of tokens at which bucket b begins.
var edges = makeEdges()

// makeEdges spaces the edges by a fifth, at least one token.
func makeEdges() [buckets + 1]int {
	var e [buckets + 1]int
	for b := 1; b <= buckets; b++ {
		e[b] = max(e[b-1]+1, e[b-1]*6/5)
	}
	return e
}

// smallBuckets is a table of the buckets of short lengths, which are the most
// often asked for.
var smallBuckets = makeSmallBuckets()

func makeSmallBuckets() [1024]uint8 {
	var t [1024]uint8
	for n := range t {
		t[n] = uint8(searchBucket(n))
	}
	return t
}

// bucketOf is the bucket of a length; lengths beyond the last edge are in the
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

// MaxTokens is the longest output that a Curve tells apart.
func MaxTokens() int { return edges[buckets] }

// Curve is a distribution of output lengths. It is immutable.
type Curve struct {
	// alive[b] is the share of sequences that reach edges[b].
	alive [buckets + 1]float32
	// rest[b] is the sum over all tokens from edges[b] on of the share alive,
	// from which the mean remaining length follows.
	rest [buckets + 1]float32
}

// finish closes the last bucket and fills rest.
func (c *Curve) finish() {
	c.alive[buckets] = 0
	for b := buckets - 1; b >= 0; b-- {
		width := float32(edges[b+1] - edges[b])
		c.rest[b] = c.rest[b+1] + width*(c.alive[b]+c.alive[b+1])/2
	}
}

// Alive is the share of sequences longer than n tokens, linear within a bucket.
func (c *Curve) Alive(n int) float64 {
	if n >= edges[buckets] {
		return 0
	}
	b := bucketOf(n)
	lo, hi := c.alive[b], c.alive[b+1]
	f := float32(n-edges[b]) / float32(edges[b+1]-edges[b])
	return float64(lo + (hi-lo)*f)
}

// Beyond is the probability that a sequence that has produced n tokens produces
// more than m further ones.
func (c *Curve) Beyond(n, m int) float64 {
	now := c.Alive(n)
	if now <= 0 {
		return 0
	}
	return c.Alive(n+m) / now
}

// Mean is the expected number of further tokens after n.
func (c *Curve) Mean(n int) float64 {
	if n >= edges[buckets] {
		return 1
	}
	now := c.Alive(n)
	if now <= 0 {
		return 1
	}
	b := bucketOf(n)
	part := float64(edges[b+1]-n) * (now + float64(c.alive[b+1])) / 2
	return max(1, (part+float64(c.rest[b+1]))/now)
}

// Quantile is the number of further tokens after n that is not exceeded with
// probability q.
func (c *Curve) Quantile(n int, q float64) int {
	target := c.Alive(n) * (1 - q)
	b := sort.Search(buckets, func(b int) bool { return float64(c.alive[b+1]) <= target })
	if b >= buckets {
		return max(1, edges[buckets]-n)
	}
	lo, hi := float64(c.alive[b]), float64(c.alive[b+1])
	at := float64(edges[b+1])
	if lo > hi {
		at = float64(edges[b]) + float64(edges[b+1]-edges[b])*(lo-target)/(lo-hi)
	}
	return max(1, int(at)-n)
}
