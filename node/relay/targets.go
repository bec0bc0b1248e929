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
	"almondseam.dev/core/state"
	"almondseam.dev/core/targetfault"
	"almondseam.dev/core/targetstate"
)

// Target is one run of a target, from its start to its end, as this entry process knows it.
type Target struct {
	directory.Record
	// status is what this entry knows of the target's condition, nil if nothing.
	status atomic.Pointer[targetstate.Status]
	// software is the version of the target's software as last stated, nil if it is unknown.
	software atomic.Pointer[api.SoftwareVersion]
	// runs determines which connections lead to this run.
	runs runProof
	// successor is the target that was announced at this one's address after it, nil if none.
	successor atomic.Pointer[Target]
	// removed marks a target that no list may contain any longer; it is guarded by the table's
	// lock.
	removed bool
	// unreadable is set while the target's responses contain statements that cannot be parsed.
	unreadable atomic.Bool
	// reportingLimit is set while the limit is being reported to the control group.
	reportingLimit atomic.Bool
	// running to unbackedRuns are this entry's own load on the target.
	running        atomic.Int64
	tokens         atomic.Int64
	unread         atomic.Int64
	unbackedTokens atomic.Int64
	// unbackedRuns counts the runs in unbackedTokens.
	unbackedRuns atomic.Int64
	// incoming is the memory of this entry's runs that are being copied to the target.
	incoming atomic.Int64
	// others is the load from other entry processes, as last reported.
	others atomic.Pointer[fleetload.Sum]
	// pace is what this entry has learnt of the engine's pace.
	pace targetPace
	// ahead is what other entry processes migrate from the target before this one does; nil if
	// nothing. aheadChanged holds a token after changes while the target drains.
	ahead        atomic.Pointer[reportedBacklog]
	aheadChanged chan struct{}
	// since is when the target's first announcement arrived; zero if it may have been running
	// before, because this entry process had just started. ageSeen is set once its departure
	// has been counted by moveEstimates.
	since   time.Time
	ageSeen bool
	// endSeen and lastSeen are set once the target has been counted by moveEstimates.
	endSeen, lastSeen atomic.Bool
	// table is notified of changes of this entry's load.
	table *Targets
	// migrationSlot is held by the run that is being migrated from the target.
	migrationSlot chan struct{}
	// faults is what this entry has seen of the target's answers.
	faults targetFaults
	reach  reachability
}

// reportedBacklog is a backlog and when its number of runs last changed.
type reportedBacklog struct {
	fleetload.Backlog
	since time.Time
}

// serviceTargets holds the targets of one service; the list is replaced as a whole.
type serviceTargets struct {
	list   atomic.Pointer[[]*Target]
	faults serviceFaults
	// idsChange is set once a target has started again under another ID, idsKept once one has under the
	// same ID.
	idsChange, idsKept atomic.Bool
}

// Targets is the table of targets of this entry process. Reading the list of a service takes no
// lock. Changing it copies the list of that service, without hashing.
type Targets struct {
	// services is copied when a service is added.
	services atomic.Pointer[map[api.ServiceID]*serviceTargets]
	count    atomic.Int64

	mu   sync.Mutex
	byID map[api.TargetID]*Target
	// latest holds the target that was last announced at each address. Targets that are gone stay
	// there for targetstate.RunOverlap, in the order of retired.
	latest  map[string]*Target
	retired []retiredTarget
	// others holds the load from other entry processes, by target.
	others map[api.TargetID]fleetload.Sum
	// limits holds the rate limits announced to any entry process, as of the log index
	// limitsIndex.
	limits      map[api.TargetID]state.TargetLimit
	limitsIndex uint64

	dirtyMu sync.Mutex
	// dirty holds the targets on which this entry's load has changed since it was last taken.
	dirty map[api.TargetID]struct{}
	// changed holds a token if a change is to be reported.
	changed chan struct{}
	// entries is the number of entry processes that have recently reported their load, plus
	// this one.
	entries atomic.Int64
	// created is when the entry process started.
	created time.Time
	// evacuation is nil before the first list of evacuated zones arrives.
	evacuation atomic.Pointer[evacuation]
	// self and faultObserver are set before the table is used; nil for no observer.
	self          api.InstanceID
	faultObserver FaultObserver
}

