package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

// A member restarts after hundreds of changes. It must catch up from the log, or from a
// snapshot if the others have compacted the entries that it needs, and end with exactly
// the same state as the others.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	for _, tc := range []struct {
		name          string
		snapshotEvery uint64
	}{
		{"by log", 100_000},
		{"by snapshot", 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, g *group) {
				g.snapshotEvery = tc.snapshotEvery
				g.form(3)
				g.putConfig("c0", 0, "doc 0")
				g.kill(3)
				for i := 1; i <= 400; i++ {
					g.putConfig(fmt.Sprint("c", i), api.Revision(i), fmt.Sprint("doc ", i))
				}
				m := g.start(3)
				g.waitAllApplied()
				view, _ := m.watcherView()
				qt.Assert(t, view.config.Revision, qt.Equals, api.Revision(401))
				assertSameState(t, g)
			})
		})
	}
}

func assertSameState(t *testing.T, g *group) {
	t.Helper()
	all := g.encodedStates()
	for _, b := range all[1:] {
		qt.Assert(t, bytes.Equal(all[0], b), qt.IsTrue)
	}
}

// One member restarts, and immediately afterwards another is lost. The two that remain
// can commit only if the restarted member catches up.
func TestSecondLossJustAfterRepair(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		g.kill(2)
		for i := range 100 {
			g.putConfig(fmt.Sprint("c", i), api.Revision(i), "doc")
		}
		g.start(2)
		g.kill(1)
		r := g.putConfig("after", 100, "doc after")
		qt.Assert(t, r.Accepted, qt.IsTrue)
		qt.Assert(t, r.Revision, qt.Equals, api.Revision(101))
	})
}

// All members are killed and restarted. The accepted configuration must be kept, a
// repeated change must get its first answer, and the group must accept new changes.
func TestAllKilledAndRestarted(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		first := g.putConfig("c0", 0, "doc 0")
		g.stopAll()
		for id := consensus.MemberID(1); id <= 3; id++ {
			g.start(id)
		}
		again := g.putConfig("c0", 0, "doc 0")
		qt.Assert(t, again.Repeated, qt.IsTrue)
		qt.Assert(t, again.Revision, qt.Equals, first.Revision)
		qt.Assert(t, g.putConfig("c1", 1, "doc 1").Revision, qt.Equals, api.Revision(2))
	})
}

// A member's data directory is lost. It must rejoin under a new member ID: its vote is
// lost with the directory, and if it voted twice in one term, two leaders could be
// elected. The old member is removed and the new one replaces it.
func TestLostFolderIsANewMember(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		g.putConfig("c0", 0, "doc 0")
		g.kill(3)
		delete(g.storages, 3)
		g.mustDo(Request{Change: &MemberChange{Type: consensus.ChangeRemove, ID: 3}})
		g.join(4)
		g.waitAllApplied()
		g.kill(1)
		qt.Assert(t, g.putConfig("c1", 1, "doc 1").Accepted, qt.IsTrue)
		view, _ := g.member(4).watcherView()
		qt.Assert(t, view.config.Revision >= 1, qt.IsTrue)
	})
}

// The leader is isolated for an hour of virtual time. It must reject new requests and
// report an unknown outcome for those in progress, while the others elect a new leader
// and continue. When the old leader reconnects, it must become a follower without
// causing an election.
func TestIsolatedLeader(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		oldLeader := g.leader()
		g.isolate(oldLeader, true)
		req := configRequest("lost", 0, "by the old leader")
		r := g.member(oldLeader).Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeUnknown)
		qt.Assert(t, r.Reason, qt.Equals, api.ReasonControlUnavailable)
		again := configRequest("lost", 0, "by the old leader")
		r = g.member(oldLeader).Do(context.Background(), &again)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		read := Request{Read: true}
		r = g.member(oldLeader).Do(context.Background(), &read)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)

		qt.Assert(t, g.putConfig("c0", 0, "doc 0").Accepted, qt.IsTrue)
		time.Sleep(time.Hour)
		newLeader := g.leader()
		term := g.member(newLeader).Status().Term
		g.isolate(oldLeader, false)
		time.Sleep(10 * time.Second)
		qt.Assert(t, g.leader(), qt.Equals, newLeader)
		qt.Assert(t, g.member(newLeader).Status().Term, qt.Equals, term)
		lost := g.putConfig("lost", 0, "by the old leader")
		qt.Assert(t, lost.Accepted, qt.IsFalse)
		qt.Assert(t, lost.ChangeID, qt.Equals, "c0")
		g.waitAllApplied()
		assertSameState(t, g)
	})
}

