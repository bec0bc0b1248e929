package control

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/regroup"
)

// delayedChange is a membership change that is proposed at tick due.
type delayedChange struct {
	call *call
	due  int
}

// scheduleChange proposes a membership change. A leader delays promotions and
// removals.
//
// A member that has just crashed counts as active for an election timeout. After a delay of
// the same length, the check for a remaining majority counts only members that have responded
// since the change was requested.
func (m *Member) scheduleChange(c *call) {
	if c.req.Change.Type == consensus.ChangeAddLearner || m.role != consensus.RoleLeader {
		m.startChange(c)
		return
	}
	m.delayedChanges = append(m.delayedChanges, delayedChange{c, m.ticks + m.electionTicks() + 1})
}

func (m *Member) electionTicks() int {
	if n := m.opt.Consensus.ElectionTicks; n > 0 {
		return n
	}
	return consensus.DefaultElectionTicks
}

func (m *Member) startDueChanges() {
	for len(m.delayedChanges) > 0 && m.delayedChanges[0].due <= m.ticks {
		c := m.delayedChanges[0].call
		m.delayedChanges = m.delayedChanges[1:]
		m.startChange(c)
	}
}

func (m *Member) startChange(c *call) {
	ch := c.req.Change
	err := m.node.ProposeChange(consensus.Change{Type: ch.Type, ID: ch.ID, Addr: ch.Addr})
	if err != nil {
		c.answer(m.errorReply(c.req, err))
		return
	}
	m.uncommittedChanges = append(m.uncommittedChanges, c)
}

// answerChanges answers a membership change once it is committed. There is at
// most one, because a second is rejected while the first is uncommitted.
func (m *Member) answerChanges() {
	if len(m.uncommittedChanges) == 0 || m.node.Status().ChangePending {
		return
	}
	for _, c := range m.uncommittedChanges {
		c.answer(&Reply{Outcome: api.OutcomeCompleted})
	}
	m.uncommittedChanges = nil
}

// proposeMembershipChange proposes the membership change that is due, if any. A
// rejected change needs no handling, because the next check plans again. The
// consensus node rejects changes that would leave no active majority.
func (m *Member) proposeMembershipChange() {
	if m.planner == nil {
		m.planner = regroup.NewPlanner(regroup.DefaultLimits())
	}
	st := m.node.Status()
	decision := m.planner.Plan(&st, time.Now())
	if decision == nil {
		return
	}
	err := m.node.ProposeChange(decision.Change)
	m.opt.Observer.MembershipChangeProposed(*decision, err)
}
