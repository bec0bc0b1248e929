// Package estimate learns the distribution of output lengths and, from it, predicts
// how many more tokens a sequence that has produced n tokens will produce. It also
// estimates the speed at which inference engines process prompts.
//
// Lengths fall into log-spaced buckets. For each group of requests the estimator
// counts, per bucket, the sequences that left the bucket or ended in it, and those
// that ended in it; the quotient is the hazard of ending there. Running sequences
// count as soon as they leave a bucket, so that long outputs are not missed while
// they still run (the product-limit estimate of Kaplan and Meier, 1958, for
// censored data). Where a group has few sequences in a bucket, its hazard is
// combined with that of the next coarser group.
package estimate

import (
	"container/list"
	"math"

	"almondseam.dev/core/api"
)

// Key identifies a group of requests with similar output lengths. Kind is a
// distinction made by the caller, such as "note" and "tag" for long and short
// outputs.
type Key struct {
	Customer api.CustomerID
	Model    api.ModelID
	Kind     string
}

// Config configures an Estimator; zero fields take the defaults.
type Config struct {
	// MaxKeys is the maximum number of groups kept, of about 1 KB each. Beyond
	// it the least recently used group is discarded. Default 8192.
	MaxKeys int
	// HalfLife is the number of ended sequences of a group after which the
	// weight of an older sequence has halved. Default 100.
	HalfLife float64
	// BackoffWeight is the number of a group's sequences in a bucket at which
	// the group's own hazard and the coarser group's have the same weight.
	// Default 8.
	BackoffWeight float64
	// ShiftHalfLife is the half-life, in ended sequences, of the comparison
	// of observed with expected ends. Default 10.
	ShiftHalfLife float64
}

// maxWeight is the limit of the growing weight of new sequences. When the weight
// reaches it, all counts are scaled down, since float32 sums would otherwise lose
// small additions.
const maxWeight = 1024

// refreshAfter is the number of changes of the estimator after which a curve is
// recomputed.
const refreshAfter = 32

// priorHazard is the hazard per bucket without any observation. It gives a tail
// with a finite mean that is heavier than a lognormal one. priorWeight is the
// number of sequences that it counts for; a larger value would add a long tail to
// lengths that are well known.
const (
	priorHazard = 0.25
	priorWeight = 1
)

// group holds the counts of one key.
type group struct {
	key Key
	// entered is, per bucket, the weighted number of sequences that left the
	// bucket or ended in it, and ended that of those that ended in it.
	entered [buckets]float32
	ended   [buckets]float32
	// weight is the weight of a new sequence. It grows over time, which avoids
	// decaying all old counts.
	weight float32
	curve  *Curve
	// hazard is the hazard of each bucket when it was last computed for a
	// curve. observedEnds is the decaying count of recently ended sequences, and
	// expectedEnds the likewise decaying count that was expected from hazard.
	hazard       [buckets]float32
	observedEnds float32
	expectedEnds float32
	// staleEnds counts the ended sequences since hazard was computed. It starts
	// at maxStaleEnds.
	staleEnds int
	// computedAt is the estimator's change count when curve was computed.
	computedAt uint64
}

// Estimator holds the groups. It must be used from one goroutine at a time. A Curve
// that it returned never changes and may be read from any goroutine.
type Estimator struct {
	cfg Config
	// weightGrowth is the factor by which a group's weight grows with each ended
	// sequence, and shiftDecay the factor by which the observed and expected ends
	// decay.
	weightGrowth float32
	shiftDecay   float32
	groups       map[Key]*list.Element
	// lru holds the groups, the most recently used one first.
	lru *list.List
	// changes counts the observations that changed the groups.
	changes uint64
}

// New returns an empty estimator.
func New(cfg Config) *Estimator {
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = 8192
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = 100
	}
	if cfg.BackoffWeight <= 0 {
		cfg.BackoffWeight = 8
	}
	if cfg.ShiftHalfLife <= 0 {
		cfg.ShiftHalfLife = 10
	}
	return &Estimator{
		cfg:          cfg,
		shiftDecay:   float32(math.Exp2(-1 / cfg.ShiftHalfLife)),
		weightGrowth: float32(math.Exp2(1 / cfg.HalfLife)),
		groups:       map[Key]*list.Element{},
		lru:          list.New(),
	}
}

// Len returns the number of groups kept.
func (e *Estimator) Len() int { return len(e.groups) }

// groupKeys returns the keys of the groups that k belongs to, the finest first.
func groupKeys(k Key) [3]Key {
	return [3]Key{k, {Model: k.Model, Kind: k.Kind}, {Kind: k.Kind}}
}

