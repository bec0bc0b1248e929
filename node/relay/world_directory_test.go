package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
)

// directoryOfRuns is what the members know of the targets.
type directoryOfRuns struct {
	// directoryMu lets entry processes get all records, and changes of them, in one order.
	directoryMu sync.Mutex
	// announced holds the records that were announced last; nil if it is not kept.
	announced map[api.TargetID]directory.Record
}

// afterLearning calls f after learnDelay.
func (w *world) afterLearning(f func()) {
	if w.learnDelay == nil {
		f()
		return
	}
	time.AfterFunc(w.learnDelay(), f)
}

// learn lets an entry process know of the targets.
func (w *world) learn(b *simBoot) {
	w.directoryMu.Lock()
	defer w.directoryMu.Unlock()
	b.learned = true
	if w.announced != nil {
		b.targets.Update(slices.Collect(maps.Values(w.announced)))
		return
	}
	for _, s := range w.targets {
		s.mu.Lock()
		r := s.record
		s.mu.Unlock()
		b.targets.Update([]directory.Record{r})
	}
}

// keepAnnounced lets entry processes that start learn what was announced, not what the targets are.
func (w *world) keepAnnounced() {
	w.directoryMu.Lock()
	defer w.directoryMu.Unlock()
	w.announced = make(map[api.TargetID]directory.Record)
	for _, s := range w.targets {
		s.mu.Lock()
		w.announced[s.record.Target] = s.record
		s.mu.Unlock()
	}
}

// announce sends a target's record to all entries. A process that has yet to learn of the targets gets
// it then.
func (w *world) announce(r directory.Record) {
	w.directoryMu.Lock()
	defer w.directoryMu.Unlock()
	switch {
	case w.announced == nil:
	case r.State == directory.StateGone:
		delete(w.announced, r.Target)
	default:
		w.announced[r.Target] = r
	}
	for _, e := range w.entries {
		if b := e.current(); b.learned {
			b.targets.Update([]directory.Record{r})
		}
	}
}

// announcedAt returns the addresses at which targets of a software version that take requests are
// announced, and whether that is kept.
func (w *world) announcedAt(software string) (addrs []string, kept bool) {
	w.directoryMu.Lock()
	defer w.directoryMu.Unlock()
	for _, r := range w.announced {
		if string(r.Software) == software && r.State == directory.StateReady {
			addrs = append(addrs, r.Address)
		}
	}
	return addrs, w.announced != nil
}
