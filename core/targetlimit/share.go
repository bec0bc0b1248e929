package targetlimit

import "time"

// asksPerGrant is how many times all instances together ask the control group for a grant per
// request that a target takes, while they have requests for the target.
const asksPerGrant = 2

// RetryDelay returns how long an instance that was refused a grant for a request to a target waits
// before it asks for another. It is the larger of free, the time until the next grant is free, and
// a time that grows with the number of instances, so that the rate at which all of them ask
// together follows the target's rate, in requests per second, and not their number. spread, a
// random number uniform in [0,1), varies the delay by up to half of it.
func RetryDelay(rate float64, instances int, free time.Duration, spread float64) time.Duration {
	share := time.Duration(float64(max(instances, 1)) / (asksPerGrant * max(rate, minRate)) * float64(time.Second))
	wait := max(free, min(share, maxRateDelay))
	return time.Duration((0.5 + spread) * float64(wait))
}

const (
	// minRate, in requests per second, is used in place of lower limits.
	minRate = 0.25
	// maxRateDelay bounds the part of the delay that depends on the target's rate and the number
	// of instances, because a limit may end and the target may have capacity again.
	maxRateDelay = 3 * time.Second
)
