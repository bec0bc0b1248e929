package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

func faultFreeOptions(voters int) simOptions {
	return simOptions{voters: voters, delay: 2, electionTicks: 10, batch: 400, window: 4}
}

func randomOptions(seed uint64) simOptions {
	r := rand.New(rand.NewPCG(seed, 7))
	return simOptions{
		voters: []int{1, 3, 3, 3, 5}[r.IntN(5)], loss: 0.25 * r.Float64(), duplicate: 0.2 * r.Float64(),
		crash: 0.02 * r.Float64() * r.Float64(), partition: 0.05 * r.Float64(), delay: 1 + r.IntN(8), saveDelay: r.IntN(4),
		changes: 0.1 * r.Float64(), compact: 0.1 * r.Float64(), transfers: 0.02 * r.Float64(), maxCalls: 120,
		electionTicks: 10 + r.IntN(20), batch: 100 + r.IntN(400), window: 1 + r.IntN(4), early: r.IntN(2) == 0,
	}
}

const (
	faultSeeds  = 400
	faultTicks  = 2000
	faultShards = 4 // subtests that run in parallel
)

// Checks that completed reads and writes are linearizable, and that after the
// faults end the group recovers with the same state on all members. During the
// run, messages are lost, duplicated, reordered and blocked in one or both
// directions, members crash during a save and restart, and an operator changes the
// membership. The invariants are checked for each batch that a member returns.
func TestGroupUnderFaults(t *testing.T) {
	for part := range uint64(faultShards) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := part + 1; seed <= faultSeeds; seed += faultShards {
				runWithFaults(t, seed)
			}
		})
	}
}

func runWithFaults(t testing.TB, seed uint64) *sim {
	s := newSim(t, seed, randomOptions(seed))
	for range faultTicks {
		s.injectFaults()
		if len(s.calls.history) < s.opt.maxCalls && s.rng.IntN(4) == 0 {
			s.calls.start(s)
		}
		s.calls.expire(s)
		s.tick()
	}
	s.healAndConverge()
	s.calls.each(func(id uint64, _ *call) { s.calls.abandon(id) })
	if !porcupine.CheckOperations(registerModel, s.calls.history) {
		s.fatalf("history of %d calls is not linearizable", len(s.calls.history))
	}
	return s
}

// The same seed must give the same run, so that a failing seed can be reproduced.
func TestRunsRepeat(t *testing.T) {
	c := qt.New(t)
	a, b := runWithFaults(t, 4), runWithFaults(t, 4)
	c.Assert(a.invariants.digests, qt.DeepEquals, b.invariants.digests)
	c.Assert(len(a.invariants.digests) > 50, qt.IsTrue)
}

// A leader that is cut off from the majority must step down within the longest
// election timeout and reject calls for as long as the partition lasts, while the
// others elect a leader and continue. The partition drops messages without an error,
// in one or both directions. When it ends, the returning member must not make the
// healthy leader step down, so its term must not have risen above the leader's.
func TestLongSilentPartition(t *testing.T) {
	const hour = 36000 // ticks of 100 ms
	for _, tc := range []struct {
		name              string
		inbound, outbound bool
	}{{"both ways", true, true}, {"inbound only", true, false}, {"outbound only", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSim(t, 5, faultFreeOptions(3))
			s.runUntil("a leader is elected", 200, func() bool { return s.leader() != nil && s.leader().node.log.commit > 1 })
			old := s.leader()
			for _, o := range s.order {
				s.blockedLinks[link{o, old.id}], s.blockedLinks[link{old.id, o}] = tc.inbound, tc.outbound
			}
			s.runUntil("the old leader steps down", 2*s.opt.electionTicks, func() bool { return old.node.role != RoleLeader })
			s.runUntil("the others elect a leader", 100, func() bool { return s.leader() != nil })
			c.Assert(s.leader().id, qt.Not(qt.Equals), old.id)
			var refused *NotLeaderError
			c.Assert(errors.As(old.node.Propose([]byte("x")), &refused), qt.IsTrue)
			c.Assert(errors.As(old.node.ReadIndex(1), &refused), qt.IsTrue)
			for range hour / 100 {
				c.Assert(s.leader().node.Propose([]byte("x")), qt.IsNil)
				s.run(100)
			}
			current := s.leader()
			term := current.node.term
			c.Assert(len(s.invariants.leaders), qt.Equals, 2, qt.Commentf("elections during the hour"))
			c.Assert(old.node.term <= term, qt.IsTrue)
			s.healAndConverge()
			c.Assert(current.node.role, qt.Equals, RoleLeader)
			c.Assert(current.node.term, qt.Equals, term)
		})
	}
}

