package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func testConfig(id MemberID) Config {
	return Config{ID: id, MaxBatchBytes: 400, MaxInflight: 4, MaxUncommittedBytes: 2000, MaxPendingReads: 3, KeepEntries: 4, Rand: rand.New(rand.NewPCG(uint64(id), 3))}
}

func threeVoters() Membership {
	return Membership{Voters: []Member{{1, "a"}, {2, "b"}, {3, "c"}}}
}

func newNode(t testing.TB, r Restored) *Node {
	n, err := New(testConfig(1), r)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// drain processes all Ready batches. It returns the batches and their Messages.
func drain(n *Node) (sent []Message, rds []Ready) {
	for n.HasReady() {
		rd := n.Ready()
		sent, rds = append(sent, rd.Messages...), append(rds, rd)
		n.Advance()
	}
	return sent, rds
}

// elect makes n, which is member 1, the leader by the vote of member 2.
func elect(t testing.TB, n *Node) {
	for range 2 * n.cfg.ElectionTicks {
		if n.role == RoleFollower {
			n.Tick()
		}
	}
	for _, answer := range []MessageType{MsgPreVoteAck, MsgVoteAck} {
		term := n.term
		if answer == MsgPreVoteAck {
			term++
		}
		drain(n)
		step(t, n, Message{Type: answer, From: 2, Term: term})
	}
	if n.role != RoleLeader {
		t.Fatalf("not elected: %+v", n.Status())
	}
	drain(n)
}

func step(t testing.TB, n *Node, m Message) {
	t.Helper()
	m.To = n.id
	if err := n.Step(m); err != nil {
		t.Fatal(err)
	}
}

func leaderOf(t testing.TB, m Membership) *Node {
	r, err := Bootstrap(m, nil)
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(t, r)
	elect(t, n)
	return n
}

// ackLast acknowledges n's whole log on behalf of member from.
func ackLast(t testing.TB, n *Node, from MemberID) {
	drain(n)
	step(t, n, Message{Type: MsgAppendAck, From: from, Term: n.term, Index: n.log.last()})
	drain(n)
}

// A voter that has granted its vote and restarts must reject a second candidate in
// the same term, because its vote is restored from disk. Otherwise two candidates
// could win the same term, and callers would get different answers from two leaders.
func TestVoteOutlivesRestart(t *testing.T) {
	c := qt.New(t)
	r, _ := Bootstrap(threeVoters(), nil)
	n := newNode(t, r)
	step(t, n, Message{Type: MsgVote, From: 2, Term: 5, Index: 1, LogTerm: 1})
	sent, rds := drain(n)
	c.Assert(sent[0].Reject, qt.IsFalse)
	c.Assert(rds[0].MustSync, qt.IsTrue)
	c.Assert(rds[0].HardState, qt.Equals, HardState{Term: 5, Vote: 2, Commit: 1})
	r.HardState = rds[0].HardState
	n = newNode(t, r)
	step(t, n, Message{Type: MsgVote, From: 3, Term: 5, Index: 1, LogTerm: 1})
	sent, _ = drain(n)
	c.Assert(sent[0].Reject, qt.IsTrue)
}

// A leader must not commit an entry of an earlier term only because a majority
// holds it: a later leader may still overwrite it, and an applied command would be
// lost. It is committed together with the first entry of the leader's own term.
func TestEarlierTermCommitsOnlyWithOwn(t *testing.T) {
	c := qt.New(t)
	r, _ := Bootstrap(threeVoters(), nil)
	r.HardState.Term = 3
	r.Entries = []Entry{{Index: 2, Term: 2, Type: EntryCommand, Data: []byte("old")}}
	n := newNode(t, r)
	elect(t, n)
	step(t, n, Message{Type: MsgAppendAck, From: 2, Term: n.term, Index: 2})
	c.Assert(n.log.commit, qt.Equals, uint64(1))
	step(t, n, Message{Type: MsgAppendAck, From: 2, Term: n.term, Index: 3})
	c.Assert(n.log.commit, qt.Equals, uint64(3))
}

// The leader's own copy counts towards a majority only once it is saved. Otherwise
// the leader could answer a caller, crash and restart without the entry.
func TestOwnCopyCountsOnceSaved(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, Membership{Voters: []Member{{1, "a"}, {2, "b"}}})
	ackLast(t, n, 2)
	c.Assert(n.Propose([]byte("x")), qt.IsNil)
	n.Ready()
	step(t, n, Message{Type: MsgAppendAck, From: 2, Term: n.term, Index: 3})
	c.Assert(n.log.commit, qt.Equals, uint64(2))
	n.Advance()
	c.Assert(n.log.commit, qt.Equals, uint64(3))
}

