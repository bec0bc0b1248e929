package routing

import (
	"cmp"
	"slices"
)

// probeCount is the number of points at which a prefix probes the hash ring. With
// one point per target, several probes balance the shares as well as many
// points per target would, at a fraction of the memory (multi-probe consistent
// hashing, Appleton and O'Reilly, 2015).
const probeCount = 8

// probeHit is the target that a probe found and its distance on the hash ring.
type probeHit struct {
	distance uint64
	t        *target
}

// affinity considers the target that the prefix hashes to: of the targets that
// the probes find, the nearest one whose load is within the bound. All entries
// of a zone use the same hash, so that requests with one prefix reach the same
// engine's cache; the bound keeps a popular prefix from overloading that engine.
func (c *choice) affinity(own *zoneSet) {
	if c.s.q.Prefix == 0 {
		return
	}
	z := own
	if z == nil {
		z = c.zoneOf(c.s.q.Prefix)
	}
	var hits [probeCount]probeHit
	probe(z.points, c.s.q.Prefix, &hits)
	for _, n := range hits {
		if c.withinBound(n.t) {
			c.consider(n.t, true)
			return
		}
	}
}

// zoneOf returns the zone in which a prefix is looked up when the entry's own
// zone has no target or zones are not preferred.
func (c *choice) zoneOf(prefix uint64) *zoneSet {
	at := int(mix(prefix) % uint64(c.g.size))
	for i := range c.g.zones {
		if at < len(c.g.zones[i].points) {
			return &c.g.zones[i]
		}
		at -= len(c.g.zones[i].points)
	}
	return &c.g.zones[0]
}

// withinBound reports whether t can take the request and its load, with one more
// sequence, stays within the bound.
func (c *choice) withinBound(t *target) bool {
	if t.leaving.Load() || avoided(&c.s.q, t.info.ID) {
		return false
	}
	snap := c.snapshot(t)
	return !snap.Unhealthy && snap.Load+1 <= c.o.Bound*c.mean+1
}

// probe fills hits with the targets that the probes find, nearest first; a target
// may occur more than once. ps must not be empty.
func probe(ps []point, prefix uint64, hits *[probeCount]probeHit) {
	h := prefix
	for i := range hits {
		h = mix(h)
		at, _ := slices.BinarySearchFunc(ps, h, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
		p := ps[at%len(ps)]
		hits[i] = probeHit{p.hash - h, p.t}
	}
	slices.SortFunc(hits[:], func(a, b probeHit) int { return cmp.Compare(a.distance, b.distance) })
}

// mix is the finaliser of SplitMix64: every bit of x affects every bit of the
// result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
