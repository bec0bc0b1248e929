package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
)

// setRetryLimits sets this member's limits in an ask for a retry, so that an entry with
// different settings cannot change what the group grants.
func (m *Member) setRetryLimits(req *Request) {
	command, ask := *req.Command, *req.Command.Retry
	ask.Limits = ask.LimitsOf(m.opt.Retries)
	command.Retry = &ask
	req.Command = &command
}

// answerRefusedRetry answers an ask for a retry that the leader would refuse, and reports
// whether it did. Such asks are not proposed, so that the log does not grow with refused
// asks while many requests fail.
func (m *Member) answerRefusedRetry(c *call) bool {
	ask := c.req.Command.Retry
	if ask == nil || ask.Return || m.role != consensus.RoleLeader {
		return false
	}
	answer := m.state.Retries().Check(m.clock.at(time.Now()), *ask)
	if answer.Granted {
		return false
	}
	c.answer(&Reply{Outcome: api.OutcomeCompleted, Result: &state.Result{Reason: answer.Reason, Retry: &answer}})
	return true
}

// Retry asks the group for one retry, or returns a granted one. The same ask may be
// repeated: it never gets a second grant. After an error the answer is unknown; a retry
// may have been granted and then counts until its grant expires.
func (c *Client) Retry(ctx context.Context, ask retrybudget.Ask) (retrybudget.Answer, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Retry: &ask}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Retry == nil {
		return retrybudget.Answer{}, unavailable(api.StepRetry, r, api.OutcomeUnknown)
	}
	return *r.Result.Retry, nil
}
