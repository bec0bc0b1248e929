package registry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/wire"
)

// Sender is the sending side of a link. Send does not block.
type Sender interface {
	Send(m wire.Message) error
}

// Observer is notified of changes to targets' records. Its methods are called with
// the registry's lock held and must neither block nor call the registry.
type Observer interface {
	// Changed receives a record that has changed and the source of the change, one of
	// the Source constants.
	Changed(r directory.Record, source string)
}

// The sources of a change: the target itself, another process, the expiry of a target that
// has stopped announcing itself, or the absence of a target that no member states any longer.
const (
	SourceTarget  = "target"
	SourcePeer    = "peer"
	SourceSilence = "silence"
	SourceAbsence = "absence"
)

// Registry is one process's copy of the list of targets.
type Registry struct {
	obs Observer

	mu          sync.Mutex
	dir         *directory.Directory
	subscribers map[Sender]LoadScope
	// pendingLoads holds the load reports to be sent in the next round, by entry.
	// pendingEntryLoads holds only those that entries sent directly to this member.
	pendingLoads      loadQueue
	pendingEntryLoads loadQueue
	// peerCount is the number of other members from which this one receives load reports.
	peerCount int
	// keepsOrigins is set if this member takes the messages of package origins.
	keepsOrigins bool
	// coveredSince is the time since which the records cover all members; see directory.SetCoverage.
	coveredSince time.Time
	// ownChanges and peerChanges hold the changed records that have not been sent to
	// subscribers yet: those of targets that announce themselves to this process, and
	// those that came from other processes.
	ownChanges  []directory.Record
	peerChanges []directory.Record
	// released holds those of peerChanges whose targets announced themselves to this process before.
	released []directory.Record
	// roundDue holds a token while a round is pending.
	roundDue chan struct{}
	// onChange is called with changed records in the order of the changes.
	onChange func([]directory.Record)
}

// New returns an empty registry. onChange may be nil; it is called with the registry's lock
// held and must not call the registry.
func New(obs Observer, onChange func([]directory.Record)) *Registry {
	if onChange == nil {
		onChange = func([]directory.Record) {}
	}
	return &Registry{obs: obs, dir: directory.New(), subscribers: make(map[Sender]LoadScope), pendingLoads: make(loadQueue), pendingEntryLoads: make(loadQueue), roundDue: make(chan struct{}, 1), onChange: onChange}
}

// Announce applies a target's announcement. If the announcement takes the target out of
// use, the change has been queued on every subscriber's link when Announce returns.
func (r *Registry) Announce(rec directory.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.dir.Announce(rec, time.Now()), SourceTarget, isUnavailable(rec))
}

// Leave applies a target's deregistration, with the same guarantee as Announce.
func (r *Registry) Leave(id api.TargetID, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.dir.Leave(id, born, time.Now()), SourceTarget, true)
}

// Merge applies records received from another process.
func (r *Registry) Merge(list []directory.Record) { r.Receive(0, &Records{List: list}) }

// Receive applies records received on a link.
func (r *Registry) Receive(from directory.Source, m *Records) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	changed, released := r.dir.Receive(from, directory.List{Records: m.List, Own: m.Own, Whole: m.Whole}, now)
	if len(r.subscribers) > 0 {
		r.released = append(r.released, released...)
	}
	r.publish(changed, SourcePeer, false)
	if m.Whole {
		r.sweep(now)
	}
}

// Connected begins to count what is stated on a link; Disconnected ends it.
func (r *Registry) Connected(from directory.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dir.Connected(from)
}

// Disconnected ends what was stated on a link that has ended.
func (r *Registry) Disconnected(from directory.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dir.Disconnected(from, time.Now())
}

// SetHome sets the link to the home of an entry, zero for none; see directory.SetHome.
func (r *Registry) SetHome(from directory.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dir.SetHome(from, time.Now())
}

// SetCoverage sets the time since which the records cover all members, the zero time if they do not now, and
// states it to subscribers.
func (r *Registry) SetCoverage(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since.Equal(r.coveredSince) {
		return
	}
	r.coveredSince = since
	r.dir.SetCoverage(since, time.Now())
	r.statePeerCount()
}

