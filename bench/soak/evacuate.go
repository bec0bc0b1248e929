package main

import (
	"context"
	"math/rand/v2"
	"time"

	"almondseam.dev/platform/standin"
)

// The availability zones of targets. Of each service one target is in otherZone, which
// operators evacuate and take back.
const (
	ownZone   = "z"
	otherZone = "y"
)

const (
	// evacuatedFor is how long an evacuation lasts once it is confirmed, evacuateEvery the
	// mean pause before the next.
	evacuatedFor  = 7 * time.Second
	evacuateEvery = 2 * time.Second
	// orderAgain is the pause before an order without a clear answer is sent again.
	orderAgain = 100 * time.Millisecond
)

// evacuate empties a zone and takes it back, again and again, at any member, whatever the
// faults.
func (o *operators) evacuate(ctx context.Context, rng *rand.Rand) {
	op := standin.NewOperator()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(evacuateEvery)))
		if !o.order(ctx, op, rng, false) {
			return
		}
		o.check.Evacuated(otherZone, time.Now())
		pause(ctx, evacuatedFor)
		o.check.TakenBack(otherZone)
		if !o.order(ctx, op, rng, true) {
			return
		}
	}
}

// order sends an order until it is acknowledged; false if ctx ends first.
func (o *operators) order(ctx context.Context, op *standin.Operator, rng *rand.Rand, finish bool) bool {
	for ctx.Err() == nil {
		ok, err := op.Evacuate(ctx, o.members[rng.IntN(len(o.members))], otherZone, finish)
		if ok {
			return true
		}
		if err != nil {
			pause(ctx, orderAgain)
		}
	}
	return false
}
