package control

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// An entry sends its first report whole and later ones without unchanged parts. After
// each one the leader must have the same data as after a whole report. A member that
// has not received the first report must not treat unchanged parts as empty.
func TestReportsOfChangesSayTheSameAsWholeOnes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	whole, deltas, late := newReports(), newReports(), newReports()
	var lastSent *Report
	targets := func(n int) []TargetReport {
		var out []TargetReport
		for i := range n {
			out = append(out, TargetReport{Target: api.TargetID(fmt.Sprintf("t%d", i)), Incarnation: 1})
		}
		return out
	}
	sizes := []int{}
	for i, step := range []struct {
		revision api.Revision
		targets  int
	}{{1, 3}, {1, 3}, {2, 3}, {2, 3}, {3, 2}, {4, 0}, {4, 0}} {
		r := Report{Instance: "e1", Site: "lhr", Revision: step.revision, Targets: targets(step.targets)}
		whole.record(r, now)
		sent := reportDelta(lastSent, r)
		b, err := Codec.Append(nil, sent)
		c.Assert(err, qt.IsNil)
		sizes = append(sizes, len(b))
		deltas.record(*sent, now)
		if i > 0 && (sent.Same || sent.SameTargets) && i < 4 {
			late.record(*sent, now)
			c.Assert(late.sites(now), qt.HasLen, 0)
		}
		lastSent = &r
		c.Assert(deltas.sites(now), qt.DeepEquals, whole.sites(now))
		c.Assert(deltas.targetList(now), qt.DeepEquals, whole.targetList(now))
		now = now.Add(time.Second)
	}
	c.Assert(sizes[1] < 12, qt.IsTrue, qt.Commentf("%v", sizes))
	c.Assert(sizes[2] < sizes[0]/2, qt.IsTrue, qt.Commentf("%v", sizes))
}
