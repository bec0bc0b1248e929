package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
)

// stampRetry puts this member's limits into an ask for a retry. An entry whose settings
// differ must not change what the group grants.
func (m *Member) stampRetry(req *Request) {
	command, ask := *req.Command, *req.Command.Retry
	ask.Limits = ask.LimitsOf(m.opt.Retries)
	command.Retry = &ask
	req.Command = &command
}

// refuseRetry answers an ask for a retry that the leader knows would be refused, so that
// the log does not grow with refusals while much fails.
func (m *Member) refuseRetry(c *call) bool {
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

// Retry asks the group for one retry, or returns one. The same ask may be made again;
// it gets its first answer. An error means that no answer came before ctx ended; a
// retry may have been granted, and counts until its time is over.
func (c *Client) Retry(ctx context.Context, ask retrybudget.Ask) (retrybudget.Answer, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Retry: &ask}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Retry == nil {
		return retrybudget.Answer{}, unavailable(api.StepRetry, r, api.OutcomeUnknown)
	}
	return *r.Result.Retry, nil
}
