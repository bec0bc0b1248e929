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

// Observer is notified of every change of a target's state. Its methods
// are called with a lock held and must neither block nor call back.
type Observer interface {
	// Changed tells a record that is now in force, and where it came from: the
	// target itself, another process, or silence.
	Changed(r directory.Record, source string)
}

// Sources of a change.
const (
	SourceTarget  = "target"
	SourcePeer    = "peer"
	SourceSilence = "silence"
)

// Registry is one process's list of targets.
type Registry struct {
	obs Observer

	mu          sync.Mutex
	dir         *directory.Directory
	subscribers map[Sender]LoadScope
	// loads are reports that wait for the next round, by entry; reported are those of
	// them that came from the entries themselves.
	loads    loadQueue
	reported loadQueue
	// reach is how many other members this one gets load reports from.
	reach int
	// ownNews and peerNews are records that subscribers have yet to be told: of targets
	// that announce themselves here, and of others.
	ownNews  []directory.Record
	peerNews []directory.Record
	// due holds a token while a round is.
	due chan struct{}
	// onChange is called with the changed records, in order.
	onChange func([]directory.Record)
}

// New makes an empty registry. onChange may be nil; it is called with the lock
// held and must not call back.
func New(obs Observer, onChange func([]directory.Record)) *Registry {
	if onChange == nil {
		onChange = func([]directory.Record) {}
	}
	return &Registry{obs: obs, dir: directory.New(), subscribers: make(map[Sender]LoadScope), loads: make(loadQueue), reported: make(loadQueue), due: make(chan struct{}, 1), onChange: onChange}
}

// Announce takes what a target says of itself. When it returns, the news that a target
// is not to be used any more has been queued on every link to a subscriber.
func (r *Registry) Announce(rec directory.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, news := r.dir.Announce(rec, time.Now()); news {
		r.tell([]directory.Record{got}, SourceTarget)
	}
}

// Leave takes a target's deregistration.
func (r *Registry) Leave(id api.TargetID, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, news := r.dir.Leave(id, born, time.Now()); news {
		r.tell([]directory.Record{got}, SourceTarget)
	}
}

// Merge takes records from another process.
func (r *Registry) Merge(list []directory.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var news []directory.Record
	for _, rec := range list {
		if r.dir.Merge(rec, now) {
			news = append(news, rec)
		}
	}
	if len(news) > 0 {
		r.tell(news, SourcePeer)
	}
}

// tell passes news on. The lock is held, so that subscribers hear of changes in
// the order in which they were made here.
func (r *Registry) tell(news []directory.Record, source string) {
	for _, rec := range news {
		r.obs.Changed(rec, source)
	}
	r.onChange(news)
	if len(r.subscribers) == 0 {
		return
	}
	if source == SourcePeer {
		r.peerNews = append(r.peerNews, news...)
	} else {
		r.ownNews = append(r.ownNews, news...)
	}
	if source == SourceTarget && slices.ContainsFunc(news, stopsUse) {
		r.sendNews()
		return
	}
	r.wake()
}

// stopsUse tells whether a record takes a target out of use. That is sent before the
// target's announcement is answered; a target that is ready waits for the next round, since
// thousands of them announce themselves in a second after a stop of everything.
func stopsUse(rec directory.Record) bool { return rec.State != directory.StateReady }

// sendNews queues what has changed on every link to a subscriber. The lock is held.
func (r *Registry) sendNews() {
	var own, all *Records
	if len(r.ownNews) > 0 {
		own = &Records{List: r.ownNews}
		all = own
	}
	if len(r.peerNews) > 0 {
		all = &Records{List: slices.Concat(r.ownNews, r.peerNews)}
	}
	for s, scope := range r.subscribers {
		m := all
		if scope == LoadsNone {
			m = own // it follows the peers itself, and its home relays what it misses
		}
		if m != nil {
			// A link that has ended is taken out by Unsubscribe, and the peer gets the
			// whole list on its next one.
			_ = s.Send(m)
		}
	}
	r.ownNews, r.peerNews = nil, nil
}

