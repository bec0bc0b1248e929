package regroup

import (
	"testing"
	"time"

	"almondseam.dev/core/consensus"
	qt "github.com/frankban/quicktest"
)

func voter(id consensus.MemberID, addr string, active bool) consensus.Progress {
	return consensus.Progress{ID: id, Addr: addr, Voter: true, Active: active, Match: 1}
}

// added returns a member that responds, and whose addition the given voters have not responded to.
func added(id consensus.MemberID, addr string, votes bool, absent ...consensus.MemberID) consensus.Progress {
	m := voter(id, addr, true)
	m.Voter, m.Absent = votes, absent
	return m
}

func withLag(m consensus.Progress) consensus.Progress {
	m.Lag = 500
	return m
}

func silent(m consensus.Progress) consensus.Progress {
	m.Active = false
	return m
}

func changeOf(d *Decision) *consensus.Change {
	if d == nil {
		return nil
	}
	return &d.Change
}

func status(members ...consensus.Progress) *consensus.Status {
	st := &consensus.Status{Role: consensus.RoleLeader, Members: members}
	for _, p := range members {
		m := consensus.Member{ID: p.ID, Addr: p.Addr}
		if p.Voter {
			st.Membership.Voters = append(st.Membership.Voters, m)
		} else {
			st.Membership.Learners = append(st.Membership.Learners, m)
		}
	}
	return st
}

// A group must remove a lost voter once its machine has come back with an empty disk
// or another machine has taken its place. It must stay unchanged while a member is
// merely silent: a partition or a frozen process must not cost a vote.
func TestPlan(t *testing.T) {
	learner := added(9, "d", false)
	lagging := withLag(added(9, "d", false))
	mute := added(9, "d", false, 3)
	mute.Match = 0
	for _, tt := range []struct {
		name   string
		st     *consensus.Status
		silent time.Duration
		want   *consensus.Change
	}{
		{"all members active", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true)), time.Minute, nil},
		{"a learner that has caught up gets the vote of a lost member", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), learner), 4 * time.Second,
			&consensus.Change{Type: consensus.ChangePromote, ID: 9}},
		{"a member that restarts is not replaced", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), learner), time.Second, nil},
		{"a learner at the address of a silent voter gets its vote at once", status(voter(1, "a", true), voter(2, "b", true), voter(3, "d", false), learner), 0,
			&consensus.Change{Type: consensus.ChangePromote, ID: 9}},
		{"a fourth member stays a learner", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), learner), time.Hour, nil},
		{"a third member gets its vote", status(voter(1, "a", true), voter(2, "b", true), learner), 0,
			&consensus.Change{Type: consensus.ChangePromote, ID: 9}},
		{"two learners get their votes together", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), learner, added(8, "e", false)), 0,
			&consensus.Change{Type: consensus.ChangePromote, ID: 9}},
		{"the second one of a pair", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), voter(8, "e", true), learner), 0,
			&consensus.Change{Type: consensus.ChangePromote, ID: 9}},
		{"a lagging learner does not get a vote", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), lagging), 0, nil},
		{"three voters are never reduced to two", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false)), time.Hour, nil},
		{"a voter whose address has a new member ID is removed at once", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), voter(9, "c", true)), 0,
			&consensus.Change{Type: consensus.ChangeRemove, ID: 3}},
		{"a fourth voter makes up for a lost one", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), voter(9, "d", true)), 4 * time.Second,
			&consensus.Change{Type: consensus.ChangeRemove, ID: 3}},
		{"a lost one of four voters stays until it has been silent for long enough", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), voter(9, "d", true)), time.Second, nil},
		{"two silent voters may be behind a partition", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), voter(4, "d", false), voter(5, "e", false), voter(6, "f", true)), time.Hour, nil},
		{"a learner added while a voter is silent gets its vote at once", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "d", false, 3)), 0,
			&consensus.Change{Type: consensus.ChangePromote, ID: 9}},
		{"a learner added while a voter was silent stays one once that responds", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), added(9, "d", false, 3)), time.Hour, nil},
		{"a learner that was there says nothing of a voter that restarts", status(voter(1, "a", true), voter(2, "b", false), voter(3, "c", true), added(9, "d", false, 3)), time.Second, nil},
		{"a learner that has not responded yet gets no vote", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), mute), 0, nil},
		{"a voter is removed at once when one added after it has a vote", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "d", true, 3)), 0,
			&consensus.Change{Type: consensus.ChangeRemove, ID: 3}},
		{"a replaced voter is removed before another vote is given", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(8, "e", true), added(9, "d", false, 3)), 0,
			&consensus.Change{Type: consensus.ChangeRemove, ID: 3}},
		{"a replaced voter of five is removed while its successor waits", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), voter(4, "x", true), voter(5, "y", true), added(9, "d", false, 3)), 0,
			&consensus.Change{Type: consensus.ChangeRemove, ID: 3}},
		{"three voters are not reduced to two by a learner added later", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), withLag(added(9, "d", false, 3))), time.Hour, nil},
		{"one successor does not make up for two silent voters", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), voter(4, "d", false), voter(5, "e", false), added(6, "f", true, 4, 5)), 0, nil},
		{"two successors make up for two silent voters", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", true), voter(4, "d", false), voter(5, "e", false), added(6, "f", true, 4, 5), added(7, "g", true, 4, 5)), 0,
			&consensus.Change{Type: consensus.ChangeRemove, ID: 4}},
		{"a successor that is silent itself replaces none", status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), silent(added(9, "d", true, 3))), 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := NewPlanner(DefaultLimits())
			start := time.Unix(0, 0)
			p.observe(tt.st, start)
			c.Assert(changeOf(p.Plan(tt.st, start.Add(tt.silent))), qt.DeepEquals, tt.want)
		})
	}
}

