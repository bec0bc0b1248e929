package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/state"
	"almondseam.dev/core/targetlimit"
)

// Target is one run of a target as this entry knows it.
type Target struct {
	directory.Record
	draining atomic.Bool
	// unlisted targets are in no list any more; the table's lock is held for it.
	unlisted bool
	// drainingSince is when the target was first known to drain, Unix nanoseconds.
	drainingSince atomic.Int64
	// coldTill is until when the target is cold, takenBack when its zone's evacuation was
	// finished; Unix nanoseconds, zero for never.
	coldTill  atomic.Int64
	takenBack atomic.Int64
	// heldBackTill is until when the target is passed over because others are granted all
	// the requests that it bears, Unix nanoseconds.
	heldBackTill atomic.Int64
	// limited is what this entry knows of the target's limit; nil for nothing.
	limited atomic.Pointer[targetlimit.View]
	// limitUnreadable is set while the target names a limit that can't be read.
	limitUnreadable atomic.Bool
	// stating is set while the group is told of the limit.
	stating atomic.Bool
	// running to movingRuns are this entry's own load on the target.
	running atomic.Int64
	tokens  atomic.Int64
	unread  atomic.Int64
	moving  atomic.Int64
	// movingRuns counts the runs in moving.
	movingRuns atomic.Int64
	// others is the load by other entries, as last reported.
	others atomic.Pointer[fleetload.Load]
	// ahead is what entries before this one move first when the target drains, as known
	// when it began to; nil for nothing.
	ahead atomic.Pointer[fleetload.Backlog]
	// table is notified of changes of this entry's load.
	table *Targets
	// turn is held by the run that is being moved from the target.
	turn chan struct{}
	// avoidTill is until when the target is passed over, Unix nanoseconds.
	avoidTill atomic.Int64
	// fullTill is until when the target counts as full, Unix nanoseconds.
	fullTill atomic.Int64
	// failures in a row.
	failures atomic.Int32
}

// serviceTargets are the targets of one service; the list is replaced whole.
type serviceTargets struct {
	list atomic.Pointer[[]*Target]
}

// Targets is this entry's table of targets. Readers of a service's list take no lock; a
// change costs as much as the list of its service is long, without hashing.
type Targets struct {
	// services is copied when a service is added.
	services atomic.Pointer[map[api.ServiceID]*serviceTargets]
	count    atomic.Int64

	mu   sync.Mutex
	byID map[api.TargetID]*Target
	// others are the loads by other entries, by target.
	others map[api.TargetID]fleetload.Sum
	// limits are those that targets have named to any entry, as of the log index limitsAt.
	limits   map[api.TargetID]state.TargetLimit
	limitsAt uint64

	dirtyMu sync.Mutex
	// dirty are the targets on which this entry's load has changed since it was taken.
	dirty map[api.TargetID]struct{}
	// changed holds a token once a change is to be reported.
	changed chan struct{}
	// entries is how many entries have reported their load of late, this one included.
	entries atomic.Int64
	// evacuation is nil before the first list of evacuated zones.
	evacuation atomic.Pointer[evacuation]
}

// usualEntries is assumed until the first load reports of other entries arrive. An entry
// that took itself for the only one would draw all targets for each choice, as others
// that have just started do, and choose the same one.
const usualEntries = 6

// NewTargets makes an empty table.
func NewTargets() *Targets {
	t := &Targets{
		byID: make(map[api.TargetID]*Target), others: make(map[api.TargetID]fleetload.Sum),
		dirty: make(map[api.TargetID]struct{}), changed: make(chan struct{}, 1),
	}
	t.entries.Store(usualEntries)
	t.services.Store(&map[api.ServiceID]*serviceTargets{})
	return t
}

