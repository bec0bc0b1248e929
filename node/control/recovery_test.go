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

// A member restarts after hundreds of changes. It catches up by the log, or by
// a snapshot when the others have dropped what it needs, and ends with exactly
// the others' state.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	for _, tc := range []struct {
		name  string
		every uint64
	}{
		{"by log", 100_000},
		{"by snapshot", 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g *group) {
				g.every = tc.every
				g.form(3)
				g.put("c0", 0, "doc 0")
				g.kill(3)
				for i := 1; i <= 400; i++ {
					g.put(fmt.Sprint("c", i), api.Revision(i), fmt.Sprint("doc ", i))
				}
				m := g.start(3)
				g.settle()
				view, _ := m.watcherView()
				qt.Assert(t, view.config.Revision, qt.Equals, api.Revision(401))
				sameState(t, g)
			})
		})
	}
}

func sameState(t *testing.T, g *group) {
	t.Helper()
	all := g.snapshots()
	for _, b := range all[1:] {
		qt.Assert(t, bytes.Equal(all[0], b), qt.IsTrue)
	}
}

// One member is repaired and, at the moment it is back, another is lost. The two
// that remain form a majority only if the repaired one has really caught up.
func TestSecondLossJustAfterRepair(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		g.kill(2)
		for i := range 100 {
			g.put(fmt.Sprint("c", i), api.Revision(i), "doc")
		}
		g.start(2)
		g.kill(1)
		r := g.put("after", 100, "doc after")
		qt.Assert(t, r.Accepted, qt.IsTrue)
		qt.Assert(t, r.Revision, qt.Equals, api.Revision(101))
	})
}

// All members are killed together and started again. What was accepted before is
// in force, a change sent again gets its first answer, and the group goes on.
func TestAllKilledAndRestarted(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		first := g.put("c0", 0, "doc 0")
		g.stopAll()
		for id := consensus.MemberID(1); id <= 3; id++ {
			g.start(id)
		}
		again := g.put("c0", 0, "doc 0")
		qt.Assert(t, again.Repeated, qt.IsTrue)
		qt.Assert(t, again.Revision, qt.Equals, first.Revision)
		qt.Assert(t, g.put("c1", 1, "doc 1").Revision, qt.Equals, api.Revision(2))
	})
}

// A member's data folder is lost. It comes back as a new member, never as the
// old one: the old one's vote is forgotten, and voting twice in a term elects two
// leaders. The old member is removed and the new one takes its place.
func TestLostFolderIsANewMember(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		g.put("c0", 0, "doc 0")
		g.kill(3)
		delete(g.folders, 3)
		g.must(Request{Change: &MemberChange{Type: consensus.ChangeRemove, ID: 3}})
		g.join(4)
		g.settle()
		g.kill(1)
		qt.Assert(t, g.put("c1", 1, "doc 1").Accepted, qt.IsTrue)
		view, _ := g.member(4).watcherView()
		qt.Assert(t, view.config.Revision >= 1, qt.IsTrue)
	})
}

// The leader is cut off silently for a virtual hour. Its side refuses writes and
// says that the outcome of those under way isn't known; the other side goes on.
// When it returns it follows, and has disturbed nobody.
func TestIsolatedLeader(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		old := g.leader()
		g.isolate(old, true)
		req := configPut("lost", 0, "by the old leader")
		r := g.member(old).Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeUnknown)
		qt.Assert(t, r.Reason, qt.Equals, api.ReasonControlUnavailable)
		again := configPut("lost", 0, "by the old leader")
		r = g.member(old).Do(context.Background(), &again)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		read := Request{Read: true}
		r = g.member(old).Do(context.Background(), &read)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)

		qt.Assert(t, g.put("c0", 0, "doc 0").Accepted, qt.IsTrue)
		time.Sleep(time.Hour)
		now := g.leader()
		term := g.member(now).Status().Term
		g.isolate(old, false)
		time.Sleep(10 * time.Second)
		qt.Assert(t, g.leader(), qt.Equals, now)
		qt.Assert(t, g.member(now).Status().Term, qt.Equals, term)
		lost := g.put("lost", 0, "by the old leader")
		qt.Assert(t, lost.Accepted, qt.IsFalse)
		qt.Assert(t, lost.ChangeID, qt.Equals, "c0")
		g.settle()
		sameState(t, g)
	})
}

// A save fails. The member stops, answers nothing more as done, and what it had
// not saved is not counted by the others.
func TestFailedSaveStopsTheMember(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		old := g.leader()
		f := g.folders[old]
		f.mu.Lock()
		f.fail = errors.New("input/output error")
		f.mu.Unlock()
		req := configPut("c0", 0, "doc 0")
		m := g.member(old)
		r := m.Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeUnknown)
		<-m.done
		r = m.Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		g.kill(old)
		qt.Assert(t, g.put("c0", 0, "doc 0").Accepted, qt.IsTrue)
	})
}

// A member dies and an operator at once removes another, before anybody can have
// noticed the death. Removing a member that would leave no reachable majority is refused and says
// why, and so is promoting what is no learner.
func TestMemberChangesThatLoseTheMajorityAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		lead := g.leader()
		for _, id := range g.ids() {
			if id != lead {
				g.kill(id)
				break
			}
		}
		var up consensus.MemberID
		for _, id := range g.ids() {
			if id != lead {
				up = id
			}
		}
		req := Request{Change: &MemberChange{Type: consensus.ChangeRemove, ID: up}}
		r := g.member(g.leader()).Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		qt.Assert(t, r.Message, qt.Contains, consensus.ErrWouldLoseQuorum.Error())
		req = Request{Change: &MemberChange{Type: consensus.ChangePromote, ID: 9}}
		r = g.member(g.leader()).Do(context.Background(), &req)
		qt.Assert(t, r.Message, qt.Contains, consensus.ErrNotLearner.Error())
	})
}

// The group is idle but for its clock. The replicated clock moves, at no more
// than real pace, across a change of leader.
func TestReplicatedClockNeverRunsAhead(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
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
			g.put(fmt.Sprint("c", time.Now().Unix()), g.current(), "doc")
			g.settle()
			m := g.member(g.leader())
			m.mu.RLock()
			now := m.state.Now()
			m.mu.RUnlock()
			real := time.Since(start).Milliseconds()
			qt.Assert(t, now > 0 && now <= real, qt.IsTrue, qt.Commentf("replicated %d ms, real %d ms", now, real))
		}
	})
}

func (g *group) current() api.Revision {
	return g.must(Request{Read: true}).Revision
}

func TestValidatorIsAskedBeforeTheLog(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.form(1)
		m := g.member(1)
		m.opt.Validate = func([]byte) error { return errors.New("base.yaml:3: unknown key") }
		req := configPut("c0", 0, "doc")
		r := m.Do(context.Background(), &req)
		qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
		qt.Assert(t, r.Message, qt.Contains, "base.yaml:3")
		qt.Assert(t, m.state.Current(), qt.DeepEquals, state.Config{})
	})
}
