package relay

import (
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
)

// readingSpeeds holds how fast the engines of each service read prompts. It is safe
// for concurrent use.
type readingSpeeds struct {
	mu sync.Mutex
	by map[api.ServiceID]*estimate.PrefillEstimator
}

func newReadingSpeeds() *readingSpeeds {
	return &readingSpeeds{by: make(map[api.ServiceID]*estimate.PrefillEstimator)}
}

func (r *readingSpeeds) service(s api.ServiceID) *estimate.PrefillEstimator {
	one := r.by[s]
	if one == nil {
		one = &estimate.PrefillEstimator{}
		r.by[s] = one
	}
	return one
}

// learn takes the reading that begun tells of, if it does.
func (r *readingSpeeds) learn(s api.ServiceID, begun func() (int, time.Duration)) {
	tokens, took := begun()
	if tokens == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(s).Observe(tokens, took)
}

// of gives the speed in tokens a second.
func (r *readingSpeeds) of(s api.ServiceID) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(s).Speed()
}
