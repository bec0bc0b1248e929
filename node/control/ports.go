// Package control is the control role: one member of the replicated group that
// holds the fleet's configuration, claims and orders. It drives the agreement of
// core/consensus with a disk, links and a clock, serves entries over links and
// operators over HTTP, and gives entries a Client.
package control

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/order"
)

// Storage is a member's data folder. It is used from one goroutine. An error of
// any method but Load ends the member: what a failed write or sync has left on
// the disk is not known, and answering from memory would promise what a crash
// takes back.
type Storage interface {
	// Save appends entries, replacing what is stored from the first one's index
	// on, and stores hs when it isn't nil. With sync it returns only once all of
	// it would survive a crash.
	Save(hs *consensus.HardState, entries []consensus.Entry, sync bool) error
	// SaveSnapshot stores a snapshot durably and may drop the entries up to its
	// index.
	SaveSnapshot(s consensus.Snapshot) error
}

// Transport carries the agreement's messages to other members. Send doesn't
// block; a message may be lost, repeated or overtaken by others.
type Transport interface {
	Send(m consensus.Message)
	// Members tells the addresses of the group whenever they change.
	Members(m consensus.Membership)
}

// Validator checks a document before it is proposed. Safe for concurrent use.
type Validator func(document []byte) error

// Pacer gives the pace of loads that a valid document sets, nil for none. Safe
// for concurrent use.
type Pacer func(document []byte) *order.Pace

// Observer hears what a member does, for metrics and events. Its methods are
// called from several goroutines and must not block.
type Observer interface {
	// Saved tells how long one save took and how many entries it held.
	Saved(entries int, sync bool, took time.Duration)
	// Applied tells of applied commands.
	Applied(n int)
	// Refused counts a refused request by reason.
	Refused(reason api.Reason)
	// LeaderChanged tells who leads, zero for nobody.
	LeaderChanged(leader consensus.MemberID, term uint64)
	// Snapshotted tells of a snapshot taken or received.
	Snapshotted(index uint64, bytes int, received bool)
	// InboxFull counts a peer's message that was dropped for want of room.
	InboxFull()
	// Mended tells of a membership change that the leader made by itself, or of
	// why the agreement refused it.
	Mended(c consensus.Change, err error)
	// Failed tells why the member stopped.
	Failed(err error)
}

type noObserver struct{}

func (noObserver) Saved(int, bool, time.Duration)           {}
func (noObserver) Applied(int)                              {}
func (noObserver) Refused(api.Reason)                       {}
func (noObserver) LeaderChanged(consensus.MemberID, uint64) {}
func (noObserver) Snapshotted(uint64, int, bool)            {}
func (noObserver) InboxFull()                               {}
func (noObserver) Mended(consensus.Change, error)           {}
func (noObserver) Failed(error)                             {}
