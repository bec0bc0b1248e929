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
