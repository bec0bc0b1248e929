package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// All members crash and restart. Until the group has a leader, entry processes that have
// started can't serve requests, because they can't learn the current configuration. A
// member that has known no leader since its start therefore uses a shorter timeout, so the
// first election must begin before the usual minimum election timeout has passed.
func TestGroupThatStoppedWholeHasALeaderSoon(t *testing.T) {
	for seed := range uint64(20) {
		opt := faultFreeOptions(3)
		s := newSim(t, seed, opt)
		s.runUntil("a leader is elected", 200, func() bool { return s.leader() != nil })
		s.run(20)
		for _, id := range s.order {
			s.crash(s.hosts[id])
		}
		s.heal()
		// One extra tick, because the members' clocks miss one tick in twenty.
		s.runUntil("a member campaigns", opt.electionTicks+1, s.anyCampaigning)
		s.runUntil("a new leader is elected", 2*opt.electionTicks, func() bool { return s.leader() != nil })
	}
}

// anyCampaigning reports whether a running member is a candidate, a pre-candidate or
// the leader.
func (s *sim) anyCampaigning() bool {
	for _, h := range s.hosts {
		if h.node != nil && h.node.role != RoleFollower {
			return true
		}
	}
	return false
}

// One member restarts while the others have a leader. It may request votes before it hears
// from the leader, but this must not cause an election.
func TestRestartedMemberDisturbsNoLeader(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		s := newSim(t, seed, faultFreeOptions(3))
		s.runUntil("a leader is elected", 200, func() bool { return s.leader() != nil })
		s.run(20)
		leader, term := s.leader().id, s.leader().node.term
		for _, id := range s.order {
			if id != leader {
				s.crash(s.hosts[id])
				break
			}
		}
		s.run(3)
		s.heal()
		s.run(40)
		c.Assert(s.leader().id, qt.Equals, leader)
		c.Assert(s.leader().node.term, qt.Equals, term)
	}
}
