package retrybudget

import (
	"time"

	"almondseam.dev/core/api"
)

const (
	// leastRate is granted, in requests a second, however low a target's limit is: only the
	// answer to a request tells that it has been raised.
	leastRate = 0.25
	// mostRate bounds the pace of one target, in requests a second.
	mostRate = 100_000
	// paceBurst is the time whose requests may be granted at once.
	paceBurst = time.Second
	// replay is how long a paced grant is remembered, so that a copy of its ask gets the same
	// answer and a return is counted.
	replay = 2 * LeaseTime
)

// interval is the time between two grants on pace.
func (a *Ask) interval() time.Duration {
	return time.Duration(float64(time.Second) / min(max(a.Rate, leastRate), mostRate))
}

// tolerance is how far ahead of the pace a grant may be: as far as the requests of paceBurst,
// and as far as one that nobody had asked for when it was due.
func (a *Ask) tolerance() time.Duration { return max(paceBurst-a.interval(), a.interval()) }

// pace tells whether a grant at a replicated time keeps to the pace that the ask names.
func (c *Account) pace(now int64, a Ask) Answer {
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

// advance counts a grant at a replicated time towards the pace.
func (c *Account) advance(now int64, a Ask) {
	from := max(c.Next, (time.Duration(now) * time.Millisecond).Microseconds())
	c.Next = from + a.interval().Microseconds()
}
