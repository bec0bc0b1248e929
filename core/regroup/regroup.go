// Package regroup decides how a control group mends itself without an operator:
// when a new member is given a vote and when a lost one is removed. It is pure;
// the leader asks it at an interval and carries out one change at a time.
package regroup

import (
	"time"

	"almondseam.dev/core/consensus"
)

// Limits of the decisions.
type Limits struct {
	// Silence is how long a voter must have been silent before it may be taken
	// for lost.
	Silence time.Duration
	// LearnerSilence is the same for a member without a vote.
	LearnerSilence time.Duration
	// MaxLag is how many entries a learner may lack when it gets its vote.
	MaxLag uint64
}

// DefaultLimits: a frozen process wakes again within seconds, and removing it
// only makes it join once more, so Silence needs to be no longer than a few
// elections. A learner costs nobody a vote and may take its time.
func DefaultLimits() Limits {
	return Limits{Silence: 3 * time.Second, LearnerSilence: 20 * time.Second, MaxLag: 32}
}

// Planner remembers since when each member has been silent. It belongs to one
// leader's office. Not safe for concurrent use.
type Planner struct {
	limits Limits
	silent map[consensus.MemberID]time.Time
}

// NewPlanner begins an office.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, silent: make(map[consensus.MemberID]time.Time)}
}

// Plan gives the one change to make now, nil for none. st is the leader's status.
func (k *Planner) Plan(st *consensus.Status, now time.Time) *consensus.Change {
	if st.Role != consensus.RoleLeader || st.ChangePending {
		return nil
	}
	k.observe(st, now)
	if c := k.promote(st); c != nil {
		return c
	}
	return k.remove(st, now)
}

func (k *Planner) observe(st *consensus.Status, now time.Time) {
	for _, p := range st.Members {
		if p.Active {
			delete(k.silent, p.ID)
		} else if _, known := k.silent[p.ID]; !known {
			k.silent[p.ID] = now
		}
	}
}

func (k *Planner) promote(st *consensus.Status) *consensus.Change {
	for _, p := range st.Members {
		if !p.Voter && p.Active && !p.SendingSnapshot && p.Lag <= k.limits.MaxLag {
			return &consensus.Change{Type: consensus.ChangePromote, ID: p.ID}
		}
	}
	return nil
}

// remove finds a member that is lost.
//
// A voter that never answers again brings the group one loss closer to a standstill. It is
// removed only when that leaves no fewer voters than its replacement made up for: when another
// active voter has its address, or when the number of voters is even. The others must all
// answer, so a partition never shrinks a group.
func (k *Planner) remove(st *consensus.Status, now time.Time) *consensus.Change {
	for _, p := range st.Members {
		if !p.Voter && k.silentFor(p.ID, now) > k.limits.LearnerSilence {
			return removal(p.ID)
		}
	}
	lost, silent := consensus.Progress{}, 0
	for _, p := range st.Members {
		if p.Voter && !p.Active {
			silent++
			lost = p
		}
	}
	if silent != 1 {
		return nil
	}
	if k.replaced(st, lost) {
		return removal(lost.ID)
	}
	voters := len(st.Membership.Voters)
	if voters > minVoters && voters%2 == 0 && k.silentFor(lost.ID, now) > k.limits.Silence {
		return removal(lost.ID)
	}
	return nil
}

// minVoters is the smallest group that bears the loss of a member; none is
// removed that would leave fewer.
const minVoters = 3

// replaced tells whether an active voter has the lost one's address: its folder
// was lost, for the machine runs again under another identity.
func (k *Planner) replaced(st *consensus.Status, lost consensus.Progress) bool {
	for _, p := range st.Members {
		if p.Voter && p.Active && p.ID != lost.ID && p.Addr == lost.Addr {
			return true
		}
	}
	return false
}

func (k *Planner) silentFor(id consensus.MemberID, now time.Time) time.Duration {
	since, ok := k.silent[id]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

func removal(id consensus.MemberID) *consensus.Change {
	return &consensus.Change{Type: consensus.ChangeRemove, ID: id}
}
