package retrybudget

import (
	"time"

	"almondseam.dev/core/api"
)

const (
	// minRate is the rate granted, in requests per second, however low a target's limit is,
	// because only the answer to a request shows that the limit was raised.
	minRate = 0.25
	// maxRate bounds the rate granted for one target, in requests per second.
	maxRate = 100_000
	// paceBurst is the time whose requests may be granted at once.
	paceBurst = time.Second
	// paceWindow is the window of PaceLimits. It sets how long a paced grant is remembered, so
	// that a duplicate of its ask gets the same answer and its return is applied.
	paceWindow = 2 * LeaseTime
)

// interval returns the time between two grants at the target's rate, the pace.
func (a *Ask) interval() time.Duration {
	return time.Duration(float64(time.Second) / min(max(a.Rate, minRate), maxRate))
}

// tolerance returns how far ahead of the pace a grant may be. It allows the grants of paceBurst
// at once, and at least one grant that was not asked for when it was due.
func (a *Ask) tolerance() time.Duration { return max(paceBurst-a.interval(), a.interval()) }

// checkPace answers whether a grant at a replicated time in milliseconds keeps to the pace that
// the ask states.
func (c *Account) checkPace(now int64, a Ask) Answer {
	answer := Answer{Allowed: a.Rate}
	ahead := time.Duration(0)
	if c != nil {
		ahead = time.Duration(c.Next)*time.Microsecond - time.Duration(now)*time.Millisecond
		answer.Used = c.used(now)
	}
	if wait := ahead - a.tolerance(); wait > 0 {
		answer.Reason, answer.RetryAfter = api.ReasonRetryBudget, wait
		return answer
	}
	answer.Granted = true
	return answer
}

// advance counts a grant at a replicated time in milliseconds against the pace.
func (c *Account) advance(now int64, a Ask) {
	from := max(c.Next, (time.Duration(now) * time.Millisecond).Microseconds())
	c.Next = from + a.interval().Microseconds()
}
