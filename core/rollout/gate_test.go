package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An entry instance starts and follows a member that is partitioned and holds an old
// revision. Documents of that member must not be put in force before a majority has
// reported the lowest revision that may be served, nor may an older one afterwards.
func TestGateServesNothingOld(t *testing.T) {
	c := qt.New(t)
	var g Gate[[]byte]
	_, ok := g.Take(4, []byte("old"))
	c.Assert(ok, qt.IsFalse)
	_, ok = g.Confirm(6)
	c.Assert(ok, qt.IsFalse)
	_, ok = g.Take(5, []byte("still old"))
	c.Assert(ok, qt.IsFalse)
	doc, ok := g.Take(6, []byte("six"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(doc), qt.Equals, "six")
	_, ok = g.Take(5, []byte("late"))
	c.Assert(ok, qt.IsFalse)
	_, ok = g.Confirm(9)
	c.Assert(ok, qt.IsFalse)
	_, ok = g.Take(7, []byte("seven"))
	c.Assert(ok, qt.IsTrue)
}