// sweep removes the targets whose departure did not reach this process. r.mu must be held.
func (r *Registry) sweep(now time.Time) {
	lost := r.dir.Sweep(now)
	if len(r.subscribers) > 0 {
		r.released = append(r.released, lost...) // some may have announced themselves to this process
	}
	r.publish(lost, SourceAbsence, false)
}

// publish passes changed records to the observer and to onChange, and queues them for the
// subscribers: on their links if atOnce is set, otherwise for the next round. r.mu must be held,
// so that observer and onChange see changes in the order in which they were made.
func (r *Registry) publish(changed []directory.Record, source string, atOnce bool) {
	if len(changed) == 0 {
		return
	}
	for _, rec := range changed {
		r.obs.Changed(rec, source)
	}
	r.onChange(changed)
	if len(r.subscribers) == 0 {
		return
	}
	if source == SourcePeer || source == SourceAbsence {
		r.peerChanges = append(r.peerChanges, changed...)
	} else {
		r.ownChanges = append(r.ownChanges, changed...)
	}
	if atOnce {
		r.sendChanges()
		return
	}
	r.scheduleRound()
}

// isUnavailable reports whether a record takes a target out of use. Such a record is sent
// before the target's announcement is answered. The record of a ready target waits for the
// next round, because after a restart of the whole fleet thousands of targets announce
// themselves within a second.
func isUnavailable(rec directory.Record) bool { return rec.State != directory.StateReady }

// sendChanges queues the changed records on every subscriber's link. r.mu must be held.
func (r *Registry) sendChanges() {
	own := r.message(slices.Concat(r.ownChanges, r.released))
	all := own
	if len(r.peerChanges) > 0 {
		all = r.message(slices.Concat(r.ownChanges, r.peerChanges))
	}
	for s, scope := range r.subscribers {
		m := all
		if scope == LoadsNone {
			m = own // the subscriber has links to the other members too, and its home forwards all changes
		}
		if m != nil {
			// Send fails only on a link that has ended. Unsubscribe removes it, and the
			// subscriber gets a full list when it subscribes on a new link.
			_ = s.Send(m)
		}
	}
	r.ownChanges, r.peerChanges, r.released = nil, nil, nil
}

// message returns a message of the given records, nil if there are none. r.mu must be held.
func (r *Registry) message(list []directory.Record) *Records {
	if len(list) == 0 {
		return nil
	}
	l := r.dir.OwnFirst(list)
	return &Records{List: l.Records, Own: l.Own, Whole: l.Whole}
}

// Subscribe adds a subscriber. It sends the current records and from then on changed records
// and the load reports of the scope. The records are those of all targets, or with LoadsNone
// those of targets that announce themselves to this process. For a known subscriber it
// changes the scope, and sends the records of all targets again only if m.Whole is set.
func (r *Registry) Subscribe(s Sender, m Subscribe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendChanges()
	_, known := r.subscribers[s]
	r.subscribers[s] = m.Loads
	switch {
	case m.Whole || !known && m.Loads != LoadsNone:
		l := r.dir.Whole(time.Now())
		_ = s.Send(&Records{List: l.Records, Own: l.Own, Whole: l.Whole})
	case !known:
		l := r.dir.OwnFirst(r.dir.OwnRecords(time.Now()))
		_ = s.Send(&Records{List: l.Records, Own: l.Own})
	}
	if !known {
		_ = s.Send(r.peerCountMessage())
	}
}

// SetPeerCount sets the number of other members from which this one receives load reports,
// and sends a changed number to all subscribers.
func (r *Registry) SetPeerCount(members int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerCount == members {
		return
	}
	r.peerCount = members
	r.statePeerCount()
}

// statePeerCount sends what this member states of itself to all subscribers. r.mu must be held.
func (r *Registry) statePeerCount() {
	m := r.peerCountMessage()
	for s := range r.subscribers {
		_ = s.Send(m)
	}
}

