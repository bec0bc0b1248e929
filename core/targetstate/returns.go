package targetstate

import "time"

// MaxReturnSpread bounds the time over which callers that were refused together return.
const MaxReturnSpread = 5 * time.Second

// Refusals counts the requests that one instance has refused while no target of a service is
// available. It is not safe for concurrent use.
type Refusals struct {
	// availableAt is when a target becomes available again, as last known.
	availableAt time.Time
	count       int
}

// Add counts a request that is refused at the time now until availableAt, and returns how many
// have been refused since a target was last available, this one included.
func (r *Refusals) Add(now, availableAt time.Time) int {
	if now.After(r.availableAt) {
		r.count = 0
	}
	r.availableAt = later(r.availableAt, availableAt)
	r.count++
	return r.count
}

// ReturnSpread returns the time over which callers that were refused return to the targets: as
// long as the targets need to serve them all.
//
// Load pattern: every target of a service asks for a time without requests. The callers that each
// of the instances refuses meanwhile may all return at its end. refused is the number of callers
// that this instance has refused; the others, instances in all, are assumed to have refused as
// many each. slots is the number of requests that the targets serve at once, and service the time
// that they take for one.
func ReturnSpread(refused, instances, slots int, service time.Duration) time.Duration {
	callers := float64(refused) * float64(max(instances, 1))
	spread := time.Duration(callers / float64(max(slots, 1)) * float64(service))
	return min(spread, MaxReturnSpread)
}
