package targetlimit

import "time"

// asksPerGrant is how often all instances together ask for each request that a target takes,
// while they have requests for it.
const asksPerGrant = 2

// RetryDelay gives how long an instance that was refused a request to a target leaves it alone:
// until the next one is free, and longer the more instances there are, so that what they ask
// together follows the target's rate, in requests a second, and not their number. spread is
// uniform in [0,1).
func RetryDelay(rate float64, instances int, free time.Duration, spread float64) time.Duration {
	share := time.Duration(float64(max(instances, 1)) / (asksPerGrant * max(rate, leastRate)) * float64(time.Second))
	wait := max(free, min(share, askAgainMost))
	return time.Duration((0.5 + spread) * float64(wait))
}

const (
	// leastRate stands for lower limits, in requests a second.
	leastRate = 0.25
	// askAgainMost bounds the wait: limits end, and targets have room again.
	askAgainMost = 3 * time.Second
)
