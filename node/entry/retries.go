package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
)

// Retries is the Retrier that uses core/retry: it pays for retries from budgets.
type Retries struct {
	*retry.Policy
	rngs   sync.Pool
	policy policyFollower
}

var _ Retrier = (*Retries)(nil)

// NewRetries returns a Retrier that counts its decisions with m.
func NewRetries(o retry.Options, m retry.Meter) *Retries {
	return &Retries{Policy: retry.New(o, m), rngs: newRands()}
}

// Next implements Retrier. safeToRetry already covers what the policy needs to know
// of delivery and repeatability.
func (r *Retries) Next(a retry.Attempt, err *api.Error, safeToRetry bool, now time.Time) (bool, time.Duration) {
	if !safeToRetry {
		return false, 0
	}
	r.policy.refresh()
	rng := r.rngs.Get().(*rand.Rand)
	defer r.rngs.Put(rng)
	d := r.Policy.Next(a, err, 0, safeToRetry, now, rng)
	return d.Retry, d.After
}

// First implements Retrier.
func (r *Retries) First(c api.CustomerID, now time.Time) {
	r.policy.refresh()
	r.Policy.First(c, now)
}

// newRands returns a pool of random generators, each of which is used by one
// goroutine at a time.
func newRands() sync.Pool {
	return sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}
}
