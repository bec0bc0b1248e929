package entry

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// Targets announce themselves until there are 400. The reports of all of them
// together must stay within the entry's share at every size, and the first agent
// is told a handful of times, not once for each that follows.
func TestPaceKeepsReportsWithinTheirShare(t *testing.T) {
	b := newBench(t)
	first := b.agent("t0", 1)
	for i := 1; i < 400; i++ {
		b.agent(api.TargetID(fmt.Sprintf("t%d", i)), 1)
		every := first.link.paces[len(first.link.paces)-1]
		bytes := float64((i+1)*reportSize) / every.Seconds()
		b.c.Assert(bytes <= reportBytes*paceChange || every == maxPace, qt.IsTrue, qt.Commentf("%d links: %.0f bytes a second", i+1, bytes))
	}
	b.c.Assert(len(first.link.paces) < 12, qt.IsTrue, qt.Commentf("%v", first.link.paces))
	b.c.Assert(paceFor(1), qt.Equals, minPace)
	b.c.Assert(paceFor(100_000), qt.Equals, maxPace)
	b.c.Assert(paceFor(512), qt.Equals, 10*time.Second)
}
