package control

import (
	"time"

	"almondseam.dev/core/consensus"
	"almondseam.dev/core/order"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
)

// Options configures a Member.
type Options struct {
	ID       consensus.MemberID
	Restored consensus.Restored
	// Consensus configures the consensus node. Rand is required; ID is set from the
	// ID above.
	Consensus consensus.Config
	Limits    state.Limits
	Storage   Storage
	Transport Transport
	// Tick is the interval at which the consensus node's clock advances.
	Tick     time.Duration
	Validate Validator
	// Pace returns the load pace that a valid document sets.
	Pace     Pacer
	Observer Observer
	// SnapshotEntries is the number of applied entries after which a snapshot is taken.
	SnapshotEntries uint64
	// ManageMembers makes the leader promote new members and remove lost ones
	// automatically (core/regroup). Without it an operator does so.
	ManageMembers bool
	// Retries limits the retries that the group grants; the zero value grants none.
	Retries retrybudget.Limits
}

// withDefaults replaces values that are not set.
func (opt Options) withDefaults() Options {
	if opt.Tick == 0 {
		opt.Tick = DefaultTick
	}
	if opt.Observer == nil {
		opt.Observer = noObserver{}
	}
	if opt.Validate == nil {
		opt.Validate = func([]byte) error { return nil }
	}
	if opt.Pace == nil {
		opt.Pace = func([]byte) *order.Pace { return nil }
	}
	if opt.SnapshotEntries == 0 {
		opt.SnapshotEntries = snapshotEntries
	}
	return opt
}
