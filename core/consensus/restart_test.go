package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// All members lose power and are back. Until the group has a leader entries that have
// started serve nobody, as they don't know which configuration holds. No member can
// take a leader for silent that it has never known, so that the first election begins
// before the usual shortest timeout is over.
func TestGroupThatStoppedWholeHasALeaderSoon(t *testing.T) {
	for seed := range uint64(20) {
		opt := faultFreeOptions(3)
		s := newSim(t, seed, opt)
		s.runUntil("a leader", 200, func() bool { return s.leader() != nil })
		s.run(20)
		for _, id := range s.order {
			s.crash(s.hosts[id])
		}
		s.heal()
		// One tick more, for the members' clocks lose one in twenty.
		s.runUntil("a member that stands", opt.electionTicks+1, s.anyCampaigning)
		s.runUntil("a leader again", 2*opt.electionTicks, func() bool { return s.leader() != nil })
	}
}

// anyStands tells whether a member asks for votes, or has them already.
func (s *sim) anyCampaigning() bool {
	for _, h := range s.hosts {
		if h.node != nil && h.node.role != RoleFollower {
			return true
		}
	}
	return false
}

// One member restarts while the others have a leader. It may ask for votes before it
// hears of the leader; callers must see no election for that.
func TestRestartedMemberDisturbsNoLeader(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		s := newSim(t, seed, faultFreeOptions(3))
		s.runUntil("a leader", 200, func() bool { return s.leader() != nil })
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
