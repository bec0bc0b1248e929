package retrybudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Unix(1000, 0)

// countBetween returns how many of the times in list are in the interval [from, to).
func countBetween(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestOwnPartStaysUnderTheRatioInAnyWindow guards against retries that double the load of a
// service that fails for all callers.
func TestOwnPartStaysUnderTheRatioInAnyWindow(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Ratio: 0.2, Window: 10 * time.Second}
	o := NewLocalBudget(limits, t0)
	var requests, retries []time.Time
	for i := range 3000 {
		now := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		if i/500%2 == 0 { // ten seconds with requests, ten without
			o.First(now)
			requests = append(requests, now)
		}
		if o.Take(now).OK {
			retries = append(retries, now)
		}
	}
	for _, end := range retries {
		from := end.Add(-limits.Window)
		most := max(countBetween(requests, from, end), countBetween(requests, from.Add(-limits.Window), from), countBetween(requests, from.Add(-limits.Window/2), end.Add(-limits.Window/2)))
		c.Assert(float64(countBetween(retries, from, end)) <= limits.Ratio*float64(most), qt.IsTrue)
	}
	c.Assert(len(retries) > 100, qt.IsTrue)
}

// A retry that was taken but not sent must no longer count once it is returned, and a second
// return must not free another one.
func TestOwnRetryIsGivenBack(t *testing.T) {
	c := qt.New(t)
	o := NewLocalBudget(Limits{Ratio: 0.2, Window: 10 * time.Second}, t0)
	for range 10 {
		o.First(t0)
	}
	c.Assert(o.Take(t0).OK, qt.IsTrue)
	c.Assert(o.Take(t0).OK, qt.IsFalse)
	o.GiveBack(t0)
	o.GiveBack(t0)
	c.Assert(o.Take(t0.Add(time.Second)).OK, qt.IsTrue)
	c.Assert(o.Take(t0.Add(time.Second)), qt.Equals, Verdict{Used: 1, Allowed: 1})
}

// A request allows retries only within one window after it.
func TestOldRequestsPayForNothing(t *testing.T) {
	c := qt.New(t)
	o := NewLocalBudget(Limits{Ratio: 1, Window: 10 * time.Second}, t0)
	for range 10 {
		o.First(t0)
	}
	c.Assert(o.Take(t0.Add(9*time.Second)).Allowed, qt.Equals, 5.0)
	c.Assert(o.Take(t0.Add(10*time.Second)).Allowed, qt.Equals, 0.0)
}

// TestRetriesOfAWholeWindowAreCounted guards against a retry that is no longer counted while it
// is still in the window.
func TestRetriesOfAWholeWindowAreCounted(t *testing.T) {
	c := qt.New(t)
	o := NewLocalBudget(Limits{Ratio: 1, Window: 10 * time.Second}, t0)
	early, late := t0.Add(450*time.Millisecond), t0.Add(10*time.Second)
	for _, at := range []time.Time{early, late} {
		o.First(at)
		o.First(at)
		c.Assert(o.Take(at).OK, qt.Equals, at.Equal(early))
	}
}
