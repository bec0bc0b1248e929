package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

// knowsLimit answers a statement that the leader knows to change nothing, so that the log
// does not grow with what every entry hears.
func (m *Member) knowsLimit(c *call) bool {
	stated := c.req.Command.Limit
	if stated == nil || m.role != consensus.RoleLeader {
		return false
	}
	known, changes := m.state.LimitChanges(m.clock.at(time.Now()), *stated)
	if changes {
		return false
	}
	c.answer(&Reply{Outcome: api.OutcomeCompleted, Result: &known})
	return true
}

// TargetLimits gives the limits that targets name, as this member has applied them.
func (m *Member) TargetLimits() state.TargetLimits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.TargetLimits()
}

// StateLimit tells the group what a target says of its limit, and gives what the group goes by
// then. The same statement may be made again. With an error it is not known whether the group
// has heard it.
func (c *Client) StateLimit(ctx context.Context, l state.LimitStatement) (state.TargetLimit, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Limit: &l}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Limit == nil {
		return state.TargetLimit{}, unavailable(api.StepTargetLimit, r, api.OutcomeUnknown)
	}
	return *r.Result.Limit, nil
}