// Update takes changed records.
func (t *Targets) Update(list []directory.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := make(map[api.ServiceID][]*Target)
	// changed are the services whose lists are no longer as they were.
	changed := make(map[api.ServiceID]struct{})
	for _, r := range list {
		old := t.byID[r.Target]
		next := t.renew(old, r)
		if r.State == directory.StateGone {
			delete(t.byID, r.Target)
			next.unlisted = true
		} else {
			t.byID[r.Target] = next
		}
		if old != nil && (old != next || next.unlisted) {
			old.unlisted = true
			changed[old.Service] = struct{}{}
		}
		if next != old && !next.unlisted {
			added[next.Service] = append(added[next.Service], next)
			changed[next.Service] = struct{}{}
		}
	}
	for id := range changed {
		t.relist(id, added[id])
	}
	t.count.Store(int64(len(t.byID)))
}

// relist drops what is unlisted from a service's list and adds to it. The lock is held.
func (t *Targets) relist(id api.ServiceID, added []*Target) {
	service := (*t.services.Load())[id]
	if service == nil {
		service = t.addService(id)
	}
	old := *service.list.Load()
	next := make([]*Target, 0, len(old)+len(added))
	for _, list := range [][]*Target{old, added} {
		for _, target := range list {
			if !target.unlisted {
				next = append(next, target)
			}
		}
	}
	service.list.Store(&next)
}

func (t *Targets) addService(id api.ServiceID) *serviceTargets {
	services := maps.Clone(*t.services.Load())
	service := &serviceTargets{}
	service.list.Store(&[]*Target{})
	services[id] = service
	t.services.Store(&services)
	return service
}

// renew gives the target for a record, keeping the counts of the same run.
func (t *Targets) renew(known *Target, r directory.Record) *Target {
	if known == nil || known.Born != r.Born || known.Address != r.Address || known.Service != r.Service {
		if known != nil {
			known.drain()
		}
		known = &Target{Record: r, table: t, turn: make(chan struct{}, 1)}
		if sum, ok := t.others[r.Target]; ok {
			known.setOthers(sum)
		}
		t.remember(known)
	}
	if r.Cold > 0 {
		known.chill(time.Now().Add(r.Cold))
	}
	switch r.State {
	case directory.StateLeaving, directory.StateGone:
		known.drain()
	}
	return known
}

// drain marks the target as draining: it gets no new requests, and its streams migrate.
func (t *Target) drain() {
	t.drainingSince.CompareAndSwap(0, time.Now().UnixNano())
	t.draining.Store(true)
}

// noticeEnds is until when a draining target can be relied on.
func (t *Target) noticeEnds() time.Time {
	return time.Unix(0, t.drainingSince.Load()).Add(handoff.Notice)
}

// Of gives the targets of a service. The list must not be changed.
func (t *Targets) Of(s api.ServiceID) []*Target {
	service := (*t.services.Load())[s]
	if service == nil {
		return nil
	}
	return *service.list.Load()
}

// Len counts the targets.
func (t *Targets) Len() int { return int(t.count.Load()) }

// full tells whether the target has lately refused to set room aside.
func (t *Target) full(now time.Time) bool { return now.UnixNano() < t.fullTill.Load() }

// avoided tells whether the target is passed over at present.
func (t *Target) avoided(now time.Time) bool { return now.UnixNano() < t.avoidTill.Load() }

const (
	// avoidMin is how long a target is passed over after its first failure; it
	// doubles up to avoidMax with each one in a row.
	avoidMin = 250 * time.Millisecond
	avoidMax = 4 * time.Second
	// avoidDoublings is how many times avoidMin doubles until it is avoidMax.
	avoidDoublings = 4
)

// failed passes the target over for a while.
func (t *Target) failed(now time.Time) {
	n := t.failures.Add(1)
	wait := avoidMin << min(n-1, avoidDoublings)
	t.avoidTill.Store(now.Add(min(wait, avoidMax)).UnixNano())
}

// served takes that back.
func (t *Target) served() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.avoidTill.Store(0)
	}
}

// hold counts a request against the target until release; unread is the part of
// its prompt that the engine has to read.
func (t *Target) hold(tokens, unread int) {
	t.running.Add(1)
	t.tokens.Add(int64(tokens))
	t.unread.Add(int64(unread))
	t.note(true)
}

func (t *Target) release(tokens int) {
	t.running.Add(-1)
	t.tokens.Add(-int64(tokens))
	t.note(true)
}

