package control

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
)

// stampEvacuation notes in an order how far the first member that receives it has applied
// the log. See state.Evacuation.
func (m *Member) stampEvacuation(req *Request) {
	command, order := *req.Command, *req.Command.Evacuation
	if order.Base == 0 {
		m.mu.RLock()
		order.Base = m.applied
		m.mu.RUnlock()
	}
	command.Evacuation = &order
	req.Command = &command
}

// EvacuationError gives what became of an order from the reply to it, nil if it is in
// force.
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

// ZoneOrders gives the last order for each availability zone, as this member has applied
// them.
func (m *Member) ZoneOrders() []state.ZoneOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.ZoneOrders()
}

// awaitEvacuated waits until this member has applied the orders up to a log index; false if
// it hasn't after waitApplied.
func (m *Member) awaitEvacuated(index uint64) bool {
	limit := time.NewTimer(waitApplied)
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