// In a group with one voter, the voter becomes leader before its new term is saved.
// If it sent an append now and crashed, it could lead in the same term again and
// create a different entry with the same index and term. So the append must wait
// for the save. Later appends need not wait, but acknowledgements always do.
func TestEarlyOnlyInDurableTerm(t *testing.T) {
	c := qt.New(t)
	r, _ := Bootstrap(Membership{Voters: []Member{{1, "a"}}, Learners: []Member{{2, "b"}}}, nil)
	cfg := testConfig(1)
	cfg.EarlySend = true
	n, err := New(cfg, r)
	c.Assert(err, qt.IsNil)
	n.campaign(RolePreCandidate)
	rd := n.Ready()
	c.Assert(rd.Early, qt.HasLen, 0)
	c.Assert(rd.Messages, qt.HasLen, 1)
	n.Advance()
	ackLast(t, n, 2)
	c.Assert(n.Propose([]byte("x")), qt.IsNil)
	n.send(Message{Type: MsgAppendAck, To: 2})
	rd = n.Ready()
	c.Assert(rd.Early, qt.HasLen, 1)
	c.Assert(rd.Early[0].Type, qt.Equals, MsgAppend)
	c.Assert(rd.Messages, qt.HasLen, 1)
}

// Checks each reason for which a membership change is rejected. A rejected change
// must leave the membership unchanged.
func TestChangeRefusals(t *testing.T) {
	learner := Change{Type: ChangeAddLearner, ID: 9, Addr: "z"}
	add := func(t testing.TB, n *Node) {
		if err := n.ProposeChange(learner); err != nil {
			t.Fatal(err)
		}
	}
	for _, tc := range []struct {
		name   string
		setup  func(t testing.TB, n *Node)
		change Change
		want   error
	}{
		{"before the first commit of the term", nil, learner, ErrNotReady},
		{"another change is pending", func(t testing.TB, n *Node) { ackLast(t, n, 2); add(t, n) }, Change{Type: ChangeRemove, ID: 3}, ErrChangePending},
		{"member exists", func(t testing.TB, n *Node) { ackLast(t, n, 2) }, Change{Type: ChangeAddLearner, ID: 2}, ErrMemberExists},
		{"unknown member", func(t testing.TB, n *Node) { ackLast(t, n, 2) }, Change{Type: ChangeRemove, ID: 8}, ErrUnknownMember},
		{"not a learner", func(t testing.TB, n *Node) { ackLast(t, n, 2) }, Change{Type: ChangePromote, ID: 2}, ErrNotLearner},
		{"learner is inactive and lags", func(t testing.TB, n *Node) {
			ackLast(t, n, 2)
			add(t, n)
			ackLast(t, n, 2)
			for range maxPromoteLag {
				_ = n.Propose(nil)
				ackLast(t, n, 2)
			}
		}, Change{Type: ChangePromote, ID: 9}, ErrNotCaughtUp},
		{"learner has acknowledged nothing", func(t testing.TB, n *Node) {
			ackLast(t, n, 2)
			add(t, n)
			ackLast(t, n, 2)
		}, Change{Type: ChangePromote, ID: 9}, ErrNotCaughtUp},
		{"other voter is inactive", func(t testing.TB, n *Node) {
			ackLast(t, n, 2)
			for range n.cfg.ElectionTicks {
				n.Tick()
				step(t, n, Message{Type: MsgHeartbeatAck, From: 2, Term: n.term})
			}
		}, Change{Type: ChangeRemove, ID: 2}, ErrWouldLoseQuorum},
		{"leadership transfer in progress", func(t testing.TB, n *Node) { ackLast(t, n, 2); _ = n.TransferLeadership(3) }, learner, ErrTransferring},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			n := leaderOf(t, threeVoters())
			if tc.setup != nil {
				tc.setup(t, n)
			}
			before := n.Status().Membership
			c.Assert(errors.Is(n.ProposeChange(tc.change), tc.want), qt.IsTrue, qt.Commentf("%v", n.ProposeChange(tc.change)))
			c.Assert(n.Status().Membership, qt.DeepEquals, before)
		})
	}
}

// Copies on learners don't count towards a majority: an entry that only the leader
// and learners hold would be lost with the leader.
func TestLearnersDoNotCommit(t *testing.T) {
	c := qt.New(t)
	m := threeVoters()
	m.Learners = []Member{{4, "d"}, {5, "e"}}
	n := leaderOf(t, m)
	ackLast(t, n, 4)
	ackLast(t, n, 5)
	c.Assert(n.log.commit, qt.Equals, uint64(1))
	ackLast(t, n, 3)
	c.Assert(n.log.commit, qt.Equals, uint64(2))
}

