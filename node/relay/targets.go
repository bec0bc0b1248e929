package relay

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/handoff"
)

// Target is one run of a target as this entry knows it.
type Target struct {
	directory.Record
	draining atomic.Bool
	// drainingSince is when the target was first known to drain, Unix nanoseconds.
	drainingSince atomic.Int64
	coldTill      time.Time
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

// view is the table of targets; it is replaced whole.
type view struct {
	byService map[api.ServiceID][]*Target
	byID      map[api.TargetID]*Target
}

// Targets is this entry's table of targets. Readers take no lock.
type Targets struct {
	mu   sync.Mutex
	view atomic.Pointer[view]
	// others are the loads by other entries, by target.
	others map[api.TargetID]fleetload.Sum
	// changed holds a token once this entry's load has changed.
	changed chan struct{}
	// entries is how many entries have reported their load of late, this one included.
	entries atomic.Int64
}

// usualEntries is assumed until the first load reports of other entries arrive. An entry
// that took itself for the only one would draw all targets for each choice, as others
// that have just started do, and choose the same one.
const usualEntries = 6

// NewTargets makes an empty table.
func NewTargets() *Targets {
	t := &Targets{changed: make(chan struct{}, 1), others: make(map[api.TargetID]fleetload.Sum)}
	t.entries.Store(usualEntries)
	t.view.Store(&view{byService: map[api.ServiceID][]*Target{}, byID: map[api.TargetID]*Target{}})
	return t
}

// Update takes changed records.
func (t *Targets) Update(list []directory.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.view.Load()
	byID := make(map[api.TargetID]*Target, len(old.byID)+len(list))
	for id, target := range old.byID {
		byID[id] = target
	}
	for _, r := range list {
		byID[r.Target] = t.renew(byID[r.Target], r)
		if r.State == directory.StateGone {
			delete(byID, r.Target)
		}
	}
	next := &view{byID: byID, byService: make(map[api.ServiceID][]*Target)}
	for _, target := range byID {
		next.byService[target.Service] = append(next.byService[target.Service], target)
	}
	t.view.Store(next)
}

// renew gives the target for a record, keeping the counts of the same run.
func (t *Targets) renew(known *Target, r directory.Record) *Target {
	if known == nil || known.Born != r.Born || known.Address != r.Address || known.Service != r.Service {
		if known != nil {
			known.drain()
		}
		known = &Target{Record: r, table: t, turn: make(chan struct{}, 1), coldTill: time.Now().Add(r.Cold)}
		if sum, ok := t.others[r.Target]; ok {
			known.setOthers(sum)
		}
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

// Of gives the targets of a service.
func (t *Targets) Of(s api.ServiceID) []*Target { return t.view.Load().byService[s] }

// Len counts the targets.
func (t *Targets) Len() int { return len(t.view.Load().byID) }

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
	t.table.noteChange()
}

func (t *Target) release(tokens int) {
	t.running.Add(-1)
	t.tokens.Add(-int64(tokens))
	t.table.noteChange()
}

// read takes back what hold counted as unread.
func (t *Target) read(unread int) {
	if unread == 0 {
		return
	}
	t.unread.Add(-int64(unread))
	t.table.noteChange()
}

// keep counts memory against the target: a copy of another engine's run, or what
// a run has grown by.
func (t *Target) keep(tokens int) { t.tokens.Add(int64(tokens)) }

// expose counts runs, and memory of runs, that no other engine has a copy of.
func (t *Target) expose(runs, tokens int) {
	t.movingRuns.Add(int64(runs))
	t.moving.Add(int64(tokens))
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
	var out []fleetload.TargetLoad
	for id, target := range t.view.Load().byID {
		if l := target.own(); l != (fleetload.Load{}) {
			out = append(out, fleetload.TargetLoad{Target: id, Load: l})
		}
	}
	slices.SortFunc(out, func(a, b fleetload.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// Changed gives a token whenever this entry's load has changed since the last one.
func (t *Targets) Changed() <-chan struct{} { return t.changed }

func (t *Targets) noteChange() {
	select {
	case t.changed <- struct{}{}:
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
	byID := t.view.Load().byID
	for _, sum := range changed {
		t.keepSum(sum)
		if target := byID[sum.Target]; target != nil {
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
