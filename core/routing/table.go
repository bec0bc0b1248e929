package routing

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

const (
	// asideBase is how long a first failure puts a target aside.
	asideBase = 250 * time.Millisecond
	// asideDoublings bounds the doubling; asideMax bounds the whole.
	asideDoublings = 6
	asideMax       = 15 * time.Second
)

// point places a target on the hash circle of its zone.
type point struct {
	hash uint64
	t    *target
}

// zoneSet holds the targets of one group in one availability zone, sorted by
// hash. It serves both prefix hashing and sampling by index.
type zoneSet struct {
	zone   api.Zone
	points []point
}

// groupLoad sums the load of a group's targets, in sequences. It outlives the
// group's versions, so that Sent may add to it without a lock.
type groupLoad struct{ sum atomic.Int64 }

// group is one version of the targets that answer for one model or service.
type group struct {
	zones []zoneSet
	size  int
	load  *groupLoad
}

// mean gives the mean number of sequences on a target of the group.
func (g *group) mean() float64 {
	if g.size == 0 {
		return 0
	}
	return max(0, float64(g.load.sum.Load())/float64(g.size))
}

// View is what one choice reads: the targets of each model and service. A
// published View never changes.
type View struct {
	models   map[api.ModelID]*group
	services map[api.ServiceID]*group
}

// Size gives the number of targets that q could be sent to.
func (v *View) Size(q Query) int {
	g := v.group(&q)
	if g == nil {
		return 0
	}
	return g.size
}

func (v *View) group(q *Query) *group {
	if q.Service != "" {
		return v.services[q.Service]
	}
	return v.models[q.Model]
}

// Table is an entry's knowledge of the targets. Announce, Leave and Remove
// take a lock among themselves and publish a new View; everything else is
// lock-free. All methods may be called from several goroutines.
type Table struct {
	view  atomic.Pointer[View]
	byID  sync.Map // api.TargetID to *target
	mu    sync.Mutex
	known atomic.Int64
}

// NewTable gives a table without targets.
func NewTable() *Table {
	tb := &Table{}
	tb.view.Store(&View{})
	return tb
}

// View gives the current view.
func (tb *Table) View() *View { return tb.view.Load() }

// Len gives the number of known targets, leaving ones included.
func (tb *Table) Len() int { return int(tb.known.Load()) }

func (tb *Table) find(id api.TargetID) *target {
	v, ok := tb.byID.Load(id)
	if !ok {
		return nil
	}
	return v.(*target)
}

// Get gives what is known of a target, with its last report.
func (tb *Table) Get(id api.TargetID) (Target, bool) {
	t := tb.find(id)
	if t == nil {
		return Target{}, false
	}
	out := t.info
	out.Leaving = t.leaving.Load()
	r := t.report.Load()
	out.Running, out.Waiting = r.Running, r.Waiting
	out.Free, out.Capacity = r.Free, r.Capacity
	out.Reported = r.Reported
	return out, true
}

// Announce makes a target known or replaces what was known of it. It gives
// false for an announcement of an earlier incarnation, or of this one after it
// said that it is leaving: such a message was late in a link, and taking it
// would send work to a process that is gone. The slices of a are kept and must
// not change afterwards.
func (tb *Table) Announce(a Target) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	old := tb.find(a.ID)
	if old != nil && stale(old, &a) {
		return false
	}
	if old != nil && sameMembership(old, &a) {
		old.apply(a.load())
		return true
	}
	// Both changes are published as one: between them a model with a single
	// target would have none.
	t := newTarget(a)
	v := tb.view.Load()
	if old != nil {
		v = v.unlist(old)
		t.inherit(old)
	} else {
		tb.known.Add(1)
	}
	if !a.Leaving {
		v = v.list(t)
	}
	tb.byID.Store(a.ID, t)
	tb.view.Store(v)
	return true
}

func stale(old *target, a *Target) bool {
	if a.Incarnation < old.info.Incarnation {
		return true
	}
	return a.Incarnation == old.info.Incarnation && old.leaving.Load() && !a.Leaving
}

func sameMembership(old *target, a *Target) bool {
	return old.info.Incarnation == a.Incarnation &&
		old.info.Zone == a.Zone &&
		old.leaving.Load() == a.Leaving &&
		slices.Equal(old.info.Models, a.Models) &&
		slices.Equal(old.info.Services, a.Services)
}

// Report applies one load report. It gives false when the target is unknown,
// of another incarnation, or when a later report is already here.
func (tb *Table) Report(id api.TargetID, inc api.Incarnation, l Load) bool {
	t := tb.find(id)
	if t == nil || t.info.Incarnation != inc {
		return false
	}
	return t.apply(l)
}

// Leave marks a target as leaving: no choice made after Leave returns gives it.
// It gives false when that incarnation is not known.
func (tb *Table) Leave(id api.TargetID, inc api.Incarnation) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	t := tb.find(id)
	if t == nil || t.info.Incarnation != inc {
		return false
	}
	if !t.leaving.Swap(true) {
		tb.view.Store(tb.view.Load().unlist(t))
	}
	return true
}