// A read completes only after a majority of voters has confirmed the leader since
// the read was requested. Acknowledgements of an earlier round and those of learners
// don't count. If leadership ends first, the read is reported as lost.
func TestReadWaitsForMajority(t *testing.T) {
	c := qt.New(t)
	m := threeVoters()
	m.Learners = []Member{{4, "d"}}
	n := leaderOf(t, m)
	reads := func() (out []ReadState) {
		_, rds := drain(n)
		for _, rd := range rds {
			out = append(out, rd.Reads...)
		}
		return out
	}
	c.Assert(n.ReadIndex(7), qt.IsNil)
	c.Assert(reads(), qt.HasLen, 0, qt.Commentf("read completed before the first commit of the term"))
	ackLast(t, n, 2)
	step(t, n, Message{Type: MsgHeartbeatAck, From: 2, Term: n.term, Round: 0})
	step(t, n, Message{Type: MsgHeartbeatAck, From: 4, Term: n.term, Round: 1})
	c.Assert(reads(), qt.HasLen, 0)
	step(t, n, Message{Type: MsgHeartbeatAck, From: 3, Term: n.term, Round: 1})
	c.Assert(reads(), qt.DeepEquals, []ReadState{{Ctx: 7, Index: 2}})
	c.Assert(n.ReadIndex(8), qt.IsNil)
	for range n.cfg.ElectionTicks + 1 {
		n.Tick()
	}
	c.Assert(reads(), qt.DeepEquals, []ReadState{{Ctx: 8, Lost: true}})
}

// follower returns member 1 as a follower of member 2, with entries 2..last of term
// 2 saved and not committed.
func follower(t testing.TB, last uint64) *Node {
	r, _ := Bootstrap(threeVoters(), nil)
	n := newNode(t, r)
	m := Message{Type: MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1}
	for i := uint64(2); i <= last; i++ {
		m.Entries = append(m.Entries, Entry{Index: i, Term: 2, Type: EntryCommand})
	}
	step(t, n, m)
	drain(n)
	return n
}

// A member that returns with a later term requests votes while the leader is alive.
// A voter that hears from the leader must ignore the request, or callers would see a
// needless election. Only a forced vote request passes.
func TestLeaseShieldsLeader(t *testing.T) {
	c := qt.New(t)
	n := follower(t, 2)
	for _, ask := range []MessageType{MsgPreVote, MsgVote} {
		step(t, n, Message{Type: ask, From: 3, Term: 9, Index: 9, LogTerm: 8})
	}
	c.Assert(n.HasReady(), qt.IsFalse)
	step(t, n, Message{Type: MsgVote, From: 3, Term: 9, Index: 9, LogTerm: 8, Force: true})
	c.Assert(n.term, qt.Equals, uint64(9))
}

// When an uncommitted membership entry is overwritten, the previous membership must
// take effect again. Otherwise the member would count majorities by the wrong voters.
func TestMembershipFallsBack(t *testing.T) {
	c := qt.New(t)
	n := follower(t, 2)
	four, _ := threeVoters().apply(Change{Type: ChangeAddLearner, ID: 4})
	step(t, n, Message{Type: MsgAppend, From: 2, Term: 2, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 2, Type: EntryMembership, Data: encodeMembership(four)}}})
	c.Assert(n.members().IsLearner(4), qt.IsTrue)
	step(t, n, Message{Type: MsgAppend, From: 3, Term: 3, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 3, Type: EntryNoop}}})
	c.Assert(n.members(), qt.DeepEquals, threeVoters())
}

// A snapshot whose last entry the log already holds must not drop the entries after
// it: they were acknowledged, and the leader counts them.
func TestSnapshotKeepsAcknowledged(t *testing.T) {
	c := qt.New(t)
	n := follower(t, 5)
	step(t, n, Message{Type: MsgSnapshot, From: 2, Term: 2, Index: 3, LogTerm: 2, Chunk: &SnapshotChunk{Membership: threeVoters()}})
	_, rds := drain(n)
	c.Assert(n.log.last(), qt.Equals, uint64(5))
	c.Assert(n.log.commit, qt.Equals, uint64(3))
	c.Assert(rds[0].Snapshot, qt.IsNil)
}

// A leader fails after sending half of a snapshot, and the next leader continues. It
// may have encoded the same state differently, so a mixture of their chunks would be
// corrupt and the transfer must start again.
func TestSnapshotOfOneLeaderOnly(t *testing.T) {
	c := qt.New(t)
	n := newNode(t, Restored{})
	chunk := func(from MemberID, term, offset uint64, data string) {
		step(t, n, Message{Type: MsgSnapshot, From: from, Term: term, Index: 9, LogTerm: 2, Chunk: &SnapshotChunk{Membership: threeVoters(), Offset: offset, Total: 4, Data: []byte(data)}})
	}
	chunk(2, 2, 0, "aa")
	chunk(3, 3, 2, "bb")
	sent, rds := drain(n)
	c.Assert(rds[len(rds)-1].Snapshot, qt.IsNil)
	c.Assert(sent[len(sent)-1].Hint, qt.Equals, uint64(0), qt.Commentf("must request the snapshot from offset 0"))
	chunk(3, 3, 0, "bb")
	chunk(3, 3, 2, "bb")
	_, rds = drain(n)
	c.Assert(string(rds[0].Snapshot.Data), qt.Equals, "bbbb")
}

