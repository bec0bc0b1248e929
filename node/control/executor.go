package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
)

const (
	operatorTimeout = 10 * time.Second
	// forwardTimeout is how long a member starts attempts to reach the leader: two
	// elections.
	forwardTimeout = 2500 * time.Millisecond
)

// executor executes requests at this member, or forwards them to the leader if that
// is another member. It is safe for concurrent use.
type executor struct {
	member *Member
	// forward is a client with the role control; if it is nil, requests are not
	// forwarded.
	forward *Client
}

func (x *executor) run(req Request) *Reply { return x.runContext(context.Background(), req) }

// runContext executes a request until operatorTimeout has passed or ctx ends.
func (x *executor) runContext(ctx context.Context, req Request) *Reply {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r := x.member.Do(ctx, &req)
	elsewhere := r.Outcome == api.OutcomeNotRun && r.Reason == api.ReasonControlUnavailable
	if !elsewhere || x.forward == nil {
		return r
	}
	forwardCtx, stop := context.WithTimeout(ctx, forwardTimeout)
	defer stop()
	return x.forward.ExecWithin(forwardCtx, ctx, req)
}
