package relay

import "time"

// chill notes that a target stays cold until a time. What is known already is not shortened.
func (t *Target) chill(till time.Time) {
	for {
		known := t.coldTill.Load()
		if known >= till.UnixNano() || t.coldTill.CompareAndSwap(known, till.UnixNano()) {
			return
		}
	}
}

// cold tells whether a target is cold, or has to be taken for cold because its availability
// zone was just taken back after an evacuation: it may have been restarted meanwhile, and its
// next announcement is up to a second away.
func (r *Relay) cold(t *Target, now time.Time) bool {
	if now.UnixNano() < t.coldTill.Load() {
		return true
	}
	back := t.takenBack.Load()
	if back == 0 {
		return false
	}
	return now.UnixNano() < back+r.service(t.Service).ColdFor.Nanoseconds()
}
