package admission

import (
	"math"
	"time"
)

// Bounds are the settings that may change while a controller is in use. A zero
// field leaves its setting as it is.
type Bounds struct {
	// QueueLimit bounds the queue; what is queued beyond a lower one stays.
	QueueLimit int
	// WaitLimit bounds the expected wait for the first token: a request that
	// would wait longer is refused as by a full queue. None at first.
	WaitLimit time.Duration
	// Overflow is the probability, from 0 to 0.5, with which memory may fill
	// before what runs has ended. It gives the margin; preemptions move that on.
	Overflow float64
}

// SetBounds takes new bounds. The margin moves by the difference of the two
// probabilities only, so that what preemptions have taught stays.
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

// marginFor gives the standard deviations that a normal variable exceeds with
// probability p: the sum of many sequences' memory is close to one.
func marginFor(p float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*p) }

// tooLong tells whether s would wait beyond the limit. One that can start now is
// never refused for the length of its own prompt.
func (c *Controller) tooLong(s *sequence, wait time.Duration) bool {
	return c.waitLimit > 0 && wait > 0 && wait+c.prefillTime(s) > c.waitLimit
}
