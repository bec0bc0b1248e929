package limit

import (
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// Cap bounds something that one process has in hand, such as connections or
// bytes in buffers. It is safe for use from several goroutines.
type Cap struct {
	most   atomic.Int64
	reason api.Reason
	retry  time.Duration
	used   atomic.Int64
}

// NewCap gives a cap of most units. A refusal has the given reason and
// RetryAfter.
func NewCap(most int64, reason api.Reason, retry time.Duration) *Cap {
	c := &Cap{reason: reason, retry: retry}
	c.most.Store(most)
	return c
}

// Set bounds what is taken from now on; what is in hand beyond it stays.
func (c *Cap) Set(most int64) { c.most.Store(most) }

// Take takes n units or refuses.
func (c *Cap) Take(n int64) *api.Error {
	if c.used.Add(n) <= c.most.Load() {
		return nil
	}
	c.used.Add(-n)
	e := api.NotRun(api.StepLimit, "", c.reason, nil)
	e.RetryAfter = c.retry
	return e
}

// Give gives back n units that Take took.
func (c *Cap) Give(n int64) { c.used.Add(-n) }

// Used gives the number of units taken.
func (c *Cap) Used() int64 { return c.used.Load() }
