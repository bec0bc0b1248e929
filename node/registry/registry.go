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

// Observer hears of every change of what is believed of a target. Its methods
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
	subscribers map[Sender]struct{}
	// loads are reports that subscribers have yet to be told, by entry.
	loads map[api.InstanceID]fleetload.Report
	// loaded holds a token while there are some.
	loaded chan struct{}
	// onChange is called with the changed records, in order.
	onChange func([]directory.Record)
}

// New makes an empty registry. onChange may be nil; it is called with the lock
// held and must not call back.
func New(obs Observer, onChange func([]directory.Record)) *Registry {
	if onChange == nil {
		onChange = func([]directory.Record) {}
	}
	return &Registry{obs: obs, dir: directory.New(), subscribers: make(map[Sender]struct{}), loads: make(map[api.InstanceID]fleetload.Report), loaded: make(chan struct{}, 1), onChange: onChange}
}

// Announce takes what a target says of itself. When it returns, the news has been
// queued on every link to a subscriber.
func (r *Registry) Announce(rec directory.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, news := r.dir.Announce(rec, time.Now()); news {
		r.tell([]directory.Record{got}, SourceTarget)
	}
}

// Leave takes a target's word that it is going.
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
	m := &Records{List: news}
	for s := range r.subscribers {
		// A link that has ended is taken out by Unsubscribe, and the peer gets the
		// whole list on its next one.
		_ = s.Send(m)
	}
}

// Subscribe sends a link all records, and from then on every change.
func (r *Registry) Subscribe(s Sender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[s] = struct{}{}
	_ = s.Send(&Records{List: r.dir.Records()})
}

// Unsubscribe ends that.
func (r *Registry) Unsubscribe(s Sender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// Load takes an entry's report, to be told at the next round.
func (r *Registry) Load(list []fleetload.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range list {
		if waiting, ok := r.loads[report.Entry]; ok {
			report = waiting.Merge(report)
		}
		r.loads[report.Entry] = report
	}
	select {
	case r.loaded <- struct{}{}:
	default:
	}
}

// LoadsEvery is the least time between two rounds of loads. Load pattern: thirty
// entries send sixty prompts a second to forty engines two thirds full, and what an
// entry does not know of the others' choices it adds to. Rounds are made only when
// something has changed.
const LoadsEvery = 8 * time.Millisecond

// RunLoads passes entries' reports on to all subscribers, until ctx is done.
func (r *Registry) RunLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.loaded:
		}
		r.tellLoads()
		time.Sleep(LoadsEvery)
	}
}

func (r *Registry) tellLoads() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loads) == 0 {
		return
	}
	m := &Loads{List: slices.Collect(maps.Values(r.loads))}
	clear(r.loads)
	for s := range r.subscribers {
		_ = s.Send(m) // an ended link's peer hears the next round on its next one
	}
}

// Records gives all records.
func (r *Registry) Records() []directory.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dir.Records()
}

// looksPerSilence is how often in the span of a silence it is looked for one, so that
// it is noticed a quarter late at most.
const looksPerSilence = 4

// Run notices targets that have fallen silent, until ctx is done.
func (r *Registry) Run(ctx context.Context, silence time.Duration) {
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
