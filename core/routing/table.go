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
	// baseEjection is how long a target is ejected after a first failure, before
	// jitter.
	baseEjection = 250 * time.Millisecond
	// maxEjectionDoublings bounds the number of doublings; maxEjection bounds the
	// time before jitter.
	maxEjectionDoublings = 6
	maxEjection          = 15 * time.Second
)

// point is the position of a target on the hash ring of its zone.
type point struct {
	hash uint64
	t    *target
}

// zoneSet holds the targets of one group in one availability zone, sorted by
// hash. It is used for prefix hashing and for sampling by index.
type zoneSet struct {
	zone   api.Zone
	points []point
}

// groupLoad is the total load of a group's targets, in sequences. All versions of
// the group share it, so that Sent can update it without a lock.
type groupLoad struct{ sum atomic.Int64 }

// group is one version of the set of targets that serve one model or service.
type group struct {
	zones []zoneSet
	size  int
	load  *groupLoad
}

// mean returns the mean number of sequences per target of the group.
func (g *group) mean() float64 {
	if g.size == 0 {
		return 0
	}
	return max(0, float64(g.load.sum.Load())/float64(g.size))
}

// View is the snapshot that one choice reads: the targets of each model and
// service. The sets of targets of a published View never change.
type View struct {
	models   map[api.ModelID]*group
	services map[api.ServiceID]*group
}

// Size returns the number of targets that serve q's model or service.
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

// Table holds an entry's knowledge of the targets. Announce, Leave and Remove
// share a lock and publish a new View; all other methods are lock-free. All
// methods are safe for concurrent use.
type Table struct {
	view  atomic.Pointer[View]
	byID  sync.Map // api.TargetID to *target
	mu    sync.Mutex
	known atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	tb := &Table{}
	tb.view.Store(&View{})
	return tb
}

// View returns the current view.
func (tb *Table) View() *View { return tb.view.Load() }

// Len returns the number of known targets, including those that are leaving.
func (tb *Table) Len() int { return int(tb.known.Load()) }

func (tb *Table) find(id api.TargetID) *target {
	v, ok := tb.byID.Load(id)
	if !ok {
		return nil
	}
	return v.(*target)
}

// Get returns what is known of a target, with its last report.
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

// Announce adds a target or replaces what was known of it. It returns false for
// an announcement of an earlier incarnation, or of the current one after it
// announced that it is leaving. Such a message was delayed on a link, and
// applying it would send requests to a process that is gone. Announce keeps the
// slices of a, which must not change afterwards.
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
	// The removal and the addition are published as one View: between them a model
	// with a single target would have none.
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

// Report applies one load report. It returns false when the target is unknown or
// of another incarnation, or when the report is not later than the last one.
func (tb *Table) Report(id api.TargetID, inc api.Incarnation, l Load) bool {
	t := tb.find(id)
	if t == nil || t.info.Incarnation != inc {
		return false
	}
	return t.apply(l)
}

// Leave marks a target as leaving: choices that start after Leave has returned do
// not include it. It returns false when that incarnation is not known.
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

// Remove deletes a target. It returns false when the target is unknown or of another
// incarnation.
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

// Failed records that a target failed or refused a request. It ejects the target for
// a time that doubles with each consecutive failure, jittered so that the entries do
// not all return to the target at once. A target that sent retryAfter is ejected for
// at least that long, up to maxEjection.
func (tb *Table) Failed(id api.TargetID, retryAfter time.Duration, now time.Time, rng *rand.Rand) {
	t := tb.find(id)
	if t == nil {
		return
	}
	n := min(t.failures.Add(1)-1, maxEjectionDoublings)
	d := max(baseEjection<<n, retryAfter)
	d = min(d, maxEjection)
	t.eject(now.Add(d + time.Duration(rng.Int64N(int64(d)/2))))
}

// Succeeded records that a target accepted a request: its next failure counts as the
// first. It does not end an ejection.
func (tb *Table) Succeeded(id api.TargetID) {
	if t := tb.find(id); t != nil && t.failures.Load() != 0 {
		t.failures.Store(0)
	}
}

// Sent records that a request with the given number of tokens was sent to a target,
// so that choices count it before the target's own report does.
func (tb *Table) Sent(id api.TargetID, tokens int, now time.Time) {
	if t := tb.find(id); t != nil {
		t.begin(tokens, now)
	}
}

// Ended records that a request has ended; tokens is the number that was passed to
// Sent.
func (tb *Table) Ended(id api.TargetID, tokens int, now time.Time) {
	if t := tb.find(id); t != nil {
		t.end(tokens, now)
	}
}

// list returns the view with t added to the groups of its models and services. The
// table's lock must be held for this and the functions below.
func (v *View) list(t *target) *View {
	return v.change(t, func(g *group) *group { return g.with(t) })
}

// unlist returns the view without t.
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

// changeGroups returns a copy of the map in which the groups of names are replaced;
// a group that has become empty is dropped. It appends the groups' loads to loads.
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

// with returns the group with t added.
func (g *group) with(t *target) *group {
	return g.replace(t, func(ps []point) []point {
		at, _ := slices.BinarySearchFunc(ps, t.hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
		return slices.Insert(slices.Clone(ps), at, point{t.hash, t})
	})
}

// without returns the group with t removed.
func (g *group) without(t *target) *group {
	return g.replace(t, func(ps []point) []point {
		return slices.DeleteFunc(slices.Clone(ps), func(p point) bool { return p.t == t })
	})
}

// replace returns a copy of the group with the zone of t changed; the other zones are
// shared. It also recomputes the sum of loads, because a Sent that ran concurrently
// with an earlier change may not have been added to the sum.
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
			sum += p.t.contribution.Load()
		}
	}
	out.load.sum.Store(sum)
	return out
}

func hashID(id api.TargetID) uint64 { return xxhash.Sum64String(string(id)) }
