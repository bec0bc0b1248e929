package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReportOfAnotherWriterHidesNothing guards against a report that another writer sends under a target's
// name: the target's own report that it is leaving must take effect after it.
func TestReportOfAnotherWriterHidesNothing(t *testing.T) {
	d, now := New(), time.Unix(0, 0)
	own := Record{Target: "t", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: 4, Born: 1779275596029, State: StateReady}
	d.Announce(own, now)
	foreign := Record{Target: "t", Service: "other", Address: "10.0.0.1:1", Sequence: 1779275600, State: StateReady}
	qt.Assert(t, d.Announce(foreign, now), qt.HasLen, 0)
	qt.Assert(t, d.Merge(foreign, now), qt.HasLen, 0)
	own.Sequence, own.State = 5, StateLeaving
	qt.Assert(t, d.Announce(own, now), qt.DeepEquals, []Record{own})
	// A deregistration names the target by its path, and need not state its run.
	gone := d.Leave("t", 0, now)
	qt.Assert(t, gone, qt.HasLen, 1)
	qt.Assert(t, gone[0].State, qt.Equals, StateGone)
}
