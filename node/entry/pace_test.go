package entry

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// 400 targets link one after another. At every number of targets, their load
// reports together must stay within the entry's budget for them, and the first
// agent must be sent fewer than 12 intervals, not one for each target that links
// later.
func TestPaceKeepsReportsWithinTheirShare(t *testing.T) {
	h := newHarness(t)
	first := h.agent("t0", 1)
	for i := 1; i < 400; i++ {
		h.agent(api.TargetID(fmt.Sprintf("t%d", i)), 1)
		every := first.link.paces[len(first.link.paces)-1]
		bytes := float64((i+1)*reportSize) / every.Seconds()
		h.c.Assert(bytes <= reportBytesPerSecond*minPaceRatio || every == maxPace, qt.IsTrue, qt.Commentf("%d links: %.0f bytes a second", i+1, bytes))
	}
	h.c.Assert(len(first.link.paces) < 12, qt.IsTrue, qt.Commentf("%v", first.link.paces))
	h.c.Assert(reportInterval(1), qt.Equals, minPace)
	h.c.Assert(reportInterval(100_000), qt.Equals, maxPace)
	h.c.Assert(reportInterval(512), qt.Equals, 10*time.Second)
}