// Observe records that a sequence of k grew from `from` to `to` tokens, and whether
// it ended there. A sequence that was cut short (cancelled, lost, or stopped by its
// output limit) has not ended. The ranges recorded for one sequence must not
// overlap.
func (e *Estimator) Observe(k Key, from, to int, ended bool) {
	first, last := bucketOf(from), bucketOf(to)
	if first == last && !ended {
		return
	}
	e.changes++
	for _, key := range groupKeys(k) {
		g := e.group(key)
		g.observe(first, last, ended)
		if ended {
			g.increaseWeight(e.weightGrowth)
			g.observedEnds *= e.shiftDecay
			g.expectedEnds *= e.shiftDecay
			g.staleEnds++
		}
	}
}

// maxStaleEnds is the number of ended sequences after which a hazard that was not
// recomputed is too old to compare new ends with: the comparison would show a shift
// of lengths where there is none.
const maxStaleEnds = 32

// observe counts the buckets that the sequence has left, and also its last one if
// it ended.
func (g *group) observe(first, last int, ended bool) {
	for b := first; b < last; b++ {
		g.entered[b] += g.weight
	}
	if ended {
		g.entered[last] += g.weight
		g.ended[last] += g.weight
	}
	if g.staleEnds < maxStaleEnds {
		g.compare(first, last, ended)
	}
}

// compare adds to the expected ends the hazards of the counted buckets, and to the
// observed ends 1 if the sequence ended.
func (g *group) compare(first, last int, ended bool) {
	for b := first; b < last; b++ {
		g.expectedEnds += g.hazard[b]
	}
	if ended {
		g.expectedEnds += g.hazard[last]
		g.observedEnds++
	}
}

// increaseWeight increases the weight of new sequences relative to those counted so
// far.
func (g *group) increaseWeight(growth float32) {
	g.weight *= growth
	if g.weight < maxWeight {
		return
	}
	for b := range buckets {
		g.entered[b] /= g.weight
		g.ended[b] /= g.weight
	}
	g.weight = 1
}

// group returns the group of k, creating it if necessary, and marks it as the most
// recently used one.
func (e *Estimator) group(k Key) *group {
	if el, ok := e.groups[k]; ok {
		e.lru.MoveToFront(el)
		return el.Value.(*group)
	}
	if len(e.groups) >= e.cfg.MaxKeys {
		oldest := e.lru.Back()
		delete(e.groups, oldest.Value.(*group).key)
		e.lru.Remove(oldest)
	}
	g := &group{key: k, weight: 1, staleEnds: maxStaleEnds}
	e.groups[k] = e.lru.PushFront(g)
	return g
}

// Curve returns the distribution of output lengths of k. It may be a few changes
// old, fewer than refreshAfter.
func (e *Estimator) Curve(k Key) *Curve {
	g := e.group(k)
	if g.curve != nil && e.changes-g.computedAt < refreshAfter {
		return g.curve
	}
	keys := groupKeys(k)
	var chain [len(keys)]*group
	for i, key := range keys {
		chain[i] = e.group(key)
	}
	g.curve = e.compute(chain[:])
	g.computedAt = e.changes
	return g.curve
}

// compute returns the curve of the first group of the chain, which is ordered from
// fine to coarse. In each bucket it combines the hazards of the groups, from the
// coarsest to the finest. The survival is the product over the buckets of one minus
// the hazard, raised to the power of the hazard ratio. compute also stores the
// hazards of each group for the comparison with later ends.
func (e *Estimator) compute(chain []*group) *Curve {
	c := &Curve{}
	scale := float64(hazardRatio(chain))
	survival := float32(1)
	for b := range buckets {
		c.survival[b] = survival
		hazard, backoff := float32(priorHazard), float32(priorWeight)
		for i := len(chain) - 1; i >= 0; i-- {
			g := chain[i]
			hazard = (g.ended[b]/g.weight + backoff*hazard) / (g.entered[b]/g.weight + backoff)
			backoff = float32(e.cfg.BackoffWeight)
			g.hazard[b] = hazard
		}
		survival *= float32(math.Pow(1-float64(min(hazard, 1)), scale))
	}
	for _, g := range chain {
		g.staleEnds = 0
	}
	c.fillTail()
	return c
}

// hazardRatioWeight is the number of expected ends at which a group's own hazard
// ratio and the coarser group's have the same weight.
const hazardRatioWeight = 6

// hazardRatio returns the ratio of observed to expected recent ends for the first
// group of the chain. It is below 1 when outputs have become longer. Where few ends
// were expected in a group, the ratio of the coarser group dominates.
func hazardRatio(chain []*group) float32 {
	scale := float32(1)
	for i := len(chain) - 1; i >= 0; i-- {
		g := chain[i]
		scale = (g.observedEnds + hazardRatioWeight*scale) / (g.expectedEnds + hazardRatioWeight)
	}
	return scale
}
