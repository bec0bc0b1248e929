package control

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
)

// setEvacuationBase sets the Base of an evacuation order to the index that this member has
// applied, unless a member that received the order earlier has set it. See state.Evacuation.
func (m *Member) setEvacuationBase(req *Request) {
	command, order := *req.Command, *req.Command.Evacuation
	if order.Base == 0 {
		m.mu.RLock()
		order.Base = m.applied
		m.mu.RUnlock()
	}
	command.Evacuation = &order
	req.Command = &command
}

// EvacuationError converts the reply to an evacuation order into an error. It returns nil if
// the order is in force.
func EvacuationError(r *Reply) error {
	e := &api.Error{Step: api.StepEvacuation, Outcome: r.Outcome, Reason: r.Reason, Err: errors.New(r.Message)}
	if r.Outcome != api.OutcomeCompleted {
		return e
	}
	if r.Result == nil || r.Result.Reason == "" {
		return nil
	}
	e.Outcome, e.Reason, e.Err = api.OutcomeNotRun, r.Result.Reason, errors.New(r.Result.Message)
	return e
}

// ZoneOrders returns the last evacuation order for each availability zone that this member
// has applied.
func (m *Member) ZoneOrders() []state.ZoneOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.ZoneOrders()
}

// waitForEvacuations waits until this member has applied the evacuation orders up to a log
// index. It returns false if that takes longer than applyTimeout.
func (m *Member) waitForEvacuations(index uint64) bool {
	limit := time.NewTimer(applyTimeout)
	defer limit.Stop()
	for {
		m.mu.RLock()
		at, changed := m.state.EvacuationIndex(), m.changed
		m.mu.RUnlock()
		if at >= index {
			return true
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		}
	}
}
