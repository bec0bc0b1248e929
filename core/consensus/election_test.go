package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A group whose members have all restarted, and whose messages and saves take longer than the shorter
// election timeout, never elects a leader.
func TestInitialElectionsUseTheWholeTimeoutInTheEnd(t *testing.T) {
	c := qt.New(t)
	r, err := Bootstrap(threeVoters(), nil)
	c.Assert(err, qt.IsNil)
	n := newNode(t, r)
	for range maxInitialElections {
		c.Assert(n.electionTimeout < n.cfg.ElectionTicks, qt.IsTrue)
		n.campaign(RoleCandidate)
	}
	for range 10 {
		n.campaign(RoleCandidate)
		c.Assert(n.electionTimeout >= n.cfg.ElectionTicks, qt.IsTrue)
	}
}

// As above, in a group of six voters whose messages take up to eight ticks and saves up to three.
func TestRestartedGroupElectsALeaderWithLongDelays(t *testing.T) {
	runWithFaults(t, 3083)
}

// Two members that miss their leader in the same tick get each other's pre-votes, and then each votes for
// itself: the group waits for another election timeout.
func TestOneOfTwoCandidatesGoesFirst(t *testing.T) {
	for _, tt := range []struct {
		name   string
		from   MemberID
		index  uint64
		ticks  int
		reject bool
	}{
		{"a lower ID waits", 1, 1, 0, true},
		{"a higher ID goes first", 3, 1, 0, false},
		{"a longer log goes first", 1, 2, 0, false},
		{"answers are no longer on the way", 1, 1, precedenceTicks + 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r, err := Bootstrap(threeVoters(), nil)
			c.Assert(err, qt.IsNil)
			n, err := New(testConfig(2), r)
			c.Assert(err, qt.IsNil)
			n.campaign(RolePreCandidate)
			n.electionTimeout = n.cfg.ElectionTicks
			for range tt.ticks {
				n.Tick()
			}
			drain(n)
			step(t, n, Message{Type: MsgPreVote, From: tt.from, Term: n.term + 1, Index: tt.index, LogTerm: 1})
			sent, _ := drain(n)
			c.Assert(sent[len(sent)-1].Type, qt.Equals, MsgPreVoteAck)
			c.Assert(sent[len(sent)-1].Reject, qt.Equals, tt.reject)
		})
	}
}
