package relay

import (
	"time"

	"almondseam.dev/core/targetstate"
)

// unknownStatus is the status of a target of which nothing is known.
var unknownStatus targetstate.Status

// state returns what this entry knows of the target's condition. The result must not be modified.
func (t *Target) state() *targetstate.Status {
	if s := t.status.Load(); s != nil {
		return s
	}
	return &unknownStatus
}

// update replaces the target's status atomically, and returns it as it was before and is after
// the change.
func (t *Target) update(change func(targetstate.Status) targetstate.Status) (before, after targetstate.Status) {
	for {
		current := t.status.Load()
		before = unknownStatus
		if current != nil {
			before = *current
		}
		next := change(before)
		if next == before || t.status.CompareAndSwap(current, &next) {
			return before, next
		}
	}
}

// drain marks the target as draining: it gets no new requests, and its streams are migrated.
func (t *Target) drain() {
	now := time.Now()
	t.update(func(s targetstate.Status) targetstate.Status { return s.Drain(now) })
}

// inherit applies what is known of another run at the target's address.
func (t *Target) inherit(previous *targetstate.Status, now time.Time) (before, after targetstate.Status) {
	return t.update(func(s targetstate.Status) targetstate.Status { return s.Inherit(previous, now) })
}

func (t *Target) isDraining() bool { return t.state().IsDraining() }

// recordFailure marks the target as avoided for a while.
func (t *Target) recordFailure(now time.Time) {
	t.update(func(s targetstate.Status) targetstate.Status { return s.Fail(now) })
}

// recordSuccess ends the effect of earlier failures.
func (t *Target) recordSuccess() { t.update(targetstate.Status.Succeed) }

// refuse excludes the target for a while, because the control group has refused a grant for a
// request to it.
func (t *Target) refuse(d time.Duration) {
	until := time.Now().Add(d)
	t.update(func(s targetstate.Status) targetstate.Status { return s.Refuse(until) })
}

// markFull marks the target as full for a while, because it has refused a reservation.
func (t *Target) markFull(d time.Duration) {
	until := time.Now().Add(d)
	t.update(func(s targetstate.Status) targetstate.Status { return s.Fill(until) })
}

// isCold reports whether a target is cold or must be treated as cold.
func (r *Relay) isCold(t *Target, now time.Time) bool {
	return t.state().IsCold(now, r.service(t.Service).ColdFor)
}