// peerCountMessage returns what this member states of itself. r.mu must be held.
func (r *Registry) peerCountMessage() *PeerCount {
	m := &PeerCount{Members: r.peerCount, KeepsOrigins: r.keepsOrigins}
	if !r.coveredSince.IsZero() {
		m.Covers, m.Covered = true, time.Since(r.coveredSince)
	}
	return m
}

// SetKeepsOrigins states to later subscribers that this member takes the messages of package origins.
func (r *Registry) SetKeepsOrigins() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepsOrigins = true
}

// Unsubscribe removes a subscriber.
func (r *Registry) Unsubscribe(s Sender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// loadQueue holds load reports for the next round, by entry. Several reports of an entry are
// merged into one.
type loadQueue map[api.InstanceID]fleetload.Report

func (q loadQueue) put(list []fleetload.Report) {
	for _, report := range list {
		if waiting, ok := q[report.Entry]; ok {
			report = waiting.Merge(report)
		}
		q[report.Entry] = report
	}
}

// take empties the queue and returns its reports as a message, or nil if there are none.
func (q loadQueue) take() *Loads {
	if len(q) == 0 {
		return nil
	}
	m := &Loads{List: slices.Collect(maps.Values(q))}
	clear(q)
	return m
}

// Load queues reports that entries sent directly to this member. The next round sends
// them to subscribers with LoadsAll and to those with LoadsFromEntries.
func (r *Registry) Load(list []fleetload.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingEntryLoads.put(list)
	r.queueLoads(list)
}

// LoadOfPeer queues reports that entries sent to another member. The next round sends
// them to subscribers with LoadsAll, which are entries. Members subscribe with
// LoadsFromEntries: each receives these reports from that other member itself.
func (r *Registry) LoadOfPeer(list []fleetload.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueLoads(list)
}

// queueLoads queues reports for subscribers with LoadsAll. r.mu must be held.
func (r *Registry) queueLoads(list []fleetload.Report) {
	r.pendingLoads.put(list)
	r.scheduleRound()
}

// scheduleRound requests a round, unless one is pending already.
func (r *Registry) scheduleRound() {
	select {
	case r.roundDue <- struct{}{}:
	default:
	}
}

// MinRoundInterval is the least time between two rounds, which run only when something has
// changed. Until an entry learns of the other entries' choices, it sends more requests to the
// engines that these have just chosen.
const MinRoundInterval = 8 * time.Millisecond

// RunRounds sends queued records and load reports to the subscribers in rounds, until ctx is
// done.
func (r *Registry) RunRounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.roundDue:
		}
		r.round()
		time.Sleep(MinRoundInterval)
	}
}

// round sends everything that is queued.
func (r *Registry) round() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendChanges()
	all, pendingEntryLoads := r.pendingLoads.take(), r.pendingEntryLoads.take()
	for s, scope := range r.subscribers {
		m := all
		if scope == LoadsFromEntries {
			m = pendingEntryLoads
		}
		if m != nil && scope != LoadsNone {
			_ = s.Send(m) // a subscriber whose link has ended gets later rounds on its next link
		}
	}
}

// Records returns the records of all targets.
func (r *Registry) Records() []directory.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dir.Records(time.Now())
}

// checksPerSilence is the number of expiry checks within the silence that makes a target
// missing. A missing target is thus noticed at most a quarter of that time late.
const checksPerSilence = 4

// RunExpiry marks as missing each target that announced itself to this process and has not
// done so again for the duration silence, and removes targets that have left. It runs until ctx is done.
func (r *Registry) RunExpiry(ctx context.Context, silence time.Duration) {
	t := time.NewTicker(silence / checksPerSilence)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.expire(silence)
		}
	}
}

// cleanupInterval is the interval at which RunCleanup runs.
const cleanupInterval = 5 * time.Second

// RunCleanup is RunExpiry for a process that no target announces itself to: it removes targets that have left.
func (r *Registry) RunCleanup(ctx context.Context) {
	r.RunExpiry(ctx, checksPerSilence*cleanupInterval)
}

func (r *Registry) expire(silence time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.publish(r.dir.Expire(now, silence), SourceSilence, false)
	r.sweep(now)
}
