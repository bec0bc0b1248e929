package relay

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
	"almondseam.dev/core/targetstate"
)

// errEvacuated reports a send that was skipped because an operator has evacuated the target's
// availability zone since the target was selected.
var errEvacuated = errors.New("the target's availability zone is evacuated")

// operatorRetryAfter is the Retry-After value for requests that have no target until an
// operator acts. How long that takes is unknown.
const operatorRetryAfter = 5 * time.Second

// evacuation is the list of evacuated availability zones that this entry process applies.
type evacuation struct {
	index uint64
	zones map[api.Zone]struct{}
}

// SetEvacuated applies a list of evacuated availability zones: targets in these zones receive
// no new requests from then on. It returns false, and changes nothing, if the list is not newer
// than the one in force: a lagging control member must not revert an order that this entry has
// already applied.
func (t *Targets) SetEvacuated(e state.Evacuated) bool {
	next := &evacuation{index: e.Index, zones: make(map[api.Zone]struct{}, len(e.Zones))}
	for _, z := range e.Zones {
		next.zones[z] = struct{}{}
	}
	for {
		current := t.evacuation.Load()
		if current != nil && current.index >= e.Index {
			return false
		}
		if t.evacuation.CompareAndSwap(current, next) {
			t.recordEvacuationEnds(current, next)
			return true
		}
	}
}

// recordEvacuationEnds records the current time for all targets whose zone is evacuated in
// current and no longer evacuated in next.
func (t *Targets) recordEvacuationEnds(current, next *evacuation) {
	if current == nil {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range t.byID {
		_, before := current.zones[target.Zone]
		_, still := next.zones[target.Zone]
		if before && !still {
			target.update(func(s targetstate.Status) targetstate.Status { return s.EndEvacuation(now) })
		}
	}
}

// evacuated reports whether the target's availability zone is evacuated.
func (t *Target) evacuated() bool {
	e := t.table.evacuation.Load()
	if e == nil || len(e.zones) == 0 {
		return false
	}
	_, ok := e.zones[t.Zone]
	return ok
}

// allEvacuated reports whether the service has targets in evacuated zones, and all its other
// targets are draining.
func (t *Targets) allEvacuated(s api.ServiceID) bool {
	found := false
	for _, target := range t.Of(s) {
		switch {
		case target.evacuated():
			found = true
		case !target.isDraining():
			return false
		}
	}
	return found
}
