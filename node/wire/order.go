package wire

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
)

// Kinds of the messages about orders.
const (
	KindOrder Kind = iota + 41
	KindOrderState
)

// Order sends an agent the order that was issued to its incarnation, or renews the
// lease of that order. Echo is a reading of the agent's own monotonic clock that the
// entry received before it requested the order or the renewal from the control group.
// Lease is measured from Echo, so that it ends at the agent no later than at the
// control group.
type Order struct {
	Order order.Order   `cbor:"1,keyasint"`
	Lease time.Duration `cbor:"2,keyasint"`
	Echo  time.Duration `cbor:"3,keyasint"`
}

// OrderState reports the state of the order with the given Fence. While Ended is
// false, the order is running and the report requests a renewal of its lease.
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
