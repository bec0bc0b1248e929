package regroup

import (
	"time"

	"almondseam.dev/core/consensus"
)

// Decision is a change and what it goes by.
type Decision struct {
	Change consensus.Change
	Cause  Cause
	// Lost is the member that was lost, zero if the change goes by the number of voters, and SilentFor
	// the time for which this leader has known it to be silent.
	Lost      consensus.MemberID
	SilentFor time.Duration
}

// Cause is what a decision goes by.
type Cause string

// The causes.
const (
	// CauseNumber: the group has too few voters, or an even number, or two learners wait.
	CauseNumber Cause = "number_of_voters"
	// CauseSameAddress: another member runs at the address of the lost one.
	CauseSameAddress Cause = "same_address"
	// CauseJoinedAfter: the lost voter has not responded since a member was added.
	CauseJoinedAfter Cause = "joined_after"
	// CauseSilence: the lost member has been silent for longer than the limit.
	CauseSilence Cause = "silence"
)

func (p *Planner) decision(c consensus.Change, cause Cause, lost consensus.MemberID, now time.Time) *Decision {
	return &Decision{Change: c, Cause: cause, Lost: lost, SilentFor: p.silentFor(lost, now)}
}

func promotion(id consensus.MemberID) consensus.Change {
	return consensus.Change{Type: consensus.ChangePromote, ID: id}
}

func removal(id consensus.MemberID) consensus.Change {
	return consensus.Change{Type: consensus.ChangeRemove, ID: id}
}
