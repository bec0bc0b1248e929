package origins

import (
	"sync"
	"time"

	"almondseam.dev/core/origin"
)

// maxKept bounds the streams that one member keeps.
const maxKept = 1 << 20

// Keeper is a member's part: it keeps the origins that entries report. It is safe for concurrent use.
type Keeper struct {
	mu    sync.Mutex
	table *origin.Table
}

// NewKeeper returns an empty Keeper.
func NewKeeper() *Keeper { return &Keeper{table: origin.NewTable(maxKept)} }

// Store stores the streams of a report.
func (k *Keeper) Store(m *Report) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range m.List {
		k.table.Put(s.Key, s.Origin, s.Revised, now.Add(time.Duration(s.TTL)*time.Millisecond), now)
	}
}

// Answer answers a question.
func (k *Keeper) Answer(m *Ask) *Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, ok := k.table.Get(m.Key, time.Now())
	return &Answer{ID: m.ID, Found: ok, Origin: o}
}

// Len returns the number of streams kept.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}
