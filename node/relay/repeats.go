package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/repeats"
)

// Repeats holds this entry's budgets for repeated sends, one a service.
type Repeats struct {
	limits repeats.Limits
	// entries is among how many entries the fleet's slack is shared.
	entries atomic.Int64
	mu      sync.Mutex
	of      map[api.ServiceID]*repeats.Budget
}

// usualEntries is taken until the number of entries is known.
const usualEntries = 6

// NewRepeats makes the budgets.
func NewRepeats(l repeats.Limits) *Repeats {
	r := &Repeats{limits: l, of: make(map[api.ServiceID]*repeats.Budget)}
	r.entries.Store(usualEntries)
	return r
}

// SetEntries tells how many entries there are.
func (r *Repeats) SetEntries(n int) { r.entries.Store(int64(max(n, 1))) }

// First counts a request's first send.
func (r *Repeats) First(s api.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(s).First(now)
}

// Take takes one repeat if the budget allows it.
func (r *Repeats) Take(s api.ServiceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(s).Take(now, int(r.entries.Load()))
}

func (r *Repeats) budget(s api.ServiceID) *repeats.Budget {
	b := r.of[s]
	if b == nil {
		b = repeats.New(r.limits)
		r.of[s] = b
	}
	return b
}
