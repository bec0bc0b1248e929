// Package order fences and rate-limits orders to targets. An order asks a target
// to load a model, an adapter or a version, or to change its role.
//
// Table is the replicated part. An order's fence is its index in the replicated
// log, so a later order to a target has a larger fence. Each target has at most
// one order in flight; the next is issued when that order has ended or its lease
// has expired. Loads are rate-limited over the whole fleet, because all of them
// read from one rate-limited weight store.
//
// Gate is the agent's part. It rejects late orders on behalf of a target that
// ignores fences.
//
// Table is deterministic and, like Gate, not safe for concurrent use. Its times
// are milliseconds of the replicated clock.
package order

import (
	"time"

	"almondseam.dev/core/api"
)

// Action is what an order asks its target to do.
type Action string

// The actions.
const (
	ActionLoadModel   Action = "load_model"
	ActionLoadAdapter Action = "load_adapter"
	ActionLoadVersion Action = "load_version"
	ActionChangeRole  Action = "change_role"
)

// valid reports whether a is one of the actions.
func (a Action) valid() bool {
	return a.loads() || a == ActionChangeRole
}

// loads reports whether the action reads from the weight store.
func (a Action) loads() bool {
	return a == ActionLoadModel || a == ActionLoadAdapter || a == ActionLoadVersion
}

// Spec is the content of an order. Bytes is the number of bytes that a load reads
// from the weight store, zero if unknown.
type Spec struct {
	Target  api.TargetID `cbor:"1,keyasint"`
	Action  Action       `cbor:"2,keyasint"`
	Model   api.ModelID  `cbor:"3,keyasint,omitempty"`
	Adapter string       `cbor:"4,keyasint,omitempty"`
	Version string       `cbor:"5,keyasint,omitempty"`
	Role    string       `cbor:"6,keyasint,omitempty"`
	Bytes   int64        `cbor:"7,keyasint,omitempty"`
}

// State is the state of an order.
type State string

// The states.
const (
	StateQueued  State = "queued"
	StateIssued  State = "issued"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateExpired State = "expired"
)

// ended reports whether s is a final state.
func (s State) ended() bool {
	return s == StateDone || s == StateFailed || s == StateExpired
}

// Order is one order. Incarnation is the incarnation of the agent to which it was
// issued. A restarted agent has lost the state of its Gate and rejects an order
// for an earlier incarnation by this field.
type Order struct {
	ID          string          `cbor:"1,keyasint"`
	Fence       api.Fence       `cbor:"2,keyasint"`
	Spec        Spec            `cbor:"3,keyasint"`
	State       State           `cbor:"4,keyasint"`
	Incarnation api.Incarnation `cbor:"5,keyasint,omitempty"`
	// Lease is when the lease of the issued order expires.
	Lease   int64  `cbor:"6,keyasint,omitempty"`
	Ended   int64  `cbor:"7,keyasint,omitempty"`
	Author  string `cbor:"8,keyasint,omitempty"`
	Message string `cbor:"9,keyasint,omitempty"`
}

// Op is the operation of a Command.
type Op uint8

// The operations. Submit comes from operators, the others from agents.
const (
	// OpSubmit queues an order. Submitting an ID again returns the existing order.
	OpSubmit Op = iota + 1
	// OpTake issues the next order to the target's agent. If one is in flight and
	// was issued to the same incarnation, it returns that order.
	OpTake
	// OpRenew extends the lease of the order in flight.
	OpRenew
	// OpFinish ends the order in flight.
	OpFinish
)

// Command is one operation on the table.
type Command struct {
	Op          Op              `cbor:"1,keyasint"`
	ID          string          `cbor:"2,keyasint,omitempty"`
	Author      string          `cbor:"3,keyasint,omitempty"`
	Spec        Spec            `cbor:"4,keyasint,omitempty"`
	Target      api.TargetID    `cbor:"5,keyasint,omitempty"`
	Incarnation api.Incarnation `cbor:"6,keyasint,omitempty"`
	Fence       api.Fence       `cbor:"7,keyasint,omitempty"`
	Failed      bool            `cbor:"8,keyasint,omitempty"`
	Message     string          `cbor:"9,keyasint,omitempty"`
}

// Limits bounds the table and the loads. Every member must use the same limits.
type Limits struct {
	// Lease is how long an issued order may run without a renewal. Margin covers
	// clocks that run at different rates: the table waits for Lease and Margin,
	// while the agent stops after Lease.
	Lease  time.Duration
	Margin time.Duration
	// MaxLoads bounds the loads in flight in the fleet, LoadBytesPerSecond their
	// total rate. LoadBurst is the capacity of the token bucket in bytes.
	MaxLoads           int
	LoadBytesPerSecond int64
	LoadBurst          int64
	// MaxQueued bounds the orders queued for one target, MaxEnded the ended orders
	// that are kept.
	MaxQueued int
	MaxEnded  int
}

// Pace is the part of Limits that the configuration sets. It is stored in the
// replicated log beside the document that sets it, so that every member changes
// it at the same command, even if members parse the document differently.
type Pace struct {
	MaxLoads           int   `cbor:"1,keyasint"`
	LoadBytesPerSecond int64 `cbor:"2,keyasint"`
}

// DefaultLimits returns limits for a weight store of 2 GiB/s.
func DefaultLimits() Limits {
	return Limits{
		Lease:              30 * time.Second,
		Margin:             3 * time.Second,
		MaxLoads:           16,
		LoadBytesPerSecond: 2 << 30,
		LoadBurst:          64 << 30,
		MaxQueued:          16,
		MaxEnded:           2048,
	}
}

// ForOperators reports whether only operators may issue the command.
func (c Command) ForOperators() bool { return c.Op == OpSubmit }
