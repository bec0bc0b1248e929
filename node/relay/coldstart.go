package relay

import (
	"context"
	"errors"
	"time"
)

// errCold reports a send that was held back because the target is cold and the group has
// granted others all that it bears.
var errCold = errors.New("the target is cold and gets all the requests that it bears")

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

// coldRefused tells whether the group has just refused a request to the target.
func (t *Target) coldRefused(now time.Time) bool { return now.UnixNano() < t.coldRefusedTill.Load() }

// mayStart takes the grant for a request to a target if that is cold.
//
// Load pattern: a whole availability zone comes back cold at the same moment, seems empty to
// every entry, and beside it a burst comes in. Each entry alone sends little; together they
// send one target more than it bears, and it crashes with all that it runs. Grants are
// entries of the replicated log, so that the sum holds however many entries there are and
// whatever they know of each other. An entry without an answer sends nothing there.
func (r *Relay) mayStart(ctx context.Context, req *Request, t *Target) bool {
	now := time.Now()
	rate := r.service(t.Service).ColdRate
	if rate <= 0 || !r.cold(t, now) {
		return true
	}
	v := r.retries.ColdStart(ctx, t.Service, t.Target, rate)
	if !v.OK {
		t.coldRefusedTill.Store(time.Now().Add(refusedFor).UnixNano())
	}
	r.obs.ColdStart(req, t, v)
	return v.OK
}
