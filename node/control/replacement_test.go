package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/consensus"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// A machine is taken away for good, and another one loses its disk as soon as the successor of the
// first no longer counts as lost: the group is left without a majority for good.
func TestGroupOutlivesLossesCatchUpApart(t *testing.T) {
	new(fasthttp.ResponseHeader).Header()
	for name, leads := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, 1)
				defer h.stopEverything()
				h.found()
				time.Sleep(catchUp)
				first := h.machineThatLeads(leads)
				first.stop(stopKill)
				first.retired = true
				next := h.addMachine(false)
				h.exchange(first.addr, next.addr)
				next.start()
				time.Sleep(catchUp)
				second := h.inService()[0]
				second.stop(stopPower)
				second.wipe()
				second.start()
				time.Sleep(recovery)
				ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
				defer cancel()
				qt.Check(t, next.put(ctx, 1, document(1, "ana")), qt.IsNil)
			})
		})
	}
}

// voters returns the addresses of the group's voters as its leader knows them, by their member IDs.
func (h *history) voters(t *testing.T) map[consensus.MemberID]string {
	t.Helper()
	leader := h.machineThatLeads(true)
	if leader == nil {
		t.Error("the group has no leader")
		return nil
	}
	_, role := leader.role()
	out := make(map[consensus.MemberID]string)
	for _, v := range role.Member().Status().Membership.Voters {
		out[v.ID] = v.Addr
	}
	return out
}

// checkWhole checks that the group consists of the members that run, and accepts a version.
func (h *history) checkWhole(t *testing.T) {
	t.Helper()
	want := make(map[consensus.MemberID]string)
	for _, m := range h.inService() {
		if _, role := m.role(); role != nil {
			want[role.Member().ID()] = m.addr
		}
	}
	qt.Check(t, h.voters(t), qt.DeepEquals, want)
	h.checkAccepts(t)
}

func (h *history) checkAccepts(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	h.next++
	qt.Check(t, h.inService()[0].put(ctx, h.next, document(h.next, "ana")), qt.IsNil)
}

// playWith founds a group, plays, and prints the record if a check failed.
func playWith(t *testing.T, name string, play func(t *testing.T, h *history)) {
	new(fasthttp.ResponseHeader).Header()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, 1)
			h.found()
			time.Sleep(catchUp)
			play(t, h)
			h.stopEverything()
			if t.Failed() {
				for _, line := range h.log {
					t.Log(line)
				}
			}
		})
	})
}

// A voter that was replaced while it was only cut off counts when it is back, beside its successor.
func TestReplacedVoterThatReturnsDoesNotCount(t *testing.T) {
	for _, leads := range []bool{true, false} {
		playWith(t, fmt.Sprint("leader ", leads), func(t *testing.T, h *history) {
			old := h.machineThatLeads(leads)
			_, role := old.role()
			id := role.Member().ID()
			for _, other := range h.names() {
				h.cutBetween(old.name, other, 0)
			}
			next := h.addMachine(false)
			h.cutBetween(old.name, next.name, 0)
			next.start()
			time.Sleep(catchUp)
			h.net.healAll()
			time.Sleep(recovery)
			voters := h.voters(t)
			qt.Check(t, len(voters), qt.Equals, founders)
			qt.Check(t, voters[id], qt.Equals, "")
			_, role = old.role()
			st := role.Member().Status()
			qt.Check(t, st.Membership.IsLearner(id), qt.IsTrue)
			h.checkAccepts(t)
		})
	}
}

// A leader that is cut off with new machines makes a group of its own with them.
func TestMinorityDoesNotReplaceTheMajority(t *testing.T) {
	playWith(t, "leader with two new machines", func(t *testing.T, h *history) {
		old := h.machineThatLeads(true)
		others := h.inService()
		for _, m := range others {
			if m != old {
				h.cutBetween(old.name, m.name, 0)
			}
		}
		for range 2 {
			next := h.addMachine(false)
			for _, m := range others {
				if m != old {
					h.cutBetween(next.name, m.name, 0)
				}
			}
			next.start()
		}
		time.Sleep(recovery)
		_, role := old.role()
		st := role.Member().Status()
		qt.Check(t, st.Role, qt.Not(qt.Equals), consensus.RoleLeader)
		qt.Check(t, len(st.Committed.Voters), qt.Equals, founders)
		qt.Check(t, st.Committed.IsVoter(founderID(old.addr)), qt.IsTrue)
		h.net.healAll()
		time.Sleep(recovery)
		h.checkWhole(t)
	})
}

// A spare machine takes the vote of a member that only restarts.
func TestRestartReplacesNoVoter(t *testing.T) {
	for _, leads := range []bool{true, false} {
		playWith(t, fmt.Sprint("leader ", leads), func(t *testing.T, h *history) {
			h.addMachine(false).start()
			time.Sleep(catchUp)
			before := h.voters(t)
			for range founders {
				m := h.machineThatLeads(leads)
				m.stop(stopKill)
				time.Sleep(2 * time.Second)
				m.start()
				time.Sleep(catchUp)
			}
			qt.Check(t, h.voters(t), qt.DeepEquals, before)
			h.checkAccepts(t)
		})
	}
}