// read takes back what hold counted as unread.
func (t *Target) read(unread int) {
	if unread == 0 {
		return
	}
	t.unread.Add(-int64(unread))
	t.note(true)
}

// keep counts memory against the target: a copy of another engine's run, or what
// a run has grown by.
func (t *Target) keep(tokens int) {
	t.tokens.Add(int64(tokens))
	t.note(false)
}

// expose counts runs, and memory of runs, that no other engine has a copy of.
func (t *Target) expose(runs, tokens int) {
	t.movingRuns.Add(int64(runs))
	t.moving.Add(int64(tokens))
	t.note(false)
}

// backlog is what entries before this one move first.
func (t *Target) backlog() fleetload.Backlog {
	if b := t.ahead.Load(); b != nil {
		return *b
	}
	return fleetload.Backlog{}
}

// Load gives the load by all entries, as this one knows it.
func (t *Target) Load() fleetload.Load {
	l := t.own()
	if o := t.others.Load(); o != nil {
		l = l.Add(*o)
	}
	return l
}

func (t *Target) own() fleetload.Load {
	return fleetload.Load{Running: int(t.running.Load()), Tokens: int(t.tokens.Load()), Unread: int(t.unread.Load()), Moving: int(t.moving.Load()), MovingRuns: int(t.movingRuns.Load())}
}

// Loads gives this entry's load on each target that has any, in the order of
// their names.
func (t *Targets) Loads() []fleetload.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeDirty()
	var out []fleetload.TargetLoad
	for id, target := range t.byID {
		if l := target.own(); l != (fleetload.Load{}) {
			out = append(out, fleetload.TargetLoad{Target: id, Load: l})
		}
	}
	sortLoads(out)
	return out
}

// ChangedLoads gives this entry's load on each target on which it has changed since the
// last call of this or of Loads, in the order of their names.
func (t *Targets) ChangedLoads() []fleetload.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleetload.TargetLoad
	for id := range t.takeDirty() {
		l := fleetload.TargetLoad{Target: id}
		if target := t.byID[id]; target != nil {
			l.Load = target.own()
		}
		out = append(out, l)
	}
	sortLoads(out)
	return out
}

func sortLoads(list []fleetload.TargetLoad) {
	slices.SortFunc(list, func(a, b fleetload.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
}

// takeDirty is called before the loads are read: a change after it is in the next take.
func (t *Targets) takeDirty() map[api.TargetID]struct{} {
	t.dirtyMu.Lock()
	defer t.dirtyMu.Unlock()
	taken := t.dirty
	t.dirty = make(map[api.TargetID]struct{})
	return taken
}

// Changed gives a token whenever this entry's load has changed since the last one.
func (t *Targets) Changed() <-chan struct{} { return t.changed }

// note remembers that this entry's load on the target has changed; with report it is to be
// reported soon, else with the next change.
func (t *Target) note(report bool) {
	t.table.dirtyMu.Lock()
	t.table.dirty[t.Target] = struct{}{}
	t.table.dirtyMu.Unlock()
	if !report {
		return
	}
	select {
	case t.table.changed <- struct{}{}:
	default:
	}
}

// Entries is how many entries there are.
func (t *Targets) Entries() int { return int(t.entries.Load()) }

// SetOthers takes changed sums of the other entries' loads, and how many others there
// are.
func (t *Targets) SetOthers(changed []fleetload.Sum, entries int) {
	t.entries.Store(int64(entries) + 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sum := range changed {
		t.keepSum(sum)
		if target := t.byID[sum.Target]; target != nil {
			target.setOthers(sum)
		}
	}
}

// keepSum remembers a sum for a target that is announced after its load.
func (t *Targets) keepSum(sum fleetload.Sum) {
	if sum.Load == (fleetload.Load{}) {
		delete(t.others, sum.Target)
		return
	}
	t.others[sum.Target] = sum
}

func (t *Target) setOthers(sum fleetload.Sum) {
	t.others.Store(&sum.Load)
	if !t.draining.Load() {
		t.ahead.Store(&sum.Ahead)
	}
}
