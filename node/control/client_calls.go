package control

import (
	"context"
	"errors"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
)

// Claim asks for a grant to run a call. On an error the claimant holds no grant and
// must not dispatch the call; since nobody else may dispatch it on the claimant's
// behalf, the outcome of the call is not_run. The claim may still have been
// recorded, so the caller should then call Abandon.
func (c *Client) Claim(ctx context.Context, req claim.Request) (claim.Decision, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Claim: &req}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Claim == nil {
		return claim.Decision{}, unavailable(api.StepClaim, r, api.OutcomeNotRun)
	}
	return *r.Result.Claim, nil
}

// Abandon releases a claim that may have been granted although Claim failed, so that
// the key can be claimed again at once.
func (c *Client) Abandon(ctx context.Context, key claim.Key, claimant string) error {
	return c.Settle(ctx, claim.Report{Key: key, Claimant: claimant, Outcome: api.OutcomeNotRun})
}

// Settle reports the outcome of a granted call. It may be repeated.
func (c *Client) Settle(ctx context.Context, rep claim.Report) error {
	r, _ := c.call(ctx, Request{Command: &state.Command{Report: &rep}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil {
		return unavailable(api.StepClaim, r, api.OutcomeUnknown)
	}
	if r.Result.Reason != "" {
		return &api.Error{Step: api.StepClaim, Outcome: api.OutcomeNotRun, Reason: r.Result.Reason, Err: errors.New(r.Result.Message)}
	}
	return nil
}

// Order executes an order command on behalf of an agent.
func (c *Client) Order(ctx context.Context, cmd order.Command) (order.Order, error) {
	r, noEffect := c.call(ctx, Request{Command: &state.Command{Order: &cmd}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil {
		outcome := api.OutcomeUnknown
		if noEffect {
			outcome = api.OutcomeNotRun
		}
		return order.Order{}, unavailable(api.StepOrder, r, outcome)
	}
	if r.Result.Reason != "" {
		return order.Order{}, &api.Error{
			Step: api.StepOrder, Outcome: api.OutcomeNotRun, Reason: r.Result.Reason, RetryAfter: r.Result.RetryAfter,
			Err: errors.New(r.Result.Message),
		}
	}
	return *r.Result.Order, nil
}

// HighestRevision returns the highest accepted revision, confirmed by a majority. Before it
// returns, it delivers the evacuated availability zones to OnEvacuated. A restarted
// process must not serve requests before it has applied this revision, because it may
// have acted on a revision that it no longer knows.
func (c *Client) HighestRevision(ctx context.Context) (api.Revision, error) {
	confirmed, err := c.Confirm(ctx)
	if confirmed.Evacuated != nil {
		c.opt.OnEvacuated(*confirmed.Evacuated)
	}
	return confirmed.Revision, err
}

// Confirmed is the result of a read that a majority has confirmed.
type Confirmed struct {
	Revision api.Revision
	// Evacuated is nil if the leader runs a version without evacuations.
	Evacuated *state.Evacuated
}

// Confirm returns the highest accepted revision and the evacuated availability
// zones, confirmed by a majority. Unlike HighestRevision it does not call OnEvacuated.
func (c *Client) Confirm(ctx context.Context) (Confirmed, error) {
	r, _ := c.call(ctx, Request{Read: true})
	if r.Outcome != api.OutcomeCompleted {
		return Confirmed{}, unavailable(api.StepConfig, r, api.OutcomeNotRun)
	}
	return Confirmed{Revision: r.Revision, Evacuated: r.Evacuated}, nil
}

// Exec executes any request, for members that forward requests of operators.
// Outcome not_run in the reply means that no attempt had an effect.
func (c *Client) Exec(ctx context.Context, req Request) *Reply {
	return c.ExecWithin(ctx, ctx, req)
}

// ExecWithin is Exec with another context for the start of attempts: a request that was
// sent before start ended still gets its reply, which may prove that it had no effect.
func (c *Client) ExecWithin(start, ctx context.Context, req Request) *Reply {
	r, noEffect := c.callWithin(start, ctx, req)
	if r.Outcome != api.OutcomeCompleted && !noEffect {
		r.Outcome = api.OutcomeUnknown
	}
	return r
}
