package entry

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
	"almondseam.dev/node/wire"
)

// Orderer is the road to the control group for orders; control.Client is one.
// It is called from several goroutines and retries within its context.
type Orderer interface {
	Order(ctx context.Context, cmd order.Command) (order.Order, error)
}

// Bounds of the talk with control about one order.
const (
	orderWithin   = 10 * time.Second
	orderPauseMax = 30 * time.Second
)

// SetOrderer gives the road to control; orders are fetched until ctx is done.
// Call it before the first link. Whoever stops the entry ends ctx first: a load
// that is paced is asked for again and again, and Wait would wait for it.
func (e *Entry) SetOrderer(ctx context.Context, o Orderer, lease time.Duration) {
	e.fetching = ctx
	e.orderer = o
	e.lease = lease
}

// SetOrders takes the targets that have an order waiting and none in flight.
// For each that is linked here the order is fetched and handed to its agent.
// Every entry that is linked to the agent does so; all get the same order, and
// the agent takes it once.
func (e *Entry) SetOrders(ready []api.TargetID) {
	set := make(map[api.TargetID]bool, len(ready))
	for _, id := range ready {
		set[id] = true
	}
	e.ready.Store(&set)
	for _, id := range ready {
		if p := e.peers.get(id); p != nil {
			e.work.Go(func() { e.fetchOrder(e.fetching, p) })
		}
	}
}

// orderReady tells whether an order waits for the target.
func (e *Entry) orderReady(id api.TargetID) bool {
	set := e.ready.Load()
	return set != nil && (*set)[id]
}

// fetchOrder takes the order for an agent, again and again while loads are paced.
// The agent's clock is read before control is asked, so that the agent's count
// of the lease ends before control's.
func (e *Entry) fetchOrder(ctx context.Context, p *peer) {
	for e.orderReady(p.target) && e.peers.get(p.target) == p && ctx.Err() == nil {
		echo := time.Duration(p.clock.Load())
		o, err := e.order(ctx, order.Command{Op: order.OpTake, Target: p.target, Incarnation: p.inc})
		if err == nil {
			_ = p.to.Send(&wire.Order{Order: o, Lease: e.lease, Echo: echo})
			return
		}
		wait := api.AsError(err).RetryAfter
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, orderPauseMax)):
		}
	}
}

func (e *Entry) order(ctx context.Context, cmd order.Command) (order.Order, error) {
	ctx, cancel := context.WithTimeout(ctx, orderWithin)
	defer cancel()
	return e.orderer.Order(ctx, cmd)
}

// onOrderState passes on how an order stands. A renewal goes back to the agent
// with the clock reading from before it was asked for.
func (t *AgentLink) onOrderState(m *wire.OrderState) {
	p, e := t.self, t.e
	if p == nil || e.orderer == nil {
		return
	}
	cmd := order.Command{Op: order.OpRenew, Target: p.target, Incarnation: p.inc, Fence: m.Fence}
	if m.Ended {
		cmd.Op, cmd.Failed, cmd.Message = order.OpFinish, m.Failed, m.Message
	}
	echo := time.Duration(p.clock.Load())
	e.work.Go(func() {
		o, err := e.order(context.Background(), cmd)
		if err == nil && !m.Ended {
			_ = p.to.Send(&wire.Order{Order: o, Lease: e.lease, Echo: echo})
		}
	})
}