// All members crash at the same time, in the middle of writes. After the restart
// the group must recover without an operator and still have all committed writes.
func TestAllKilledTogether(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		s := newSim(t, seed, faultFreeOptions(3))
		s.opt.saveDelay, s.opt.compact = 2, 0.05
		for range 4 {
			s.runUntil("some writes commit", 500, func() bool {
				s.calls.start(s)
				return len(s.calls.history) > 10
			})
			for _, id := range s.order {
				s.crash(s.hosts[id])
			}
			s.calls.history = s.calls.history[:0]
			s.healAndConverge()
			s.opt.compact = 0.05
		}
	}
}

// A member loses its disk, is removed, and a new member replaces it. Immediately
// after the promotion of the new member, a second member is lost permanently. The
// promotion had been committed by a majority, so the remaining two members continue.
func TestSecondLossAfterRepair(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 9, faultFreeOptions(3))
	s.runUntil("a leader is elected", 200, func() bool { return s.leader() != nil && s.leader().node.log.commit > 1 })
	lead := s.leader()
	lost := MemberID(1 + lead.id%3)
	second := MemberID(1 + lost%3)
	if second == lead.id {
		lost, second = second, lost
		second = 6 - lead.id - lost
	}
	s.crash(s.hosts[lost])
	s.order = slices.DeleteFunc(s.order, func(id MemberID) bool { return id == lost })
	change := func(ch Change) {
		s.runUntil("the change is accepted", 300, func() bool { return lead.node.ProposeChange(ch) == nil })
		s.runUntil("the change commits", 300, func() bool { return !lead.node.changePending() })
	}
	change(Change{Type: ChangeRemove, ID: lost})
	s.addHost(7, Restored{})
	change(Change{Type: ChangeAddLearner, ID: 7, Addr: "m1"})
	change(Change{Type: ChangePromote, ID: 7})
	s.crash(s.hosts[second])
	at := lead.node.log.commit
	c.Assert(lead.node.Propose([]byte("x")), qt.IsNil)
	s.runUntil("two of three voters commit", 300, func() bool { return lead.node.log.commit > at && s.hosts[7].node.log.commit > at })
	s.run(2 * s.opt.electionTicks)
	c.Assert(lead.node.ProposeChange(Change{Type: ChangeRemove, ID: 7}), qt.Equals, ErrWouldLoseQuorum)
}

// An operator removes a running member. It must learn of its removal and start no
// more elections; a removed member that keeps requesting votes looks like a fault
// of the group.
func TestRemovedMemberKnows(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 3, faultFreeOptions(3))
	s.runUntil("a leader is elected", 200, func() bool { return s.leader() != nil && s.leader().node.log.commit > 1 })
	lead := s.leader()
	removed := s.hosts[1+lead.id%3]
	c.Assert(lead.node.ProposeChange(Change{Type: ChangeRemove, ID: removed.id}), qt.IsNil)
	s.runUntil("the removed member learns of its removal", 50, func() bool { return !removed.node.members().IsVoter(removed.id) && !removed.node.changePending() })
	s.run(10 * s.opt.electionTicks)
	c.Assert(removed.node.role, qt.Equals, RoleFollower)
	c.Assert(lead.node.lead.peers, qt.HasLen, 1)
}

// A member restarts after it has missed hundreds of entries. The leader sends these
// entries if it still has them, otherwise a snapshot and the entries after it. In
// both cases the member must reach the same state as the others.
func TestCatchUpAfterRestart(t *testing.T) {
	for _, compact := range []bool{false, true} {
		t.Run(fmt.Sprintf("compacted=%t", compact), func(t *testing.T) {
			c := qt.New(t)
			s := newSim(t, 8, faultFreeOptions(3))
			s.runUntil("a leader is elected", 200, func() bool { return s.leader() != nil && s.leader().node.log.commit > 1 })
			lead := s.leader()
			away := s.hosts[1+lead.id%3]
			s.crash(away)
			if compact {
				s.opt.compact = 0.05
			}
			for range 500 {
				c.Assert(lead.node.Propose([]byte("x")), qt.IsNil)
				s.run(5)
			}
			s.opt.compact = 0
			s.healAndConverge()
			c.Assert(away.disk.Snapshot.Index > 1, qt.Equals, compact)
			c.Assert(away.app.index >= 500, qt.IsTrue)
		})
	}
}