// Subscribe sends a link the records of a scope, and from then on what changes of them and
// the loads of the scope: all records, or with LoadsNone those of targets that announce
// themselves here. For a link that has subscribed it changes the scope.
func (r *Registry) Subscribe(s Sender, m Subscribe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendNews()
	_, known := r.subscribers[s]
	r.subscribers[s] = m.Loads
	switch {
	case m.Whole || !known && m.Loads != LoadsNone:
		_ = s.Send(&Records{List: r.dir.Records(time.Now())})
	case !known:
		_ = s.Send(&Records{List: r.dir.OwnRecords(time.Now())})
	}
	if !known {
		_ = s.Send(&Reach{Members: r.reach})
	}
}

// SetReach sets how many other members this one gets load reports from.
func (r *Registry) SetReach(members int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reach == members {
		return
	}
	r.reach = members
	m := &Reach{Members: members}
	for s := range r.subscribers {
		_ = s.Send(m)
	}
}

// Unsubscribe ends that.
func (r *Registry) Unsubscribe(s Sender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// loadQueue holds reports that wait for a round, the newest of each entry.
type loadQueue map[api.InstanceID]fleetload.Report

func (q loadQueue) put(list []fleetload.Report) {
	for _, report := range list {
		if waiting, ok := q[report.Entry]; ok {
			report = waiting.Merge(report)
		}
		q[report.Entry] = report
	}
}

// take gives the message of a round, nil if nothing waits.
func (q loadQueue) take() *Loads {
	if len(q) == 0 {
		return nil
	}
	m := &Loads{List: slices.Collect(maps.Values(q))}
	clear(q)
	return m
}

// Load takes an entry's report, to be told at the next round.
func (r *Registry) Load(list []fleetload.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported.put(list)
	r.queue(list)
}

// LoadOfPeer takes reports that entries made to another member. They are told to this
// one's entries, and to no member: each of those gets them from the other itself.
func (r *Registry) LoadOfPeer(list []fleetload.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue(list)
}

// queue is called with the lock held.
func (r *Registry) queue(list []fleetload.Report) {
	r.loads.put(list)
	r.wake()
}

// wake makes a round due.
func (r *Registry) wake() {
	select {
	case r.due <- struct{}{}:
	default:
	}
}

// MinRoundInterval is the least time between two rounds. Load pattern: thirty entries send
// sixty prompts a second to forty engines two thirds full, and what an entry does not know
// of the others' choices it adds to. Rounds are made only when something has changed.
const MinRoundInterval = 8 * time.Millisecond

// RunRounds passes news of targets and entries' load reports on to subscribers, until ctx
// is done.
func (r *Registry) RunRounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.due:
		}
		r.round()
		time.Sleep(MinRoundInterval)
	}
}

func (r *Registry) round() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendNews()
	all, reported := r.loads.take(), r.reported.take()
	for s, scope := range r.subscribers {
		m := all
		if scope == LoadsOfEntries {
			m = reported
		}
		if m != nil && scope != LoadsNone {
			_ = s.Send(m) // an ended link's peer hears the next round on its next one
		}
	}
}

// Records gives all records.
func (r *Registry) Records() []directory.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dir.Records(time.Now())
}

// looksPerSilence is how often within a silence the list is checked, so that
// it is noticed a quarter late at most.
const looksPerSilence = 4

// RunExpiry notices targets that have fallen silent, until ctx is done.
func (r *Registry) RunExpiry(ctx context.Context, silence time.Duration) {
	t := time.NewTicker(silence / looksPerSilence)
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

func (r *Registry) expire(silence time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gone := r.dir.Expire(time.Now(), silence); len(gone) > 0 {
		r.tell(gone, SourceSilence)
	}
}
