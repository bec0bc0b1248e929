package limit

import (
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// Cap bounds a resource of one process, such as connections or buffered bytes.
// It is safe for concurrent use.
type Cap struct {
	limit  atomic.Int64
	reason api.Reason
	retry  time.Duration
	used   atomic.Int64
}

// NewCap returns a cap of limit units. Refusals carry reason, and retry as their
// RetryAfter.
func NewCap(limit int64, reason api.Reason, retry time.Duration) *Cap {
	c := &Cap{reason: reason, retry: retry}
	c.limit.Store(limit)
	return c
}

// Set changes the limit. Units already taken beyond a lowered limit stay taken.
func (c *Cap) Set(limit int64) { c.limit.Store(limit) }

// Acquire takes n units, or returns a refusal if that would exceed the limit.
func (c *Cap) Acquire(n int64) *api.Error {
	if c.used.Add(n) <= c.limit.Load() {
		return nil
	}
	c.used.Add(-n)
	e := api.NotRun(api.StepLimit, "", c.reason, nil)
	e.RetryAfter = c.retry
	return e
}

// Release returns n units that Acquire has taken.
func (c *Cap) Release(n int64) { c.used.Add(-n) }

// Used returns the number of units taken.
func (c *Cap) Used() int64 { return c.used.Load() }
