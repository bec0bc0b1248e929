package relay

import "time"

// markColdUntil marks the target as cold until the given time. It never shortens an earlier
// mark.
func (t *Target) markColdUntil(until time.Time) {
	for {
		current := t.coldUntil.Load()
		if current >= until.UnixNano() || t.coldUntil.CompareAndSwap(current, until.UnixNano()) {
			return
		}
	}
}

// isCold reports whether a target is cold, or must be treated as cold because the evacuation of
// its availability zone has just ended: the target may have been restarted during the
// evacuation, and its next announcement is up to a second away.
func (r *Relay) isCold(t *Target, now time.Time) bool {
	if now.UnixNano() < t.coldUntil.Load() {
		return true
	}
	ended := t.evacuationEnded.Load()
	if ended == 0 {
		return false
	}
	return now.UnixNano() < ended+r.service(t.Service).ColdFor.Nanoseconds()
}
