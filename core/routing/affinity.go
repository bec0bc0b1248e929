package routing

import (
	"cmp"
	"slices"
)

// probes is the number of places at which a prefix looks on the circle. With
// one point a target, several probes even the shares out as many points a
// target would, at a fraction of the memory (multi-probe consistent hashing,
// Appleton and O'Reilly, 2015).
const probes = 8

// near is a target that a probe met and how far it lay.
type near struct {
	distance uint64
	t        *target
}

// affinity looks at the target that the prefix leads to: of those that the
// probes meet, the nearest whose load is within the bound. Each entry hashes
// alike, so that one prefix meets the same engine's cache from everywhere; the
// bound keeps a popular prefix from filling that engine.
func (c *choice) affinity(own *zoneSet) {
	if c.s.q.Prefix == 0 {
		return
	}
	z := own
	if z == nil {
		z = c.zoneOf(c.s.q.Prefix)
	}
	var met [probes]near
	lookup(z.points, c.s.q.Prefix, &met)
	for _, n := range met {
		if c.within(n.t) {
			c.consider(n.t, true)
			return
		}
	}
}

// zoneOf gives one zone for a prefix when the entry's own zone has no target.
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

// within tells whether one more request keeps t under the bound.
func (c *choice) within(t *target) bool {
	if t.leaving.Load() || avoided(&c.s.q, t.info.ID) {
		return false
	}
	snap := c.snapshot(t)
	return !snap.Aside && snap.Load+1 <= c.o.Bound*c.mean+1
}

// lookup fills met with the targets that the probes meet, nearest first; one
// may stand there twice. ps must not be empty.
func lookup(ps []point, prefix uint64, met *[probes]near) {
	h := prefix
	for i := range met {
		h = mix(h)
		at, _ := slices.BinarySearchFunc(ps, h, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
		p := ps[at%len(ps)]
		met[i] = near{p.hash - h, p.t}
	}
	slices.SortFunc(met[:], func(a, b near) int { return cmp.Compare(a.distance, b.distance) })
}

// mix is the finaliser of SplitMix64: every bit of x moves every bit of the
// answer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
