package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
)

const (
	operatorTimeout = 10 * time.Second
	// forwardTimeout is how long a member looks for the leader: two elections.
	forwardTimeout = 2500 * time.Millisecond
)

// executor carries out requests at this member, or at the leader when that is
// elsewhere. Safe for concurrent use.
type executor struct {
	member *Member
	// forward is a client of role control; nil passes nothing on.
	forward *Client
}

func (x *executor) run(req Request) *Reply { return x.within(context.Background(), req) }

// within is run that ends with ctx too.
func (x *executor) within(ctx context.Context, req Request) *Reply {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r := x.member.Do(ctx, &req)
	elsewhere := r.Outcome == api.OutcomeNotRun && r.Reason == api.ReasonControlUnavailable
	if !elsewhere || x.forward == nil {
		return r
	}
	forwardCtx, stop := context.WithTimeout(ctx, forwardTimeout)
	defer stop()
	return x.forward.Exec(forwardCtx, req)
}