// assumedEntries is the assumed number of entry processes until the first load reports of others
// arrive. An entry that assumed to be the only one would consider all targets for each choice;
// so would others that have just started, and all would choose the same target.
const assumedEntries = 6

// startupTime is the time after the start of an entry process within which it may learn of targets
// that have been running before.
const startupTime = 5 * time.Second

// NewTargets returns an empty table.
func NewTargets() *Targets {
	t := &Targets{
		byID: make(map[api.TargetID]*Target), latest: make(map[string]*Target), others: make(map[api.TargetID]fleetload.Sum),
		dirty: make(map[api.TargetID]struct{}), changed: make(chan struct{}, 1), created: time.Now(),
	}
	t.entries.Store(assumedEntries)
	t.services.Store(&map[api.ServiceID]*serviceTargets{})
	return t
}

// Update applies changed records.
func (t *Targets) Update(list []directory.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetRetired(time.Now())
	added := make(map[api.ServiceID][]*Target)
	// changed holds the services whose lists have to be rebuilt.
	changed := make(map[api.ServiceID]struct{})
	for _, r := range list {
		old := t.byID[r.Target]
		next := t.targetFor(old, r)
		if r.State.Ended() {
			delete(t.byID, r.Target)
			next.removed = true
			t.retired = append(t.retired, retiredTarget{next, time.Now()})
		} else {
			t.byID[r.Target] = next
		}
		if old != nil && (old != next || next.removed) {
			old.removed = true
			changed[old.Service] = struct{}{}
		}
		if next != old && !next.removed {
			added[next.Service] = append(added[next.Service], next)
			changed[next.Service] = struct{}{}
		}
	}
	for id := range changed {
		t.rebuildList(id, added[id])
	}
	t.count.Store(int64(len(t.byID)))
}