// A decision that does not say what it went by leaves an operator to guess why a member was removed.
func TestDecisionNamesItsCause(t *testing.T) {
	for _, tt := range []struct {
		st    *consensus.Status
		after time.Duration
		want  Decision
	}{
		{status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "d", false, 3)), time.Second,
			Decision{promotion(9), CauseJoinedAfter, 3, time.Second}},
		{status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "d", true, 3)), time.Second,
			Decision{removal(3), CauseJoinedAfter, 3, time.Second}},
		{status(voter(1, "a", true), voter(2, "b", true), voter(3, "d", false), added(9, "d", false)), time.Second,
			Decision{promotion(9), CauseSameAddress, 3, time.Second}},
		{status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "c", true)), time.Second,
			Decision{removal(3), CauseSameAddress, 3, time.Second}},
		{status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "d", false)), 4 * time.Second,
			Decision{promotion(9), CauseSilence, 3, 4 * time.Second}},
		{status(voter(1, "a", true), voter(2, "b", true), voter(3, "c", false), added(9, "d", true)), 4 * time.Second,
			Decision{removal(3), CauseSilence, 3, 4 * time.Second}},
		{status(voter(1, "a", true), voter(2, "b", true), added(9, "d", false)), 0,
			Decision{promotion(9), CauseNumber, 0, 0}},
	} {
		p := NewPlanner(DefaultLimits())
		start := time.Unix(0, 0)
		p.observe(tt.st, start)
		qt.Check(t, p.Plan(tt.st, start.Add(tt.after)), qt.DeepEquals, &tt.want)
	}
}

// TestGroupHasAnOddNumberOfVoters guards against a group of an even number of machines that has
// no leader while it is split into halves: with an odd number of voters one half has a majority.
func TestGroupHasAnOddNumberOfVoters(t *testing.T) {
	c := qt.New(t)
	for machines := 3; machines <= 20; machines++ {
		voters, waiting := 3, machines-3
		for arrived := 0; arrived <= waiting; arrived++ {
			voters = promoteAll(c, voters, arrived-(voters-3))
		}
		c.Assert(voters, qt.Equals, machines-(machines+1)%2, qt.Commentf("%d machines", machines))
		majority := voters/2 + 1
		c.Assert(machines/2 >= majority || machines%2 == 1, qt.IsTrue, qt.Commentf("%d machines in halves", machines))
	}
}

// promoteAll carries out what a planner plans for a group of active members, and returns the
// number of voters at its end.
func promoteAll(c *qt.C, voters, learners int) int {
	p := NewPlanner(DefaultLimits())
	for {
		var members []consensus.Progress
		for id := range voters + learners {
			members = append(members, consensus.Progress{ID: consensus.MemberID(id + 1), Addr: string(rune('a' + id)), Voter: id < voters, Active: true, Match: 1})
		}
		change := changeOf(p.Plan(status(members...), time.Unix(0, 0)))
		if change == nil {
			return voters
		}
		c.Assert(change.Type, qt.Equals, consensus.ChangePromote)
		voters, learners = voters+1, learners-1
	}
}
