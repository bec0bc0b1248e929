package control

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// An entry sends its report whole, then only what has changed. The leader must
// see at each step what a whole report would have shown, and a member that
// missed the beginning must not take "the same" for "nothing".
func TestReportsOfChangesSayTheSameAsWholeOnes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	whole, parts, late := newReports(), newReports(), newReports()
	var told *Report
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
		sent := reportDelta(told, r)
		b, err := Codec.Append(nil, sent)
		c.Assert(err, qt.IsNil)
		sizes = append(sizes, len(b))
		parts.record(*sent, now)
		if i > 0 && (sent.Same || sent.SameTargets) && i < 4 {
			late.record(*sent, now)
			c.Assert(late.sites(now), qt.HasLen, 0)
		}
		told = &r
		c.Assert(parts.sites(now), qt.DeepEquals, whole.sites(now))
		c.Assert(parts.targetList(now), qt.DeepEquals, whole.targetList(now))
		now = now.Add(time.Second)
	}
	c.Assert(sizes[1] < 12, qt.IsTrue, qt.Commentf("%v", sizes))
	c.Assert(sizes[2] < sizes[0]/2, qt.IsTrue, qt.Commentf("%v", sizes))
}
