// Package order fences and paces the orders that targets are given: load a
// model, an adapter or a version, or change role.
//
// Table is the replicated half. An order's fence is its index in the replicated
// log, so a later order to a target has a larger one. Each target has at most
// one order in flight; the next is handed out once that one has ended or its
// lease has run out. Loads are paced over the whole fleet, because all of them
// read from one rate-limited weight store.
//
// Gate is the agent's half. It refuses what comes late, in the stead of a target
// that ignores the fence.
//
// Table is deterministic and, like Gate, not safe for concurrent use. Its times
// are milliseconds of the replicated clock.
package order

import (
	"time"

	"almondseam.dev/core/api"
)

// Action says what an order asks for.
type Action string

// The actions.
const (
	ActionLoadModel   Action = "load_model"
	ActionLoadAdapter Action = "load_adapter"
	ActionLoadVersion Action = "load_version"
	ActionChangeRole  Action = "change_role"
)

// valid tells whether a is one of the actions.
func (a Action) valid() bool {
	return a.loads() || a == ActionChangeRole
}

// loads tells whether carrying out a reads from the weight store.
func (a Action) loads() bool {
	return a == ActionLoadModel || a == ActionLoadAdapter || a == ActionLoadVersion
}

// Spec is what is ordered. Bytes is the size of what a load reads from the
// weight store; zero when unknown.
type Spec struct {
	Target  api.TargetID `cbor:"1,keyasint"`
	Action  Action       `cbor:"2,keyasint"`
	Model   api.ModelID  `cbor:"3,keyasint,omitempty"`
	Adapter string       `cbor:"4,keyasint,omitempty"`
	Version string       `cbor:"5,keyasint,omitempty"`
	Role    string       `cbor:"6,keyasint,omitempty"`
	Bytes   int64        `cbor:"7,keyasint,omitempty"`
}

// State is how far an order has come.
type State string

// The states.
const (
	StateQueued  State = "queued"
	StateIssued  State = "issued"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateExpired State = "expired"
)

// ended tells whether nothing more can come of an order in this state.
func (s State) ended() bool {
	return s == StateDone || s == StateFailed || s == StateExpired
}

// Order is one order. Incarnation is the agent's to which it was issued: an
// agent that restarted has forgotten its Gate, and refuses it by this.
type Order struct {
	ID          string          `cbor:"1,keyasint"`
	Fence       api.Fence       `cbor:"2,keyasint"`
	Spec        Spec            `cbor:"3,keyasint"`
	State       State           `cbor:"4,keyasint"`
	Incarnation api.Incarnation `cbor:"5,keyasint,omitempty"`
	// Lease is when the issued order's lease runs out.
	Lease   int64  `cbor:"6,keyasint,omitempty"`
	Ended   int64  `cbor:"7,keyasint,omitempty"`
	Author  string `cbor:"8,keyasint,omitempty"`
	Message string `cbor:"9,keyasint,omitempty"`
}

// Op says what a Command does.
type Op uint8

// The operations. Submit comes from operators, the others from agents.
const (
	// OpSubmit queues an order. The same ID again gives the same order.
	OpSubmit Op = iota + 1
	// OpTake hands the target's agent its next order, or the one in flight if
	// that was issued to the same incarnation.
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

// Limits bound the table and the loads. Every member must use the same ones.
type Limits struct {
	// Lease is how long an issued order may run without being renewed. Margin
	// covers clocks of different rate: the table waits for both, the agent
	// stops after Lease.
	Lease  time.Duration
	Margin time.Duration
	// MaxLoads bounds the loads in flight over the fleet, LoadBytesPerSecond
	// their rate; LoadBurst is what may be read at once after a pause.
	MaxLoads           int
	LoadBytesPerSecond int64
	LoadBurst          int64
	// MaxQueued bounds the orders waiting for one target, MaxEnded those
	// remembered after their end.
	MaxQueued int
	MaxEnded  int
}

// Pace is the part of Limits that the configuration sets. It travels in the
// replicated log beside the document it comes from, so that every member
// changes it at the same command, whatever else it makes of the document.
type Pace struct {
	MaxLoads           int   `cbor:"1,keyasint"`
	LoadBytesPerSecond int64 `cbor:"2,keyasint"`
}

// DefaultLimits suit a weight store of 2 GB/s.
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

// ForOperators tells whether only operators may give the command.
func (c Command) ForOperators() bool { return c.Op == OpSubmit }
