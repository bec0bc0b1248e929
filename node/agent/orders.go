package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
	"almondseam.dev/node/wire"
)

// ordersPath is the path at a target to which orders are posted.
const ordersPath = "/orders"

// renewalsPerLease is how many times an order's lease is renewed within its
// length.
const renewalsPerLease = 3

// orders is the state of the orders to the target: the gate, and the state of the
// last order, which is sent again when that order arrives again after its end.
type orders struct {
	mu   sync.Mutex
	gate *order.Gate
	last wire.OrderState
	id   string // of the last order; a fence alone may also come from a group founded anew
	// cancel cancels the call of the last order, and sent is closed once that call
	// has returned. They are nil before the first order.
	cancel context.CancelFunc
	sent   chan struct{}
}

// runningOrder is an order that the gate has admitted.
type runningOrder struct {
	order.Order
	lease  time.Duration
	ctx    context.Context
	cancel context.CancelFunc
	sent   chan struct{}
	// before is closed once the call of the order before has returned; nil if there
	// was none.
	before <-chan struct{}
}

// start makes an admitted order the last one and cancels the call of the one
// before, whose lease has run out if that call is still open. o.mu must be held.
func (o *orders) start(m *wire.Order) *runningOrder {
	r := &runningOrder{Order: m.Order, lease: m.Lease, sent: make(chan struct{}), before: o.sent}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if o.cancel != nil {
		o.cancel()
	}
	o.last, o.id = wire.OrderState{Fence: r.Fence}, r.ID
	o.cancel, o.sent = r.cancel, r.sent
	return r
}

// targetOrder is the body of an order as targets accept it.
type targetOrder struct {
	Fence  api.Fence `json:"fence"`
	Action string    `json:"action"`
	Value  string    `json:"value"`
}

// onOrder executes an order unless the gate rejects it. Several entries may
// deliver the same order. The gate admits the first copy; a copy that arrives
// after the end of the order is answered with its final state.
func (a *Agent) onOrder(from sender, m *wire.Order) {
	o := &a.orders
	o.mu.Lock()
	again := o.last.Fence == m.Order.Fence && o.id == m.Order.ID
	if again && !o.last.Ended {
		// The same order arrived again: it renews the lease or is another entry's
		// copy.
		o.gate.RenewLease(m.Order.Fence, a.startedAt.Add(m.Echo), m.Lease)
		o.mu.Unlock()
		return
	}
	if o.gate.Begin(m.Order, a.startedAt.Add(m.Echo), m.Lease) == nil {
		r := o.start(m)
		o.mu.Unlock()
		a.tasks.Go(func() { a.executeOrder(r) })
		return
	}
	last := o.last
	o.mu.Unlock()
	if again {
		_ = from.Send(&last)
	}
}

// executeOrder sends the order to the target and then reports its result on every
// link. While the call is in progress, it sends the order state at intervals so
// that the lease is renewed, and cancels the call once the lease has expired. If
// the result is lost with all links, the order ends when its lease expires.
func (a *Agent) executeOrder(o *runningOrder) {
	defer o.cancel()
	ended := make(chan error, 1)
	a.tasks.Go(func() {
		defer close(o.sent)
		ended <- a.sendOrder(o)
	})
	renew := time.NewTicker(o.lease / renewalsPerLease)
	defer renew.Stop()
	for {
		select {
		case err := <-ended:
			a.endOrder(o.Fence, err)
			return
		case <-renew.C:
			a.broadcast(&wire.OrderState{Fence: o.Fence})
			if !a.maySend(o.Fence) {
				o.cancel()
			}
		}
	}
}

// maySend reports whether the order with this fence is still running and its lease
// is valid.
func (a *Agent) maySend(fence api.Fence) bool {
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	return a.orders.gate.MaySend(fence, a.cfg.Clock())
}

// sendOrder calls the target once the call of the order before has returned. It
// checks the gate immediately before the call.
func (a *Agent) sendOrder(o *runningOrder) error {
	body, err := json.Marshal(targetOrder{Fence: o.Fence, Action: targetAction(o.Spec.Action), Value: orderValue(o.Spec)})
	if err != nil {
		return err
	}
	if o.before != nil {
		<-o.before
	}
	if !a.maySend(o.Fence) {
		return fmt.Errorf("the lease ran out before the order was sent")
	}
	answer, err := a.target.Call(o.ctx, Work{Request: api.RequestID(o.ID), Method: http.MethodPost, Path: ordersPath, Body: body})
	if err != nil {
		return err
	}
	defer answer.Close()
	if status, _ := answer.Head(); status >= http.StatusMultipleChoices {
		return fmt.Errorf("target answered with status %d", status)
	}
	stop := context.AfterFunc(o.ctx, answer.Close)
	defer stop()
	return readToEnd(answer)
}

// maxOrderAnswer bounds a target's answer to an order, in bytes.
const maxOrderAnswer = 1 << 20

// readToEnd returns an error unless the target sends its whole answer: it may send the status before it has
// executed the order.
func readToEnd(answer Answer) error {
	for n := 0; n <= maxOrderAnswer; {
		item, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		n += len(item)
	}
	return errors.New("target's answer is too long")
}

// targetAction returns the target's own name of an action.
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

func (a *Agent) endOrder(fence api.Fence, err error) {
	st := wire.OrderState{Fence: fence, Ended: true}
	if err != nil {
		st.Failed, st.Message = true, err.Error()
	}
	a.orders.mu.Lock()
	a.orders.gate.End(fence)
	if a.orders.last.Fence == fence {
		a.orders.last = st
	}
	a.orders.mu.Unlock()
	a.broadcast(&st)
}

func (a *Agent) broadcast(m wire.Message) {
	a.mu.Lock()
	links := a.linkList()
	a.mu.Unlock()
	for _, l := range links {
		_ = l.Send(m)
	}
}