// rebuildList deletes the removed targets from a service's list and appends added. The caller
// holds t.mu.
func (t *Targets) rebuildList(id api.ServiceID, added []*Target) {
	service := (*t.services.Load())[id]
	if service == nil {
		service = t.addService(id)
	}
	old := *service.list.Load()
	next := make([]*Target, 0, len(old)+len(added))
	for _, list := range [][]*Target{old, added} {
		for _, target := range list {
			if !target.removed {
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

// targetFor returns the target for a record. It keeps known, with its load, if the record
// describes the same run of the target.
func (t *Targets) targetFor(known *Target, r directory.Record) *Target {
	if known == nil || !known.isSameRun(r) {
		next := &Target{Record: r, table: t, migrationSlot: make(chan struct{}, 1), aheadChanged: make(chan struct{}, 1)}
		next.runs.begin(time.Now())
		next.faults.answers = targetfault.NewRing(targetfault.LongWindow, time.Now())
		if now := time.Now(); now.Sub(t.created) > startupTime {
			next.since = now
		}
		if known != nil {
			if known.Born == r.Born && r.Born != 0 {
				next.status.Store(known.status.Load()) // the same run at another address
			}
			known.drain()
		}
		if !r.State.Ended() {
			t.succeed(next)
		}
		known = next
		known.setSoftware(r.Software)
		if sum, ok := t.others[r.Target]; ok {
			known.setOthers(sum)
			t.beginRun(known, sum)
		}
		t.applyListedLimit(known)
	}
	known.stateSoftware(r)
	now := time.Now()
	if r.Cold > 0 {
		known.update(func(s targetstate.Status) targetstate.Status { return s.Cool(now.Add(r.Cold)) })
	}
	if r.State == directory.StateLeaving || r.State.Ended() {
		known.drain()
	}
	return known
}

// retiredTarget is a target that is gone, and since when.
type retiredTarget struct {
	target *Target
	since  time.Time
}

// succeed makes next the target at its address. Responses to requests for the previous target may
// be from next, because responses do not identify the run that made them.
func (t *Targets) succeed(next *Target) {
	if previous := t.latest[next.Address]; previous != nil {
		// Set first, so that a response is applied to next either through successor or here.
		previous.successor.Store(next)
		t.observeStart(previous, next)
		next.inherit(previous.state(), time.Now())
	}
	t.latest[next.Address] = next
}

// observeStart records whether targets of a service keep their IDs when they start again.
func (t *Targets) observeStart(previous, next *Target) {
	service := (*t.services.Load())[next.Service]
	switch {
	case service == nil || previous.Service != next.Service:
	case previous.Target != next.Target:
		service.idsChange.Store(true)
	case previous.Born != next.Born:
		service.idsKept.Store(true)
	}
}

// startsChangeIDs reports whether targets of a service have been observed to start again under other IDs,
// and never under the same ones.
func (t *Targets) startsChangeIDs(s api.ServiceID) bool {
	service := (*t.services.Load())[s]
	return service != nil && service.idsChange.Load() && !service.idsKept.Load()
}

// forgetRetired removes the targets from latest that have been gone for targetstate.RunOverlap.
func (t *Targets) forgetRetired(now time.Time) {
	for len(t.retired) > 0 && now.Sub(t.retired[0].since) >= targetstate.RunOverlap {
		gone := t.retired[0].target
		if t.latest[gone.Address] == gone {
			delete(t.latest, gone.Address)
		}
		t.retired = t.retired[1:]
	}
}

// Of returns the targets of a service. The list must not be modified.
func (t *Targets) Of(s api.ServiceID) []*Target {
	service := (*t.services.Load())[s]
	if service == nil {
		return nil
	}
	return *service.list.Load()
}

// Len returns the number of targets.
func (t *Targets) Len() int { return int(t.count.Load()) }

// addRequest counts a request on the target until removeRequest; unread is the number of its
// prompt tokens that the engine has to process.
func (t *Target) addRequest(tokens, unread int) {
	t.running.Add(1)
	t.tokens.Add(int64(tokens))
	t.unread.Add(int64(unread))
	t.markDirty(true)
}

func (t *Target) removeRequest(tokens int) {
	t.running.Add(-1)
	t.tokens.Add(-int64(tokens))
	t.markDirty(true)
}

// removeUnread removes prompt tokens counted by addRequest that the engine has processed.
func (t *Target) removeUnread(unread int) {
	if unread == 0 {
		return
	}
	t.unread.Add(-int64(unread))
	t.markDirty(true)
}

// addTokens counts KV cache tokens on the target: those of a copy of another engine's run, or
// those by which a run has grown. A negative number removes them.
func (t *Target) addTokens(tokens int) {
	t.tokens.Add(int64(tokens))
	t.markDirty(false)
}

// addIncoming counts the KV cache tokens of a run that is being copied to the target. A negative
// number removes them; that is reported with the next change, which is the run itself if it is
// continued there.
func (t *Target) addIncoming(tokens int) {
	t.tokens.Add(int64(tokens))
	t.incoming.Add(int64(tokens))
	t.markDirty(tokens > 0)
}

// addUnbacked counts runs, and their KV cache tokens, of which no other engine has a copy. While
// the target drains, other entry processes wait for the change.
func (t *Target) addUnbacked(runs, tokens int) {
	t.unbackedRuns.Add(int64(runs))
	t.unbackedTokens.Add(int64(tokens))
	t.markDirty(t.isDraining())
}

// backlog returns what other entry processes migrate from the target before this one does.
func (t *Target) backlog() reportedBacklog {
	if b := t.ahead.Load(); b != nil {
		return *b
	}
	return reportedBacklog{}
}

// Load returns the load from all entry processes, as far as this one knows it.
func (t *Target) Load() fleetload.Load {
	l := t.ownLoad()
	if o := t.others.Load(); o != nil {
		l = l.Add(o.Load)
	}
	return l
}

func (t *Target) ownLoad() fleetload.Load {
	shared := unpackPace(t.pace.shared.Load())
	l := fleetload.Load{
		Running: int(t.running.Load()), Tokens: int(t.tokens.Load()), Unread: int(t.unread.Load()), Moving: int(t.unbackedTokens.Load()), MovingRuns: int(t.unbackedRuns.Load()),
		PaceWeight: shared.Weight, PaceSum: shared.Milliseconds, Incoming: int(t.incoming.Load()),
	}
	t.addFailures(&l)
	return l
}

// Loads returns this entry's load on each target that has any, in the order of target IDs.
func (t *Targets) Loads() []fleetload.TargetLoad {
	t.judgeAll(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeDirty()
	t.expirePaces(time.Now())
	var out []fleetload.TargetLoad
	for id, target := range t.byID {
		if l := target.ownLoad(); l != (fleetload.Load{}) {
			out = append(out, fleetload.TargetLoad{Target: id, Load: l})
		}
	}
	sortLoads(out)
	return out
}

// ChangedLoads returns this entry's load on each target on which it has changed since the last
// call of ChangedLoads or Loads, in the order of target IDs.
func (t *Targets) ChangedLoads() []fleetload.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleetload.TargetLoad
	for id := range t.takeDirty() {
		l := fleetload.TargetLoad{Target: id}
		if target := t.byID[id]; target != nil {
			l.Load = target.ownLoad()
		}
		out = append(out, l)
	}
	sortLoads(out)
	return out
}

func sortLoads(list []fleetload.TargetLoad) {
	slices.SortFunc(list, func(a, b fleetload.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
}

// takeDirty returns the targets with changed loads, and clears the set. It must be called
// before the loads are read, so that a change after the call is in the next set.
func (t *Targets) takeDirty() map[api.TargetID]struct{} {
	t.dirtyMu.Lock()
	defer t.dirtyMu.Unlock()
	taken := t.dirty
	t.dirty = make(map[api.TargetID]struct{})
	return taken
}

// Changed returns a channel that delivers a token after changes of this entry's load that are
// to be reported soon.
func (t *Targets) Changed() <-chan struct{} { return t.changed }

// markDirty records that this entry's load on the target has changed. If report is true the
// change is to be reported soon, else together with the next one.
func (t *Target) markDirty(report bool) {
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

// EntryCount returns the number of entry processes, including this one.
func (t *Targets) EntryCount() int { return int(t.entries.Load()) }

// SetOthers applies changed sums of the load from other entry processes; entries is the number
// of these others.
func (t *Targets) SetOthers(changed []fleetload.Sum, entries int) {
	t.entries.Store(int64(entries) + 1)
	now := time.Now()
	for id := range t.storeSums(changed, now) {
		t.judge(id, now)
	}
}

// storeSums stores changed sums, and returns the services of which targets fail.
func (t *Targets) storeSums(changed []fleetload.Sum, now time.Time) map[api.ServiceID]struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failing map[api.ServiceID]struct{}
	for _, sum := range changed {
		t.storeSum(sum)
		target := t.byID[sum.Target]
		if target == nil {
			continue
		}
		target.setOthers(sum)
		if target.suspectBy(sum, now) {
			if failing == nil {
				failing = make(map[api.ServiceID]struct{})
			}
			failing[target.Service] = struct{}{}
		}
	}
	return failing
}

// storeSum keeps a sum, also for a target that is announced only later.
func (t *Targets) storeSum(sum fleetload.Sum) {
	if sum.Load == (fleetload.Load{}) {
		delete(t.others, sum.Target)
		return
	}
	t.others[sum.Target] = sum
}

func (t *Target) setOthers(sum fleetload.Sum) {
	t.others.Store(&sum)
	next := reportedBacklog{Backlog: sum.Ahead, since: time.Now()}
	if old := t.ahead.Load(); old != nil && old.Runs == next.Runs {
		next.since = old.since
	}
	t.ahead.Store(&next)
	if t.isDraining() {
		select {
		case t.aheadChanged <- struct{}{}:
		default:
		}
	}
}
