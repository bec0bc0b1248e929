package relay

import (
	"cmp"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/targetstate"
)

// returns counts, for each service, the callers that were refused while none of its targets is
// available. It is safe for concurrent use.
type returns struct {
	mu       sync.Mutex
	refusals map[api.ServiceID]*targetstate.Refusals
}

func newReturns() *returns {
	return &returns{refusals: make(map[api.ServiceID]*targetstate.Refusals)}
}

// spread counts a request that is refused until availableAt, and returns the time after it over
// which its caller and the others return.
func (r *returns) spread(req *Request, now, availableAt time.Time, targets *Targets) time.Duration {
	slots := 0
	for _, t := range targets.Of(req.Service) {
		slots += t.Slots
	}
	service := cmp.Or(req.Route.Objective, retryBusy)
	return targetstate.ReturnSpread(r.add(req.Service, now, availableAt), targets.EntryCount(), slots, service)
}

func (r *returns) add(s api.ServiceID, now, availableAt time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals[s] == nil {
		r.refusals[s] = &targetstate.Refusals{}
	}
	return r.refusals[s].Add(now, availableAt)
}
