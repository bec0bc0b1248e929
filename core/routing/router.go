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

// Filter decides whether a candidate may be asked for a bid. It must not keep c
// or q, must not block, and must be safe for concurrent use.
type Filter interface {
	Keep(q *Query, c *Candidate) bool
}

// Scorer returns the cost of a candidate; costs are added up and the lowest sum is
// best. The unit is the mean load of a target: a cost of 1 is as bad as one
// additional mean load. The contract is that of Filter.
type Scorer interface {
	Score(q *Query, c *Candidate) float64
}

// Picker selects at most n candidates from pool, best first, and appends them to
// dst. It may reorder pool and must not keep it. The contract is that of Filter;
// rng is used by this call only.
type Picker interface {
	Pick(dst, pool []Candidate, n int, rng *rand.Rand) []Candidate
}

// Options configures a Router. A zero field means its default.
type Options struct {
	// Ask is the number of targets to ask for a bid. Default 2.
	Ask int
	// Local and Foreign are the numbers of targets that are sampled in the
	// entry's own availability zone and outside of it. Defaults 4 and 2.
	Local   int
	Foreign int
	// Bound is the load, relative to the mean, up to which prefix hashing may
	// select a target. Default 1.25.
	Bound float64
	// AnyZone treats all availability zones alike.
	AnyZone bool
	// ZoneWait is how much sooner a target outside of the entry's zone must
	// start the request to be preferred. Default 20 ms; a negative value means
	// zero.
	ZoneWait time.Duration
	// Filters, Scorers and Picker replace the default ones.
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

const (
	defaultAsk     = 2
	defaultLocal   = 4
	defaultForeign = 2
	defaultBound   = 1.25
	// maxAsk and maxSample limit Options, so that the cost of a decision is bounded.
	maxAsk    = 8
	maxSample = 16
	// maxScan bounds the scan that follows when no sampled target may be asked.
	maxScan = 64
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
		o.Filters = []Filter{NotAvoided{}, Healthy{}}
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

// NewRouter returns a router that chooses from tb.
func NewRouter(tb *Table, o Options) *Router {
	r := &Router{table: tb}
	r.Set(o)
	r.scratch.New = func() any { return &scratch{} }
	return r
}

// Set replaces the options for subsequent choices.
func (r *Router) Set(o Options) {
	o = o.withDefaults()
	r.opts.Store(&o)
}

// scratch is the working memory of one decision; its size is bounded and does not
// grow with the number of targets.
type scratch struct {
	q    Query
	pool []Candidate
	seen []*target
}

// Choose appends to dst the targets to ask for a bid, best first: at most
// Options.Ask of them, none that is leaving, in an evacuated availability zone
// or in q.Avoid. It appends nothing when it finds no such target. Targets that
// the filters drop, such as unhealthy ones, are appended only when it finds no
// other: asking costs one message, and the target itself decides whether to
// accept. rng is used by this call only.
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
		c.scan()
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

// choice is the state of one decision.
type choice struct {
	r    *Router
	o    *Options
	s    *scratch
	g    *group
	mean float64
	now  time.Time
	rng  *rand.Rand
}

// gather considers the target that the prefix hashes to, then a random sample of
// the entry's own zone, then one of the other zones. A new sample is drawn for
// each decision: entries that share a late report would otherwise all send
// requests to the target that it shows as least loaded.
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

// sample considers n targets drawn at random, or all when there are no more than
// n. A target may be drawn repeatedly, but consider skips repetitions.
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

// sampleOthers samples the targets outside of own as though they were in one zone.
// If own is nil, it also draws the sample that the own zone would have contributed.
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
		c.consider(c.targetAt(own, at), false)
	}
}

// targetAt returns the target with index at among the targets outside of own.
func (c *choice) targetAt(own *zoneSet, at int) *target {
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

// scan inspects up to maxScan targets from a random start when every sampled target
// was filtered out: first with the filters, then, if that finds none, without
// them.
func (c *choice) scan() {
	start := c.rng.IntN(c.g.size)
	steps := min(c.g.size, maxScan)
	for i := range steps {
		c.consider(c.targetAt(nil, (start+i)%c.g.size), false)
		if len(c.s.pool) >= c.o.Ask {
			return
		}
	}
	if len(c.s.pool) > 0 {
		return
	}
	for i := range steps {
		c.considerUnfiltered(c.targetAt(nil, (start+i)%c.g.size))
		if len(c.s.pool) >= c.o.Ask {
			return
		}
	}
}

// consider adds t to the pool unless it was considered before, accepts no new
// requests, or a filter drops it.
func (c *choice) consider(t *target, affinity bool) {
	if slices.Contains(c.s.seen, t) {
		return
	}
	c.s.seen = append(c.s.seen, t)
	if !c.acceptsNew(t) {
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

// acceptsNew reports whether a target may be sent new requests: it is not leaving and
// its availability zone is not evacuated.
func (c *choice) acceptsNew(t *target) bool {
	return !t.leaving.Load() && !slices.Contains(c.s.q.Evacuated, t.info.Zone)
}

func (c *choice) considerUnfiltered(t *target) {
	if !c.acceptsNew(t) || avoided(&c.s.q, t.info.ID) {
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

// Lowest picks the candidates with the lowest scores; candidates with equal scores
// in random order.
type Lowest struct{}

// Pick implements Picker.
func (Lowest) Pick(dst, pool []Candidate, n int, rng *rand.Rand) []Candidate {
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) })
	return append(dst, pool[:min(n, len(pool))]...)
}
