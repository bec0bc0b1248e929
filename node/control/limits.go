package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

// answerKnownLimit answers a statement of a target's limit that would change nothing, and
// reports whether it did. Such statements are not proposed because every entry that hears the
// same limit would otherwise add it to the log. Only the leader answers.
func (m *Member) answerKnownLimit(c *call) bool {
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

// TargetLimits returns the limits that targets have stated, as far as this member has applied
// the log.
func (m *Member) TargetLimits() state.TargetLimits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.TargetLimits()
}

// StateLimit reports to the group the limit that a target has stated, and returns the limit
// that the group then applies. It may be repeated. After an error it is unknown whether the
// group has recorded the statement.
func (c *Client) StateLimit(ctx context.Context, l state.LimitStatement) (state.TargetLimit, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Limit: &l}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Limit == nil {
		return state.TargetLimit{}, unavailable(api.StepTargetLimit, r, api.OutcomeUnknown)
	}
	return *r.Result.Limit, nil
}
