package admission

import (
	"math"
	"time"
)

// Bounds holds the settings that may change while a controller is in use. A zero
// field leaves its setting unchanged.
type Bounds struct {
	// QueueLimit is the maximum number of queued requests. Lowering it removes
	// no request that is already queued.
	QueueLimit int
	// WaitLimit is the maximum expected time to the first token. A request that
	// would wait longer is refused with the same reason as when the queue is
	// full. There is no limit until one is set.
	WaitLimit time.Duration
	// Overflow is the accepted probability, from 0 to 0.5, that memory runs out
	// before the running sequences have ended. It determines the margin, which
	// preemptions and starts then adjust further.
	Overflow float64
}

// SetBounds applies new bounds. A new Overflow shifts the margin by the
// difference between the margins of the new and the old probability, so that
// the adjustments made for preemptions are kept.
func (c *Controller) SetBounds(b Bounds) {
	if b.QueueLimit > 0 {
		c.cfg.QueueLimit = b.QueueLimit
	}
	if b.WaitLimit > 0 {
		c.waitLimit = b.WaitLimit
	}
	if b.Overflow > 0 {
		margin := marginFor(b.Overflow)
		c.margin = min(maxMargin, max(0, c.margin+margin-c.cfg.Margin))
		c.cfg.Margin = margin
	}
}

// marginFor returns the number of standard deviations above its mean that a
// normal variable exceeds with probability p. The total memory of many sequences
// is close to normally distributed.
func marginFor(p float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*p) }

// exceedsWaitLimit reports whether the expected time to the first token of s,
// which has to wait for the given time before it starts, is above the wait limit.
// A sequence that can start now never exceeds it, however long its prompt takes.
func (c *Controller) exceedsWaitLimit(s *sequence, wait time.Duration) bool {
	return c.waitLimit > 0 && wait > 0 && wait+c.prefillTime(s) > c.waitLimit
}
