package consensus

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A peer that stops responding must cost only bounded memory: excess proposals and
// reads are rejected with an error, and at most MaxInflight appends are sent without
// an acknowledgement.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	n := leaderOf(t, threeVoters())
	ackLast(t, n, 2)
	ackLast(t, n, 3)
	c.Assert(n.Propose(make([]byte, 400)), qt.Equals, ErrTooLarge)
	for range 6 {
		c.Assert(n.Propose(make([]byte, 300)), qt.IsNil)
	}
	c.Assert(n.Propose(make([]byte, 300)), qt.Equals, ErrBusy)
	sent, _ := drain(n)
	c.Assert(len(sent), qt.Equals, 2*n.cfg.MaxInflight)
	for i := range n.cfg.MaxPendingReads {
		c.Assert(n.ReadIndex(uint64(i)), qt.IsNil)
	}
	c.Assert(n.ReadIndex(9), qt.Equals, ErrBusy)
}

// A caller compacts once the log exceeds a size. The entries kept for lagging peers
// must not keep the log above that size, or every batch would cause a snapshot.
func TestKeptEntriesAreBounded(t *testing.T) {
	c := qt.New(t)
	r, _ := Bootstrap(Membership{Voters: []Member{{1, "a"}}}, nil)
	cfg := testConfig(1)
	cfg.KeepEntries, cfg.KeepBytes = 100, 1000
	n, err := New(cfg, r)
	c.Assert(err, qt.IsNil)
	n.campaign(RolePreCandidate)
	for range 20 {
		drain(n)
		c.Assert(n.Propose(make([]byte, 300)), qt.IsNil)
	}
	drain(n)
	_, err = n.Compact(n.log.applied, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(n.Status().LogBytes, qt.Equals, uint64(3*(300+entryOverhead)))
}

// An inconsistent message, or one addressed to another member, such as the previous
// member at this address, is dropped with an error and changes nothing.
func TestBadMessages(t *testing.T) {
	entry := func(i, term uint64, ty EntryType) []Entry { return []Entry{{Index: i, Term: term, Type: ty}} }
	good := Membership{Voters: []Member{{1, "a"}}}
	for _, tc := range []struct {
		name string
		m    Message
		want error
	}{
		{"addressed to another member", Message{Type: MsgVote, From: 2, To: 9, Term: 9}, ErrWrongMember},
		{"no type", Message{From: 2, To: 1, Term: 9}, ErrMalformed},
		{"no sender", Message{Type: MsgVote, To: 1, Term: 9}, ErrMalformed},
		{"from itself", Message{Type: MsgVote, From: 1, To: 1, Term: 9}, ErrMalformed},
		{"no term", Message{Type: MsgVote, From: 2, To: 1}, ErrMalformed},
		{"log term above term", Message{Type: MsgVote, From: 2, To: 1, Term: 9, LogTerm: 10}, ErrMalformed},
		{"gap in entries", Message{Type: MsgAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: entry(3, 9, EntryCommand)}, ErrMalformed},
		{"entry term above term", Message{Type: MsgAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: entry(2, 10, EntryCommand)}, ErrMalformed},
		{"entry without type", Message{Type: MsgAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: entry(2, 9, 0)}, ErrMalformed},
		{"invalid membership", Message{Type: MsgAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: entry(2, 9, EntryMembership)}, ErrMalformed},
		{"entries in a vote", Message{Type: MsgVote, From: 2, To: 1, Term: 9, Entries: entry(1, 9, EntryCommand)}, ErrMalformed},
		{"snapshot without chunk", Message{Type: MsgSnapshot, From: 2, To: 1, Term: 9, Index: 5, LogTerm: 5}, ErrMalformed},
		{"chunk exceeds total size", Message{Type: MsgSnapshot, From: 2, To: 1, Term: 9, Index: 5, LogTerm: 5, Chunk: &SnapshotChunk{Membership: good, Total: 1, Data: make([]byte, 2)}}, ErrMalformed},
		{"snapshot too large", Message{Type: MsgSnapshot, From: 2, To: 1, Term: 9, Index: 5, LogTerm: 5, Chunk: &SnapshotChunk{Membership: good, Total: 1 << 40}}, ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r, _ := Bootstrap(threeVoters(), nil)
			n := newNode(t, r)
			c.Assert(errors.Is(n.Step(tc.m), tc.want), qt.IsTrue)
			c.Assert(n.HasReady(), qt.IsFalse)
		})
	}
}

// Inconsistent restored state must be rejected at the start: a member that has lost
// acknowledged entries must not vote.
func TestBadRestored(t *testing.T) {
	first, _ := Bootstrap(threeVoters(), nil)
	for name, change := range map[string]func(*Restored){
		"commit past the log": func(r *Restored) { r.HardState.Commit = 2 },
		"gap":                 func(r *Restored) { r.Entries = []Entry{{Index: 3, Term: 1, Type: EntryNoop}} },
		"term decreases":      func(r *Restored) { r.Snapshot.Term = 4; r.Entries = []Entry{{Index: 2, Term: 3, Type: EntryNoop}} },
		"membership":          func(r *Restored) { r.Entries = []Entry{{Index: 2, Term: 1, Type: EntryMembership}} },
	} {
		t.Run(name, func(t *testing.T) {
			r := first
			change(&r)
			_, err := New(testConfig(1), r)
			qt.Assert(t, errors.Is(err, ErrInvalidRestored), qt.IsTrue)
		})
	}
}

// Whatever bytes a peer sends, decoding and Step must not panic, and the commit index
// must not decrease.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Type: MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 2, Type: EntryCommand, Data: []byte("x")}}},
		{Type: MsgSnapshot, From: 2, To: 1, Term: 2, Index: 9, LogTerm: 2, Chunk: &SnapshotChunk{Membership: threeVoters(), Total: 1, Data: []byte("s")}},
		{Type: MsgVote, From: 3, To: 1, Term: 4, Index: 8, LogTerm: 3},
	} {
		b, _ := Encode(m)
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		r, _ := Bootstrap(threeVoters(), nil)
		n := newNode(t, r)
		for _, raw := range [][]byte{a, b} {
			var m Message
			if Decode(raw, &m) != nil {
				continue
			}
			before := n.log.commit
			_ = n.Step(m)
			drain(n)
			if n.log.commit < before {
				t.Fatalf("commit index decreased from %d to %d", before, n.log.commit)
			}
		}
	})
}
