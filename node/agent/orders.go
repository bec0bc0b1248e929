package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
	"almondseam.dev/node/wire"
)

// ordersPath is where a target takes orders.
const ordersPath = "/orders"

// renewals is how often an order's lease is renewed within its length.
const renewals = 3

// orders is the agent's part in the orders to its target: the gate, and the last
// order's state, which is told again when that order arrives again.
type orders struct {
	mu   sync.Mutex
	gate *order.Gate
	last wire.OrderState
}

// targetOrder is the body that targets take.
type targetOrder struct {
	Fence  api.Fence `json:"fence"`
	Action string    `json:"action"`
	Value  string    `json:"value"`
}

// onOrder passes an order on to the target unless the gate refuses it. Several
// entries may hand over the same order; the gate lets the first one through, and
// the others learn how it stands.
func (a *Agent) onOrder(from sender, m *wire.Order) {
	o := &a.orders
	o.mu.Lock()
	if o.last.Fence == m.Order.Fence && !o.last.Ended {
		// The same order again is a renewal, or another entry's copy.
		o.gate.RenewLease(m.Order.Fence, a.born.Add(m.Echo), m.Lease)
		o.mu.Unlock()
		return
	}
	err := o.gate.Begin(m.Order, a.born.Add(m.Echo), m.Lease)
	if err == nil {
		o.last = wire.OrderState{Fence: m.Order.Fence}
	}
	last := o.last
	o.mu.Unlock()
	if err == nil {
		a.work.Go(func() { a.carryOut(m.Order, m.Lease) })
		return
	}
	if last.Fence == m.Order.Fence {
		_ = from.Send(&last)
	}
}

// carryOut gives the order to the target, renews its lease while that takes,
// and tells every link how it ended. An order whose end gets lost with all links
// runs out by its lease.
func (a *Agent) carryOut(o order.Order, lease time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	a.work.Go(func() { ended <- a.sendOrder(ctx, o) })
	renew := time.NewTicker(lease / renewals)
	defer renew.Stop()
	for {
		select {
		case err := <-ended:
			a.endOrder(o, err)
			return
		case <-renew.C:
			a.tellAll(&wire.OrderState{Fence: o.Fence})
			if !a.mayGoOn(o.Fence) {
				cancel()
			}
		}
	}
}

func (a *Agent) mayGoOn(fence api.Fence) bool {
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	return a.orders.gate.MaySend(fence, a.cfg.Clock())
}

// sendOrder makes the call. The gate is asked right before the write.
func (a *Agent) sendOrder(ctx context.Context, o order.Order) error {
	body, err := json.Marshal(targetOrder{Fence: o.Fence, Action: targetAction(o.Spec.Action), Value: orderValue(o.Spec)})
	if err != nil {
		return err
	}
	if !a.mayGoOn(o.Fence) {
		return fmt.Errorf("the lease ran out before the order was sent")
	}
	answer, err := a.target.Call(ctx, Work{Request: api.RequestID(o.ID), Method: http.MethodPost, Path: ordersPath, Body: body})
	if err != nil {
		return err
	}
	defer answer.Close()
	if status, _ := answer.Head(); status >= http.StatusMultipleChoices {
		return fmt.Errorf("target answered with status %d", status)
	}
	return nil
}

// targetAction gives the target's own name of an action.
func targetAction(a order.Action) string {
	if a == order.ActionChangeRole {
		return "set_role"
	}
	return string(a)
}

func orderValue(s order.Spec) string {
	switch s.Action {
	case order.ActionLoadAdapter:
		return s.Adapter
	case order.ActionLoadVersion:
		return s.Version
	case order.ActionChangeRole:
		return s.Role
	}
	return string(s.Model)
}

func (a *Agent) endOrder(o order.Order, err error) {
	st := wire.OrderState{Fence: o.Fence, Ended: true}
	if err != nil {
		st.Failed, st.Message = true, err.Error()
	}
	a.orders.mu.Lock()
	a.orders.gate.End(o.Fence)
	a.orders.last = st
	a.orders.mu.Unlock()
	a.tellAll(&st)
}

func (a *Agent) tellAll(m wire.Message) {
	a.mu.Lock()
	links := a.linkList()
	a.mu.Unlock()
	for _, l := range links {
		_ = l.Send(m)
	}
}
