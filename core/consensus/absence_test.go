package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// advance passes an election timeout, in which only the given members respond.
func advance(t testing.TB, n *Node, from ...MemberID) {
	for range n.cfg.ElectionTicks {
		n.Tick()
		for _, id := range from {
			step(t, n, Message{Type: MsgHeartbeatAck, From: id, Term: n.term})
		}
		drain(n)
	}
}

func absentAfter(n *Node, id MemberID) []MemberID {
	for _, m := range n.Status().Members {
		if m.ID == id {
			return m.Absent
		}
	}
	return nil
}

func change(t testing.TB, n *Node, typ ChangeType, id MemberID) {
	t.Helper()
	if err := n.ProposeChange(Change{Type: typ, ID: id, Addr: "z"}); err != nil {
		t.Fatal(err)
	}
	ackLast(t, n, 2)
}

// A leader that can't tell a member added in place of a lost voter from a spare one either lets the
// group stand without its tolerance, or replaces voters that restart.
func TestAbsentSinceAMemberJoined(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(t *testing.T, n *Node)
		want []MemberID
	}{
		{"added while a voter is silent", func(t *testing.T, n *Node) { advance(t, n, 2); change(t, n, ChangeAddLearner, 9) }, []MemberID{3}},
		{"added before the voter falls silent", func(t *testing.T, n *Node) {
			advance(t, n, 2, 3)
			change(t, n, ChangeAddLearner, 9)
			n.Tick()
			step(t, n, Message{Type: MsgHeartbeatAck, From: 3, Term: n.term})
			advance(t, n, 2)
		}, nil},
		{"added just after the voter fell silent", func(t *testing.T, n *Node) {
			advance(t, n, 2, 3)
			n.Tick()
			change(t, n, ChangeAddLearner, 9)
			advance(t, n, 2)
		}, []MemberID{3}},
		{"the voter responds again", func(t *testing.T, n *Node) {
			advance(t, n, 2)
			change(t, n, ChangeAddLearner, 9)
			advance(t, n, 2, 3)
			advance(t, n, 2)
		}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := leaderOf(t, threeVoters())
			ackLast(t, n, 2)
			step(t, n, Message{Type: MsgHeartbeatAck, From: 3, Term: n.term})
			tt.run(t, n)
			qt.Check(t, absentAfter(n, 9), qt.DeepEquals, tt.want)
		})
	}
}

// A new leader that forgets which voter a member was added for lets it count for seconds more.
func TestAbsenceOutlivesTheLeader(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, threeVoters())
	ackLast(t, n, 2)
	advance(t, n, 2)
	change(t, n, ChangeAddLearner, 9)
	successor := leaderOf(t, n.Status().Membership)
	c.Assert(absentAfter(successor, 9), qt.DeepEquals, []MemberID{3})
	step(t, successor, Message{Type: MsgHeartbeatAck, From: 3, Term: successor.term})
	c.Assert(absentAfter(successor, 9), qt.IsNil)
}

// An absence that stays in the membership after the voter has responded, or has been removed, has
// voters replaced that only restart.
func TestAbsenceEnds(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, threeVoters())
	ackLast(t, n, 2)
	advance(t, n, 2)
	change(t, n, ChangeAddLearner, 9)
	change(t, n, ChangeAddLearner, 8)
	c.Assert(n.Status().Membership.Absences, qt.DeepEquals, []Absence{{9, 3}, {8, 3}})
	removed := leaderOf(t, n.Status().Membership)
	ackLast(t, removed, 2)
	change(t, removed, ChangeRemove, 3)
	c.Assert(removed.Status().Membership.Absences, qt.IsNil)
	advance(t, n, 2, 3)
	ackLast(t, n, 9)
	change(t, n, ChangePromote, 9)
	c.Assert(n.Status().Membership.Absences, qt.IsNil)
}