// A new leader overwrites entries while they are being saved. After the save, only
// the entries that are still in the log count as durable; the others must be saved
// again.
func TestOverwrittenDuringSave(t *testing.T) {
	c := qt.New(t)
	n := follower(t, 2)
	step(t, n, Message{Type: MsgAppend, From: 2, Term: 2, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 2, Type: EntryNoop}, {Index: 4, Term: 2, Type: EntryNoop}}})
	n.Ready()
	step(t, n, Message{Type: MsgAppend, From: 3, Term: 3, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 4, Term: 3, Type: EntryNoop}}})
	n.Advance()
	c.Assert(n.log.stable, qt.Equals, uint64(3))
	c.Assert(n.Ready().Entries, qt.DeepEquals, []Entry{{Index: 4, Term: 3, Type: EntryNoop}})
}

// An append carries a commit index beyond its own entries. This member's entries
// beyond them may come from an earlier leader, so it must commit only up to the last
// index at which the append shows that the logs match.
func TestCommitOnlyWhatAppendProves(t *testing.T) {
	c := qt.New(t)
	n := follower(t, 5)
	step(t, n, Message{Type: MsgAppend, From: 3, Term: 3, Index: 2, LogTerm: 2, Commit: 5})
	c.Assert(n.log.commit, qt.Equals, uint64(2))
}

// The last append before a period without proposals is lost. The leader must notice
// this at the next heartbeat acknowledgement and send an empty append, which shows
// where the logs match.
func TestLostAppendIsFound(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, threeVoters())
	ackLast(t, n, 2)
	c.Assert(n.Propose(nil), qt.IsNil)
	drain(n)
	step(t, n, Message{Type: MsgHeartbeatAck, From: 2, Term: n.term})
	sent, _ := drain(n)
	c.Assert(sent, qt.DeepEquals, []Message{{Type: MsgAppend, From: 1, To: 2, Term: n.term, Index: 3, LogTerm: n.term, Commit: 2}})
}

// Leadership is transferred to a lagging voter only once it has the whole log.
// Otherwise it would campaign and lose, and the group would have no leader meanwhile.
func TestTransferWaitsForLog(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, threeVoters())
	ackLast(t, n, 2)
	c.Assert(n.TransferLeadership(3), qt.IsNil)
	sent, _ := drain(n)
	for _, m := range sent {
		c.Assert(m.Type, qt.Not(qt.Equals), MsgTimeoutNow)
	}
	step(t, n, Message{Type: MsgAppendAck, From: 3, Term: n.term, Index: n.log.last()})
	sent, _ = drain(n)
	c.Assert(sent[0].Type, qt.Equals, MsgTimeoutNow)
}

// A leader that an operator removes must continue until its removal is committed,
// then step down and tell another voter to start an election. It must not lead a
// group that it is no longer a member of.
func TestRemovedLeaderStepsDown(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, threeVoters())
	ackLast(t, n, 2)
	c.Assert(n.ProposeChange(Change{Type: ChangeRemove, ID: 1}), qt.IsNil)
	ackLast(t, n, 2)
	c.Assert(n.role, qt.Equals, RoleLeader, qt.Commentf("one of the two remaining voters is not a majority"))
	step(t, n, Message{Type: MsgAppendAck, From: 3, Term: n.term, Index: n.log.last()})
	sent, _ := drain(n)
	c.Assert(n.role, qt.Equals, RoleFollower)
	c.Assert(sent[len(sent)-1].Type, qt.Equals, MsgTimeoutNow)
}

// A crash after entries were saved but before the hard state was saved leaves a log
// with a later term. The member must not campaign in a term below that of its log.
func TestTermOfSavedEntries(t *testing.T) {
	c := qt.New(t)
	r, _ := Bootstrap(threeVoters(), nil)
	r.HardState.Vote = 3
	r.Entries = []Entry{{Index: 2, Term: 6, Type: EntryCommand}}
	n := newNode(t, r)
	c.Assert(n.hard(), qt.Equals, HardState{Term: 6, Commit: 1})
	_, rds := drain(n)
	c.Assert(rds[0].MustSync, qt.IsTrue)
}
