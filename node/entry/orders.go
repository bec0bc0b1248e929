package entry

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
	"almondseam.dev/node/wire"
)

// Orderer sends order commands to the control group; control.Client implements it.
// Order is called from several goroutines and retries within its context.
type Orderer interface {
	Order(ctx context.Context, cmd order.Command) (order.Order, error)
}

// orderTimeout is the maximum time for one command to the control group, and
// maxOrderRetryDelay the maximum delay before an order is requested again.
const (
	orderTimeout       = 10 * time.Second
	maxOrderRetryDelay = 30 * time.Second
)

// SetOrderer sets how the entry reaches the control group and the lease that agents
// get for an order. Orders are fetched until ctx is done. SetOrderer must be called
// before the first link. To stop the entry, cancel ctx before calling Wait: while
// the control group delays a model load to limit the load rate, the entry keeps
// asking for the order, and Wait would wait for that.
func (e *Entry) SetOrderer(ctx context.Context, o Orderer, lease time.Duration) {
	e.orderCtx = ctx
	e.orderer = o
	e.lease = lease
}

// SetOrders sets the targets that have an order waiting and none in flight. For
// each of them that is linked here, the entry fetches the order and sends it to the
// agent. All entries linked to the agent do so; they all get the same order, and
// the agent accepts it once.
func (e *Entry) SetOrders(ready []api.TargetID) {
	set := make(map[api.TargetID]bool, len(ready))
	for _, id := range ready {
		set[id] = true
	}
	e.ready.Store(&set)
	for _, id := range ready {
		if p := e.peers.get(id); p != nil {
			e.work.Go(func() { e.fetchOrder(e.orderCtx, p) })
		}
	}
}

// orderReady reports whether an order is waiting for the target.
func (e *Entry) orderReady(id api.TargetID) bool {
	set := e.ready.Load()
	return set != nil && (*set)[id]
}

// fetchOrder requests the waiting order for an agent and sends it on. It tries
// again after each refusal that comes with a RetryAfter, as when the control group
// limits the rate of model loads. The agent's clock reading is taken before the
// request, so that the lease ends earlier by the agent's clock than at the control
// group.
func (e *Entry) fetchOrder(ctx context.Context, p *peer) {
	for e.orderReady(p.target) && e.peers.get(p.target) == p && ctx.Err() == nil {
		echo := time.Duration(p.clock.Load())
		o, err := e.order(ctx, order.Command{Op: order.OpTake, Target: p.target, Incarnation: p.inc})
		if err == nil {
			_ = p.link.Send(&wire.Order{Order: o, Lease: e.lease, Echo: echo})
			return
		}
		wait := api.AsError(err).RetryAfter
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, maxOrderRetryDelay)):
		}
	}
}

func (e *Entry) order(ctx context.Context, cmd order.Command) (order.Order, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.orderer.Order(ctx, cmd)
}

// onOrderState forwards the state of an order to the control group. If that renews
// the lease, the entry sends the order to the agent again, with the clock reading
// from before the renewal was requested.
func (l *AgentLink) onOrderState(m *wire.OrderState) {
	p, e := l.agent, l.e
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
			_ = p.link.Send(&wire.Order{Order: o, Lease: e.lease, Echo: echo})
		}
	})
}
