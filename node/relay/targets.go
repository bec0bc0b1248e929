package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
)

// Target is one run of a target as this entry knows it.
type Target struct {
	directory.Record
	// leaving is closed once the target is known to be leaving, missing or gone.
	leaving  chan struct{}
	gone     atomic.Bool
	departs  atomic.Bool
	coldTill time.Time
	// running and tokens are the requests of this entry that are under way there,
	// and the memory that they are expected to take.
	running atomic.Int64
	tokens  atomic.Int64
	// avoidTill is until when the target is passed over, Unix nanoseconds.
	avoidTill atomic.Int64
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
}

// NewTargets makes an empty table.
func NewTargets() *Targets {
	t := &Targets{}
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
		byID[r.Target] = renew(byID[r.Target], r)
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
func renew(known *Target, r directory.Record) *Target {
	if known == nil || known.Born != r.Born || known.Address != r.Address || known.Service != r.Service {
		if known != nil {
			known.depart(true)
		}
		known = &Target{Record: r, leaving: make(chan struct{}), coldTill: time.Now().Add(r.Cold)}
	}
	switch r.State {
	case directory.StateLeaving:
		known.depart(false)
	case directory.StateGone:
		known.depart(true)
	}
	return known
}

// depart marks the target as leaving, once.
func (t *Target) depart(gone bool) {
	if gone {
		t.gone.Store(true)
	}
	if !t.departs.Swap(true) {
		close(t.leaving)
	}
}

// Of gives the targets of a service.
func (t *Targets) Of(s api.ServiceID) []*Target { return t.view.Load().byService[s] }

// Len counts the targets.
func (t *Targets) Len() int { return len(t.view.Load().byID) }

// avoided tells whether the target is passed over at present.
func (t *Target) avoided(now time.Time) bool { return now.UnixNano() < t.avoidTill.Load() }

const (
	// avoidMin is how long a target is passed over after its first failure; it
	// doubles up to avoidMax with each one in a row.
	avoidMin = 250 * time.Millisecond
	avoidMax = 4 * time.Second
)

// failed passes the target over for a while.
func (t *Target) failed(now time.Time) {
	n := t.failures.Add(1)
	wait := avoidMin << min(n-1, 4)
	t.avoidTill.Store(now.Add(min(wait, avoidMax)).UnixNano())
}

// served takes that back.
func (t *Target) served() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.avoidTill.Store(0)
	}
}

// Running counts this entry's requests at the target.
func (t *Target) Running() int64 { return t.running.Load() }

// Tokens is the memory that those are expected to take.
func (t *Target) Tokens() int64 { return t.tokens.Load() }

// hold counts a request against the target until release.
func (t *Target) hold(tokens int) {
	t.running.Add(1)
	t.tokens.Add(int64(tokens))
}

func (t *Target) release(tokens int) {
	t.running.Add(-1)
	t.tokens.Add(-int64(tokens))
}