// Remove forgets a target, unless another incarnation has taken its place.
func (tb *Table) Remove(id api.TargetID, inc api.Incarnation) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	t := tb.find(id)
	if t == nil || t.info.Incarnation != inc {
		return false
	}
	if !t.leaving.Swap(true) {
		tb.view.Store(tb.view.Load().unlist(t))
	}
	tb.byID.Delete(id)
	tb.known.Add(-1)
	return true
}

// Failed notes that a target failed or refused: it is put aside for a time that
// doubles with each failure in a row, jittered so that entries don't all come
// back to it at once. A target that said when to come back is put aside for at
// least that long, up to asideMax.
func (tb *Table) Failed(id api.TargetID, retryAfter time.Duration, now time.Time, rng *rand.Rand) {
	t := tb.find(id)
	if t == nil {
		return
	}
	n := min(t.fails.Add(1)-1, asideDoublings)
	d := max(asideBase<<n, retryAfter)
	d = min(d, asideMax)
	t.setAside(now.Add(d + time.Duration(rng.Int64N(int64(d)/2))))
}

// Succeeded notes that a target took a request: its next failure counts as the
// first. It stays aside if another request has put it there meanwhile.
func (tb *Table) Succeeded(id api.TargetID) {
	if t := tb.find(id); t != nil && t.fails.Load() != 0 {
		t.fails.Store(0)
	}
}

// Sent notes that a request of so many tokens was sent to a target, so that
// choices count it before the target's own report does.
func (tb *Table) Sent(id api.TargetID, tokens int, now time.Time) {
	if t := tb.find(id); t != nil {
		t.begin(tokens, now)
	}
}

// Ended notes that a request sent earlier has ended, with the tokens given to
// Sent.
func (tb *Table) Ended(id api.TargetID, tokens int, now time.Time) {
	if t := tb.find(id); t != nil {
		t.end(tokens, now)
	}
}

// list gives the view with t in the groups it answers for. The table's lock is
// held, here and below.
func (v *View) list(t *target) *View {
	return v.change(t, func(g *group) *group { return g.with(t) })
}

// unlist gives the view without t.
func (v *View) unlist(t *target) *View {
	defer t.groups.Store(nil)
	return v.change(t, func(g *group) *group { return g.without(t) })
}

func (v *View) change(t *target, change func(*group) *group) *View {
	var loads []*groupLoad
	next := &View{
		models:   changeGroups(v.models, t.info.Models, change, &loads),
		services: changeGroups(v.services, t.info.Services, change, &loads),
	}
	t.groups.Store(&loads)
	return next
}

// changeGroups copies the map and replaces the groups of names; a group that
// has become empty is dropped.
func changeGroups[K comparable](m map[K]*group, names []K, change func(*group) *group, loads *[]*groupLoad) map[K]*group {
	if len(names) == 0 {
		return m
	}
	out := maps.Clone(m)
	if out == nil {
		out = make(map[K]*group, len(names))
	}
	for _, name := range names {
		g := out[name]
		if g == nil {
			g = &group{load: &groupLoad{}}
		}
		g = change(g)
		if g.size == 0 {
			delete(out, name)
			continue
		}
		out[name] = g
		*loads = append(*loads, g.load)
	}
	return out
}

// with gives the group with t in it.
func (g *group) with(t *target) *group {
	return g.replace(t, func(ps []point) []point {
		at, _ := slices.BinarySearchFunc(ps, t.hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
		return slices.Insert(slices.Clone(ps), at, point{t.hash, t})
	})
}

// without gives the group with t out of it.
func (g *group) without(t *target) *group {
	return g.replace(t, func(ps []point) []point {
		return slices.DeleteFunc(slices.Clone(ps), func(p point) bool { return p.t == t })
	})
}

// replace copies the zone of t and shares the others. The sum of loads is
// counted anew: a Sent that raced with an earlier change may have missed it.
func (g *group) replace(t *target, change func([]point) []point) *group {
	out := &group{zones: slices.Clone(g.zones), load: g.load}
	i := slices.IndexFunc(out.zones, func(z zoneSet) bool { return z.zone == t.info.Zone })
	if i < 0 {
		i = len(out.zones)
		out.zones = append(out.zones, zoneSet{zone: t.info.Zone})
	}
	out.zones[i].points = change(out.zones[i].points)
	if len(out.zones[i].points) == 0 {
		out.zones = slices.Delete(out.zones, i, i+1)
	}
	var sum int64
	for _, z := range out.zones {
		out.size += len(z.points)
		for _, p := range z.points {
			sum += p.t.counted.Load()
		}
	}
	out.load.sum.Store(sum)
	return out
}

func hashID(id api.TargetID) uint64 { return xxhash.Sum64String(string(id)) }