// A save fails. The member must stop and complete no further request, and the others
// must not count the entry that it has not saved.
func TestFailedSaveStopsTheMember(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		oldLeader := g.leader()
		storage := g.storages[oldLeader]
		storage.mu.Lock()
		storage.err = errors.New("input/output error")
		storage.mu.Unlock()
		req := configRequest("c0", 0, "doc 0")
		m := g.member(oldLeader)
		r := m.Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeUnknown)
		<-m.done
		r = m.Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		g.kill(oldLeader)
		qt.Assert(t, g.putConfig("c0", 0, "doc 0").Accepted, qt.IsTrue)
	})
}

// A member is killed and an operator immediately removes another one, before the leader
// can have noticed the failure. The removal would leave no reachable majority, so it must be
// rejected with that reason. The promotion of a member that is no learner must be rejected
// too.
func TestMemberChangesThatLoseTheMajorityAreRefused(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		leaderID := g.leader()
		for _, id := range g.runningIDs() {
			if id != leaderID {
				g.kill(id)
				break
			}
		}
		var follower consensus.MemberID
		for _, id := range g.runningIDs() {
			if id != leaderID {
				follower = id
			}
		}
		req := Request{Change: &MemberChange{Type: consensus.ChangeRemove, ID: follower}}
		r := g.member(g.leader()).Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		qt.Assert(t, r.Message, qt.Contains, consensus.ErrWouldLoseQuorum.Error())
		req = Request{Change: &MemberChange{Type: consensus.ChangePromote, ID: 9}}
		r = g.member(g.leader()).Do(context.Background(), &req)
		qt.Assert(t, r.Message, qt.Contains, consensus.ErrNotLearner.Error())
	})
}

// The group is idle except for the commands that advance the replicated clock. Across
// changes of leader that clock must advance, but no faster than real time.
func TestReplicatedClockNeverRunsAhead(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		start := time.Now()
		g.form(3)
		for range 3 {
			time.Sleep(time.Minute)
			g.kill(g.leader())
			for _, id := range []consensus.MemberID{1, 2, 3} {
				if g.member(id) == nil {
					g.start(id)
				}
			}
			g.putConfig(fmt.Sprint("c", time.Now().Unix()), g.current(), "doc")
			g.waitAllApplied()
			m := g.member(g.leader())
			m.mu.RLock()
			replicated := m.state.Now()
			m.mu.RUnlock()
			elapsed := time.Since(start).Milliseconds()
			qt.Assert(t, replicated > 0 && replicated <= elapsed, qt.IsTrue, qt.Commentf("replicated %d ms, real %d ms", replicated, elapsed))
		}
	})
}

func (g *group) current() api.Revision {
	return g.mustDo(Request{Read: true}).Revision
}

func TestValidatorIsAskedBeforeTheLog(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(1)
		m := g.member(1)
		m.opt.Validate = func([]byte) error { return errors.New("base.yaml:3: unknown key") }
		req := configRequest("c0", 0, "doc")
		r := m.Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		qt.Assert(t, r.Message, qt.Contains, "base.yaml:3")
		qt.Assert(t, m.state.Current(), qt.DeepEquals, state.Config{})
	})
}
