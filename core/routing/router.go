package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// Filter tells whether a candidate may be asked. It must not keep c or q, must
// not block, and is called from several goroutines at a time.
type Filter interface {
	Keep(q *Query, c *Candidate) bool
}

// Scorer gives a cost to a candidate; costs add up and the lowest sum is best.
// The unit is the mean load of a target: 1 means "as bad as one mean load
// more". The contract is Filter's.
type Scorer interface {
	Score(q *Query, c *Candidate) float64
}

// Picker takes at most n candidates from pool, best first, and appends them to
// dst. It may reorder pool and must not keep it. The contract is Filter's; rng
// belongs to the call.
type Picker interface {
	Pick(dst, pool []Candidate, n int, rng *rand.Rand) []Candidate
}

// Options sets a Router. A zero field takes its default.
type Options struct {
	// Ask is the number of targets to ask for a bid; 2.
	Ask int
	// Local and Foreign are the numbers of targets that are looked at in the
	// entry's own availability zone and outside of it; 4 and 2.
	Local   int
	Foreign int
	// Bound is the load, relative to the mean, up to which prefix hashing may
	// lead to a target; 1.25.
	Bound float64
	// AnyZone makes all availability zones alike.
	AnyZone bool
	// ZoneWait is how much sooner a target outside of the entry's zone must
	// start to be taken; 20 ms, and none when negative.
	ZoneWait time.Duration
	// Filters, Scorers and Picker replace the standard parts.
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

const (
	defaultAsk     = 2
	defaultLocal   = 4
	defaultForeign = 2
	defaultBound   = 1.25
	// maxAsk, maxSample bound Options so that a decision has a bounded cost.
	maxAsk    = 8
	maxSample = 16
	// maxWalk bounds the search that follows when no sample may be asked.
	maxWalk = 64
)

func (o Options) withDefaults() Options {
	o.Ask = bounded(o.Ask, defaultAsk, maxAsk)
	o.Local = bounded(o.Local, defaultLocal, maxSample)
	o.Foreign = bounded(o.Foreign, defaultForeign, maxSample)
	if o.Bound < 1 {
		o.Bound = defaultBound
	}
	if o.ZoneWait == 0 {
		o.ZoneWait = defaultZoneWait
	}
	if o.AnyZone || o.ZoneWait < 0 {
		o.ZoneWait = 0
	}
	if o.Filters == nil {
		o.Filters = []Filter{NotAvoided{}, NotAside{}}
	}
	if o.Scorers == nil {
		o.Scorers = []Scorer{ByLoad{}, ByMemory{}, ByZone{}, ByPrefix{}, ByAge{}}
		if o.AnyZone {
			o.Scorers = []Scorer{ByLoad{}, ByMemory{}, ByPrefix{}, ByAge{}}
		}
	}
	if o.Picker == nil {
		o.Picker = Lowest{}
	}
	return o
}

func bounded(n, standard, most int) int {
	if n <= 0 {
		return standard
	}
	return min(n, most)
}

// Router chooses targets from a Table. It may be used from several goroutines.
type Router struct {
	table   *Table
	opts    atomic.Pointer[Options]
	scratch sync.Pool
}

// NewRouter gives a router over tb.
func NewRouter(tb *Table, o Options) *Router {
	r := &Router{table: tb}
	r.Set(o)
	r.scratch.New = func() any { return &scratch{} }
	return r
}

// Set replaces the options, for the choices that begin from now on.
func (r *Router) Set(o Options) {
	o = o.withDefaults()
	r.opts.Store(&o)
}

// scratch is the working memory of one decision; its size depends on Options
// only, not on the number of targets.
type scratch struct {
	q    Query
	pool []Candidate
	seen []*target
}

// Choose appends to dst the targets to ask for a bid, best first: at most
// Options.Ask of them, none that is leaving or in q.Avoid. It gives nothing
// when no such target is known. A target that is set aside is given only when
// there is no other: asking costs one message, and the target answers for
// itself. rng is used by this call only.
func (r *Router) Choose(dst []Candidate, q Query, now time.Time, rng *rand.Rand) []Candidate {
	s := r.scratch.Get().(*scratch)
	defer r.release(s)
	s.q = q
	g := r.table.View().group(&s.q)
	if g == nil || g.size == 0 {
		return dst
	}
	c := choice{r: r, o: r.opts.Load(), s: s, g: g, mean: g.mean(), now: now, rng: rng}
	c.gather()
	if len(s.pool) == 0 {
		c.walk()
	}
	c.score()
	return c.o.Picker.Pick(dst, s.pool, c.o.Ask, rng)
}

func (r *Router) release(s *scratch) {
	clear(s.pool)
	clear(s.seen)
	s.pool = s.pool[:0]
	s.seen = s.seen[:0]
	s.q = Query{}
	r.scratch.Put(s)
}

// choice is one decision under way.
type choice struct {
	r    *Router
	o    *Options
	s    *scratch
	g    *group
	mean float64
	now  time.Time
	rng  *rand.Rand
}

// gather looks at the target that prefix hashing leads to, then at a sample of
// the entry's own zone, then at a sample of the others. Samples are drawn anew
// for each decision: entries that share a late report would otherwise all send
// to the target that it shows as least loaded.
func (c *choice) gather() {
	own := c.ownZone()
	c.affinity(own)
	if own != nil {
		c.sample(own.points, c.o.Local)
	}
	c.sampleOthers(own)
}

func (c *choice) ownZone() *zoneSet {
	if c.o.AnyZone {
		return nil
	}
	i := slices.IndexFunc(c.g.zones, func(z zoneSet) bool { return z.zone == c.s.q.Zone })
	if i < 0 {
		return nil
	}
	return &c.g.zones[i]
}

// sample looks at n targets drawn without repetition, or at all when there are
// no more than n.
func (c *choice) sample(ps []point, n int) {
	if len(ps) <= n {
		for _, p := range ps {
			c.consider(p.t, false)
		}
		return
	}
	for range n {
		c.consider(ps[c.rng.IntN(len(ps))].t, false)
	}
}

// sampleOthers draws from the other zones as though they were one.
func (c *choice) sampleOthers(own *zoneSet) {
	total := c.g.size
	if own != nil {
		total -= len(own.points)
	}
	n := c.o.Foreign
	if own == nil {
		n += c.o.Local
	}
	for i := range min(n, total) {
		at := i
		if total > n {
			at = c.rng.IntN(total)
		}
		c.consider(c.other(own, at), false)
	}
}

// other gives the at-th target outside of own.
func (c *choice) other(own *zoneSet, at int) *target {
	for i := range c.g.zones {
		z := &c.g.zones[i]
		if own != nil && z.zone == own.zone {
			continue
		}
		if at < len(z.points) {
			return z.points[at].t
		}
		at -= len(z.points)
	}
	return nil
}

// walk goes on from a random place when every sampled target was filtered out,
// first with the filters, then, if that gives nothing, without minding who is
// aside.
func (c *choice) walk() {
	start := c.rng.IntN(c.g.size)
	steps := min(c.g.size, maxWalk)
	for i := range steps {
		c.consider(c.other(nil, (start+i)%c.g.size), false)
		if len(c.s.pool) >= c.o.Ask {
			return
		}
	}
	if len(c.s.pool) > 0 {
		return
	}
	for i := range steps {
		c.lastResort(c.other(nil, (start+i)%c.g.size))
		if len(c.s.pool) >= c.o.Ask {
			return
		}
	}
}

// consider adds t to the pool unless it was looked at before, is leaving, or a
// filter drops it.
func (c *choice) consider(t *target, affinity bool) {
	if slices.Contains(c.s.seen, t) {
		return
	}
	c.s.seen = append(c.s.seen, t)
	if !c.open(t) {
		return
	}
	at := len(c.s.pool)
	c.s.pool = append(c.s.pool, c.snapshot(t))
	cand := &c.s.pool[at]
	cand.Affinity = affinity
	for _, f := range c.o.Filters {
		if !f.Keep(&c.s.q, cand) {
			c.s.pool = c.s.pool[:at]
			return
		}
	}
}

// open tells whether a target takes anything new.
func (c *choice) open(t *target) bool {
	return !t.leaving.Load() && !slices.Contains(c.s.q.Evacuated, t.info.Zone)
}

func (c *choice) lastResort(t *target) {
	if !c.open(t) || avoided(&c.s.q, t.info.ID) {
		return
	}
	c.s.pool = append(c.s.pool, c.snapshot(t))
}

func (c *choice) score() {
	for i := range c.s.pool {
		cand := &c.s.pool[i]
		for _, sc := range c.o.Scorers {
			cand.Score += sc.Score(&c.s.q, cand)
		}
	}
}

func avoided(q *Query, id api.TargetID) bool { return slices.Contains(q.Avoid, id) }

// Lowest picks the candidates with the lowest scores; equal ones in random
// order.
type Lowest struct{}

// Pick implements Picker.
func (Lowest) Pick(dst, pool []Candidate, n int, rng *rand.Rand) []Candidate {
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) })
	return append(dst, pool[:min(n, len(pool))]...)
}
