package callers

import (
	"context"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/rollout"
)

// Newest determines whether the configuration in force is the newest accepted one. It is safe for concurrent use.
type Newest interface {
	// Await waits until every configuration that was accepted before since is in force, or replaced
	// by one that is, and a majority of the control group has confirmed that. It returns false if ctx
	// ends first.
	Await(ctx context.Context, since time.Time) bool
}

// SetNewest makes refusals of unknown keys, models and services depend on the newest configuration. It
// must be called before Serve.
func (s *Server) SetNewest(n Newest) { s.newest = n }

// useNewest makes the newest configuration that of the request, and finds the customer in it. It is called
// when the configuration that was in force lacks what the request names: a refusal by it would be final
// for the caller, although a newer one, confirmed to the operator, may allow the request.
func (c *callerInfo) useNewest() *api.Error {
	s := c.server
	if s == nil || s.newest == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.baseCtx, rollout.MaxConfirmationWait)
	defer cancel()
	if !s.newest.Await(ctx, c.arrived.Add(-rollout.ConfirmationLifetime)) {
		return &api.Error{
			Step: api.StepConfig, Outcome: api.OutcomeNotRun, Reason: api.ReasonConfigUnconfirmed, RetryAfter: rollout.RetryUnconfirmed,
			Err: errors.New("the control group did not confirm in time that this entry has the newest configuration"),
		}
	}
	c.conf = s.live.Load()
	return c.findCustomer()
}

func (c *callerInfo) findCustomer() *api.Error {
	var known bool
	if c.customer, known = c.conf.CustomerByKey(c.key); !known {
		return refusal(api.StepAuth, api.ReasonUnauthenticated, "the API key is not known")
	}
	return nil
}
