// Package control implements the control role: one member of the replicated group
// that holds the fleet's configuration, claims and orders. It runs a core/consensus
// node with storage, links and a clock, and serves entries over links and operators
// over HTTP. Entries, which are the instances that accept requests from callers, use
// Client to reach the group. Agents run beside the targets and keep links to entries.
package control

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/order"
	"almondseam.dev/core/regroup"
	"almondseam.dev/core/state"
)

// Storage stores a member's Raft state in its data directory. It is used from one
// goroutine. An error of either method stops the member: after a failed write or sync
// the content of the disk is unknown, and a member that answered from memory would
// confirm data that a crash could lose.
type Storage interface {
	// Save appends entries, replacing stored entries from the index of the first
	// one on, and stores hs if it is not nil. With sync it returns only once all of
	// this would survive a crash.
	Save(hs *consensus.HardState, entries []consensus.Entry, sync bool) error
	// SaveSnapshot stores a snapshot durably and may drop the entries up to and
	// including its index.
	SaveSnapshot(s consensus.Snapshot) error
}

// Transport sends consensus messages to other members. Send doesn't block; messages
// may be lost, duplicated or reordered.
type Transport interface {
	Send(m consensus.Message)
	// Members sets the members of the group and their addresses. It is called
	// whenever they change.
	Members(m consensus.Membership)
}

// Validator checks a configuration document before it is proposed. It must be safe
// for concurrent use.
type Validator func(document []byte) error

// Pacer returns the load pace that a valid configuration document sets, or nil if it
// sets none. It must be safe for concurrent use.
type Pacer func(document []byte) *order.Pace

// Observer receives events of a member for metrics and logs. Its methods are called
// from several goroutines and must not block.
type Observer interface {
	// Saved reports the duration of a save, its number of entries and whether it was
	// synced.
	Saved(entries int, sync bool, took time.Duration)
	// Applied reports n applied log entries.
	Applied(n int)
	// ConfigApplied reports the configuration that is the newest in this member's state from
	// now on.
	ConfigApplied(c state.Config)
	// Refused counts a refused request by reason.
	Refused(reason api.Reason)
	// LeaderChanged reports the leader, zero for none, and the term. It is called when
	// the leader, the term or this member's role has changed.
	LeaderChanged(leader consensus.MemberID, term uint64)
	// Snapshotted reports a snapshot that was taken here or received from the leader.
	Snapshotted(index uint64, bytes int, received bool)
	// InboxFull counts a peer's message that was dropped because the inbox was full.
	InboxFull()
	// MembershipChangeProposed reports a membership change that the leader has
	// proposed without an operator. err is not nil if the consensus node rejected it.
	MembershipChangeProposed(d regroup.Decision, err error)
	// Failed reports the error that stopped the member.
	Failed(err error)
}

type noObserver struct{}

func (noObserver) Saved(int, bool, time.Duration)                   {}
func (noObserver) Applied(int)                                      {}
func (noObserver) ConfigApplied(state.Config)                       {}
func (noObserver) Refused(api.Reason)                               {}
func (noObserver) LeaderChanged(consensus.MemberID, uint64)         {}
func (noObserver) Snapshotted(uint64, int, bool)                    {}
func (noObserver) InboxFull()                                       {}
func (noObserver) MembershipChangeProposed(regroup.Decision, error) {}
func (noObserver) Failed(error)                                     {}
