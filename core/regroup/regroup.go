// Package regroup decides which membership changes a control group makes without an
// operator: when a new member gets a vote and when a lost member is removed. It does
// no I/O; the leader calls Plan at an interval and makes one change at a time.
package regroup

import (
	"slices"
	"time"

	"almondseam.dev/core/consensus"
)

// Limits holds the thresholds of the decisions.
type Limits struct {
	// Silence is how long a voter must have been silent before a learner that was there
	// already gets a vote in its place, and before it may be removed because the number
	// of voters is even. Neither waits for it if the voter is known to be replaced.
	Silence time.Duration
	// LearnerSilence is how long a learner, a member without a vote, must have been
	// silent before it is removed.
	LearnerSilence time.Duration
	// MaxLag is how many log entries a learner may be behind the leader when it gets
	// its vote.
	MaxLag uint64
}

// DefaultLimits returns the limits that control members use. A frozen process
// resumes within seconds, and removing it only makes it join again, so Silence needs
// to be no longer than a few elections. A silent learner costs the group no vote, so
// it is given more time.
func DefaultLimits() Limits {
	return Limits{Silence: 3 * time.Second, LearnerSilence: 20 * time.Second, MaxLag: 32}
}

// minVoters is the size of the smallest group that tolerates the loss of a member.
// A voter without a successor at its address is removed only if at least this many remain.
const minVoters = 3

// Planner decides on the changes and records since when each member has been
// silent. It serves one leader for as long as that member leads the group. It is
// not safe for concurrent use.
type Planner struct {
	limits      Limits
	silentSince map[consensus.MemberID]time.Time
}

// NewPlanner returns a planner for a new leader.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, silentSince: make(map[consensus.MemberID]time.Time)}
}

// Plan returns the one change to make now, or nil for none. st is the status of the
// leader.
//
// The removal of a voter that was replaced comes first: while it counts, the group tolerates one loss
// less, whatever votes are given meanwhile.
func (p *Planner) Plan(st *consensus.Status, now time.Time) *Decision {
	if st.Role != consensus.RoleLeader || st.ChangePending {
		return nil
	}
	p.observe(st, now)
	for _, plan := range []func(*consensus.Status, time.Time) *Decision{p.removeReplaced, p.promote, p.removeSilent} {
		if d := plan(st, now); d != nil {
			return d
		}
	}
	return nil
}

func (p *Planner) observe(st *consensus.Status, now time.Time) {
	for _, m := range st.Members {
		if m.Active {
			delete(p.silentSince, m.ID)
		} else if _, known := p.silentSince[m.ID]; !known {
			p.silentSince[m.ID] = now
		}
	}
}

// promote returns the promotion of a learner that is due, or nil if there is none.
//
// An even number of voters tolerates no more losses than the odd number below it, and if it is
// split into halves neither has a majority. While no voter is lost, learners therefore get
// their votes in pairs, and the last one of an even number of members stays a learner.
func (p *Planner) promote(st *consensus.Status, now time.Time) *Decision {
	var ready []consensus.Progress
	for _, m := range st.Members {
		if !m.Voter && p.ready(m) {
			ready = append(ready, m)
		}
	}
	for _, m := range ready {
		if d := p.successor(st, m, now); d != nil {
			return d
		}
	}
	voters := len(st.Membership.Voters)
	if len(ready) > 0 && (voters < minVoters || voters%2 == 0 || len(ready) > 1) {
		return &Decision{Change: promotion(ready[0].ID), Cause: CauseNumber}
	}
	return nil
}

// ready reports whether a member has responded to this leader and has nearly all of its log. A
// member that was only just added counts as active for a moment without having responded.
func (p *Planner) ready(m consensus.Progress) bool {
	return m.Active && m.Match > 0 && !m.SendingSnapshot && m.Lag <= p.limits.MaxLag
}

// successor returns the promotion of a learner in the place of a silent voter: one at its address, one
// that has not responded since the learner was added, or one that has been silent for longer than a
// restart takes.
//
// A machine that is added while a voter is silent was most likely added because the voter is gone. A
// learner that was there before says nothing about the voter, which may only restart.
func (p *Planner) successor(st *consensus.Status, learner consensus.Progress, now time.Time) *Decision {
	for _, m := range st.Members {
		if !m.Voter || m.Active {
			continue
		}
		cause := Cause("")
		switch silent := p.silentFor(m.ID, now); {
		case m.Addr == learner.Addr:
			cause = CauseSameAddress
		case slices.Contains(learner.Absent, m.ID):
			cause = CauseJoinedAfter
		case silent > p.limits.Silence:
			cause = CauseSilence
		default:
			continue
		}
		return p.decision(promotion(learner.ID), cause, m.ID, now)
	}
	return nil
}

// removeReplaced returns the removal of a silent voter that a successor has made up for, or nil if
// there is none. At the address of a successor with a vote a machine runs whose data directory is
// new; the voter's is gone. A member that was added while the voter was silent makes up for it if
// enough voters remain.
//
// Each silent voter must have a successor, so a partition never shrinks a group.
func (p *Planner) removeReplaced(st *consensus.Status, now time.Time) *Decision {
	silent := silentVoters(st)
	for _, lost := range silent {
		atAddress, after := p.successors(st, lost)
		switch {
		case atAddress >= len(silent):
			return p.decision(removal(lost.ID), CauseSameAddress, lost.ID, now)
		case after >= len(silent) && len(st.Membership.Voters) > minVoters:
			return p.decision(removal(lost.ID), CauseJoinedAfter, lost.ID, now)
		}
	}
	return nil
}

// successors returns how many voters respond at the address of a lost voter, and how many members
// that are ready were added while it was silent.
func (p *Planner) successors(st *consensus.Status, lost consensus.Progress) (atAddress, after int) {
	for _, m := range st.Members {
		if m.Voter && m.Active && m.Addr == lost.Addr {
			atAddress++
		}
		if p.ready(m) && slices.Contains(m.Absent, lost.ID) {
			after++
		}
	}
	return atAddress, after
}

// removeSilent returns the removal of a learner that has been silent for too long, or of a voter that
// has been silent for longer than a restart takes and makes the number of voters even; nil if there is
// none. All other voters must be active, so a partition never shrinks a group.
func (p *Planner) removeSilent(st *consensus.Status, now time.Time) *Decision {
	for _, m := range st.Members {
		if !m.Voter && p.silentFor(m.ID, now) > p.limits.LearnerSilence {
			return p.decision(removal(m.ID), CauseSilence, m.ID, now)
		}
	}
	voters, silent := len(st.Membership.Voters), silentVoters(st)
	if len(silent) != 1 || voters <= minVoters || voters%2 != 0 {
		return nil
	}
	if lost := silent[0].ID; p.silentFor(lost, now) > p.limits.Silence {
		return p.decision(removal(lost), CauseSilence, lost, now)
	}
	return nil
}

func silentVoters(st *consensus.Status) (out []consensus.Progress) {
	for _, m := range st.Members {
		if m.Voter && !m.Active {
			out = append(out, m)
		}
	}
	return out
}

func (p *Planner) silentFor(id consensus.MemberID, now time.Time) time.Duration {
	since, ok := p.silentSince[id]
	if !ok {
		return 0
	}
	return now.Sub(since)
}
