package relay

import (
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
)

// prefillRates estimates how fast the engines of each service process prompts. It is safe for
// concurrent use.
type prefillRates struct {
	mu        sync.Mutex
	byService map[api.ServiceID]*estimate.PrefillEstimator
}

func newPrefillRates() *prefillRates {
	return &prefillRates{byService: make(map[api.ServiceID]*estimate.PrefillEstimator)}
}

func (r *prefillRates) estimator(s api.ServiceID) *estimate.PrefillEstimator {
	one := r.byService[s]
	if one == nil {
		one = &estimate.PrefillEstimator{}
		r.byService[s] = one
	}
	return one
}

// record adds the measurement that finishPrefill returns, if it returns one.
func (r *prefillRates) record(s api.ServiceID, measure func() (int, time.Duration)) {
	tokens, took := measure()
	if tokens == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimator(s).Observe(tokens, took)
}

// rate returns the estimate in prompt tokens per second.
func (r *prefillRates) rate(s api.ServiceID) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimator(s).Speed()
}
