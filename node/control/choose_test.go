package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two members of five are cut off, and an entry was linked to one of them. It must
// come to one of the other three at once: what they accept has to be in force
// within two seconds. Only when all have failed is any of them tried again.
func TestClientLeavesOutWhatFailedOfLate(t *testing.T) {
	c := qt.New(t)
	cl := NewClient(ClientOptions{Seeds: []string{"a", "b", "c"}})
	cl.learn([]string{"a", "b", "c", "d", "e"})
	now := time.Now()
	cl.fail("a")
	cl.fail("b")
	seen := map[string]bool{}
	for range 200 {
		seen[cl.choose(now)] = true
	}
	c.Assert(seen, qt.DeepEquals, map[string]bool{"c": true, "d": true, "e": true})
	for _, a := range []string{"c", "d", "e"} {
		cl.fail(a)
	}
	c.Assert(cl.choose(now), qt.Not(qt.Equals), "")
	seen = map[string]bool{}
	for range 200 {
		seen[cl.choose(now.Add(2*avoidFailed))] = true
	}
	c.Assert(seen, qt.HasLen, 5)
}
