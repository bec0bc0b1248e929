package relay

import (
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/repeats"
)

// Repeats holds this entry's budgets for repeated sends, one a service. It is
// safe for concurrent use.
type Repeats struct {
	limits repeats.Limits
	mu     sync.Mutex
	of     map[api.ServiceID]*repeats.Budget
}

// NewRepeats makes the budgets.
func NewRepeats(l repeats.Limits) *Repeats {
	return &Repeats{limits: l, of: make(map[api.ServiceID]*repeats.Budget)}
}

// First counts a request's first send.
func (r *Repeats) First(s api.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(s).First(now)
}

// Take takes one repeat if this entry's part of the budget allows it; entries is
// among how many it is shared.
func (r *Repeats) Take(s api.ServiceID, now time.Time, entries int) repeats.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(s).Take(now, entries)
}

// GiveBack returns a repeat, taken at a time, that was not sent after all.
func (r *Repeats) GiveBack(s api.ServiceID, taken time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(s).GiveBack(taken)
}

func (r *Repeats) budget(s api.ServiceID) *repeats.Budget {
	b := r.of[s]
	if b == nil {
		b = repeats.New(r.limits)
		r.of[s] = b
	}
	return b
}
