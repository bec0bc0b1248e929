package repeats

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A service fails for all its callers at once. Were each failed request repeated,
// the service would get twice the load when it can bear it least; in any window
// the repeats stay under the fleet's share however the requests come.
func TestRepeatsStayUnderTheLimitInAnyWindow(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	const entries = 5
	b := New(limits)
	start := time.Unix(1000, 0)
	var firsts, repeats []time.Time
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		if i/500%2 == 0 { // ten seconds of load, ten of little
			b.First(now)
			firsts = append(firsts, now)
		}
		if b.Take(now, entries).OK {
			repeats = append(repeats, now)
		}
	}
	in := func(list []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range list {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	for _, end := range repeats {
		from := end.Add(-limits.Window)
		most := max(in(firsts, from, end), in(firsts, from.Add(-limits.Window), from), in(firsts, from.Add(-limits.Window/2), end.Add(-limits.Window/2)))
		c.Assert(float64(in(repeats, from, end)) <= limits.Ratio*float64(most)+limits.Slack/entries, qt.IsTrue)
	}
	c.Assert(len(repeats) > 100, qt.IsTrue)
}

// A repeat that was taken and could not be sent counts no more.
func TestRepeatIsGivenBack(t *testing.T) {
	c := qt.New(t)
	b := New(Limits{Slack: 1 / headroom, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	c.Assert(b.Take(now, 1).OK, qt.IsTrue)
	c.Assert(b.Take(now, 1).OK, qt.IsFalse)
	b.GiveBack(now)
	b.GiveBack(now)
	c.Assert(b.Take(now.Add(time.Second), 1).OK, qt.IsTrue)
	c.Assert(b.Take(now.Add(time.Second), 1), qt.Equals, Verdict{Used: 1, Allowed: 1})
}
