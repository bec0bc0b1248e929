// Package estimate learns how long outputs are and answers, for a sequence that
// has produced n tokens, how many more will come, as a distribution.
//
// Lengths fall into log-spaced buckets. For each group the estimator keeps, per
// bucket, how many sequences entered it and how many ended in it; the quotient
// is the hazard of ending there. Running sequences count as soon as they leave a
// bucket, so long answers are not missed while they still run (the product-limit
// estimate of Kaplan and Meier, 1958, for censored data). Where a group has few
// sequences in a bucket, its hazard leans on the coarser group's.
package estimate

import (
	"container/list"
	"math"

	"almondseam.dev/core/api"
)

// Key names a group of requests whose lengths are alike. Kind is the caller's
// own distinction, such as "note" and "tag".
type Key struct {
	Customer api.CustomerID
	Model    api.ModelID
	Kind     string
}

// Config shapes an Estimator; zero fields take the defaults.
type Config struct {
	// MaxKeys bounds the groups kept, about 1 KB each; the least recently
	// used one is forgotten. Default 8192.
	MaxKeys int
	// HalfLife is the number of a group's ended sequences after which an
	// older one counts half. Default 300.
	HalfLife float64
	// Thin is the number of sequences at which a group's own hazard in a
	// bucket and the coarser group's count the same. Default 8.
	Thin float64
}

// maxWeight bounds the growing weight of new sequences; beyond it the counts
// are scaled back, or float32 would lose small additions.
const maxWeight = 1024

// refreshAfter is the number of changes after which a curve is computed anew.
const refreshAfter = 32

// priorHazard is the hazard per bucket before anything was seen: a tail with a
// finite mean, heavier than a lognormal one. priorThin is the number of sequences
// it counts for; a larger one puts a long tail on lengths that are well known.
const (
	priorHazard = 0.25
	priorThin   = 1
)

// group is the counts of one key.
type group struct {
	key     Key
	entered [buckets]float32
	ended   [buckets]float32
	// weight is what a new sequence counts; it grows instead of the old
	// counts being decayed one by one.
	weight float32
	curve  *Curve
	// made is the estimator's change count when curve was computed.
	made uint64
}

// Estimator holds the groups. It is used from one goroutine at a time; a Curve
// that it returned never changes and may be read from any.
type Estimator struct {
	cfg     Config
	growth  float32
	groups  map[Key]*list.Element
	recent  *list.List
	changes uint64
}

// New returns an empty estimator.
func New(cfg Config) *Estimator {
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = 8192
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = 300
	}
	if cfg.Thin <= 0 {
		cfg.Thin = 8
	}
	return &Estimator{
		cfg:    cfg,
		growth: float32(math.Exp2(1 / cfg.HalfLife)),
		groups: map[Key]*list.Element{},
		recent: list.New(),
	}
}

// Len is the number of groups kept.
func (e *Estimator) Len() int { return len(e.groups) }

// coarser lists the groups that k belongs to, the finest first.
func coarser(k Key) [3]Key {
	return [3]Key{k, {Model: k.Model, Kind: k.Kind}, {Kind: k.Kind}}
}

// Observe notes that a sequence of k went from `from` to `to` tokens, and
// whether it ended there. A sequence that was cut (cancelled, lost, or stopped
// by its bound) has not ended. Each token is to be noted once.
func (e *Estimator) Observe(k Key, from, to int, ended bool) {
	first, last := bucketOf(from), bucketOf(to)
	if first == last && !ended {
		return
	}
	e.changes++
	for _, key := range coarser(k) {
		g := e.group(key)
		g.observe(first, last, ended)
		if ended {
			g.age(e.growth)
		}
	}
}

// observe counts the buckets left, and the last one when the sequence ended.
func (g *group) observe(first, last int, ended bool) {
	for b := first; b < last; b++ {
		g.entered[b] += g.weight
	}
	if ended {
		g.entered[last] += g.weight
		g.ended[last] += g.weight
	}
}

// age makes everything counted so far weigh less than what comes.
func (g *group) age(growth float32) {
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

// group finds or makes the group of k and marks it as used.
func (e *Estimator) group(k Key) *group {
	if el, ok := e.groups[k]; ok {
		e.recent.MoveToFront(el)
		return el.Value.(*group)
	}
	if len(e.groups) >= e.cfg.MaxKeys {
		oldest := e.recent.Back()
		delete(e.groups, oldest.Value.(*group).key)
		e.recent.Remove(oldest)
	}
	g := &group{key: k, weight: 1}
	e.groups[k] = e.recent.PushFront(g)
	return g
}

// Curve returns the distribution of k's lengths as of now or a few changes ago.
func (e *Estimator) Curve(k Key) *Curve {
	g := e.group(k)
	if g.curve != nil && e.changes-g.made < refreshAfter {
		return g.curve
	}
	keys := coarser(k)
	var chain [len(keys)]*group
	for i, key := range keys {
		chain[i] = e.group(key)
	}
	g.curve = e.compute(chain[:])
	g.made = e.changes
	return g.curve
}

// compute multiplies up one minus the hazards, from the coarsest group's to the
// finest's.
func (e *Estimator) compute(chain []*group) *Curve {
	c := &Curve{}
	alive := float32(1)
	for b := range buckets {
		c.alive[b] = alive
		hazard, thin := float32(priorHazard), float32(priorThin)
		for i := len(chain) - 1; i >= 0; i-- {
			g := chain[i]
			hazard = (g.ended[b]/g.weight + thin*hazard) / (g.entered[b]/g.weight + thin)
			thin = float32(e.cfg.Thin)
		}
		alive *= 1 - min(hazard, 1)
	}
	c.finish()
	return c
}
