package relay

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
)

// errEvacuated reports a send that was held back because an operator has evacuated the
// target's availability zone meanwhile.
var errEvacuated = errors.New("the target's availability zone is evacuated")

// retryOperator tells a caller when to ask again where only an operator can change that
// there is no target: how long that takes is not known.
const retryOperator = 5 * time.Second

// evacuation is the list of evacuated availability zones in force at this entry.
type evacuation struct {
	index uint64
	zones map[api.Zone]struct{}
}

// Evacuate takes the evacuated availability zones: their targets get nothing new from now
// on. False tells that the list is no newer than the one in force; a member that lags must
// not undo an order that this entry has seen.
func (t *Targets) Evacuate(e state.Evacuated) bool {
	next := &evacuation{index: e.Index, zones: make(map[api.Zone]struct{}, len(e.Zones))}
	for _, z := range e.Zones {
		next.zones[z] = struct{}{}
	}
	for {
		held := t.evacuation.Load()
		if held != nil && held.index >= e.Index {
			return false
		}
		if t.evacuation.CompareAndSwap(held, next) {
			t.takeBack(held, next)
			return true
		}
	}
}

// takeBack notes the targets whose zones are no longer evacuated.
func (t *Targets) takeBack(held, next *evacuation) {
	if held == nil {
		return
	}
	now := time.Now().UnixNano()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range t.byID {
		_, before := held.zones[target.Zone]
		_, still := next.zones[target.Zone]
		if before && !still {
			target.takenBack.Store(now)
		}
	}
}

// evacuated tells whether the target's availability zone is evacuated.
func (t *Target) evacuated() bool {
	e := t.table.evacuation.Load()
	if e == nil || len(e.zones) == 0 {
		return false
	}
	_, ok := e.zones[t.Zone]
	return ok
}

// allEvacuated tells whether all targets of a service that could be asked are in evacuated
// zones.
func (t *Targets) allEvacuated(s api.ServiceID) bool {
	found := false
	for _, target := range t.Of(s) {
		switch {
		case target.evacuated():
			found = true
		case !target.draining.Load():
			return false
		}
	}
	return found
}
