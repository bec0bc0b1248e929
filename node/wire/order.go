package wire

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
)

// The kinds of orders.
const (
	KindOrder Kind = iota + 41
	KindOrderState
)

// Order hands an agent the order that was issued to its incarnation. Echo is a
// reading of the agent's own clock from before the order was asked for; Lease
// counts from there.
type Order struct {
	Order order.Order   `cbor:"1,keyasint"`
	Lease time.Duration `cbor:"2,keyasint"`
	Echo  time.Duration `cbor:"3,keyasint"`
}

// OrderState tells how the order with the fence stands: running, which renews
// its lease, or ended.
type OrderState struct {
	Fence   api.Fence `cbor:"1,keyasint"`
	Ended   bool      `cbor:"2,keyasint,omitempty"`
	Failed  bool      `cbor:"3,keyasint,omitempty"`
	Message string    `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*Order) Kind() Kind { return KindOrder }

// Kind implements Message.
func (*OrderState) Kind() Kind { return KindOrderState }
