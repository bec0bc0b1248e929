package admission

import (
	"math"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// New bounds that are set while requests wait apply to the next offer and the
// next bid. Requests that were queued under the old bounds stay queued.
func TestBoundsChangeWhileInUse(t *testing.T) {
	c := newTest(Config{Capacity: 1000, QueueLimit: 8})
	offer(t, c, epoch, note("r", "a", 900))
	c.Next(epoch)
	offer(t, c, epoch, note("q0", "a", 900), note("q1", "b", 900))
	refused := func(id string) api.Reason {
		r := note(id, "c", 900)
		v := c.Offer(r, epoch)
		if v.Queued {
			c.Cancel(r.ID, r.Attempt, epoch)
		}
		return v.Refuse
	}
	qt.Assert(t, refused("x"), qt.Equals, api.Reason(""))
	c.SetBounds(Bounds{QueueLimit: 2})
	qt.Assert(t, refused("x"), qt.Equals, api.ReasonQueueFull)
	c.SetBounds(Bounds{QueueLimit: 8})
	qt.Assert(t, refused("x"), qt.Equals, api.Reason(""))
	c.SetBounds(Bounds{WaitLimit: time.Millisecond})
	qt.Assert(t, refused("x"), qt.Equals, api.ReasonQueueFull)
	qt.Assert(t, c.Bid(note("x", "c", 900), epoch).Refuse, qt.Equals, api.ReasonQueueFull)
	c.SetBounds(Bounds{WaitLimit: time.Hour})
	qt.Assert(t, refused("x"), qt.Equals, api.Reason(""))
	qt.Assert(t, c.Snapshot(epoch).Waiting, qt.Equals, 2)
}

// A request with a long prompt can start at once on an idle target, so the wait
// limit must not refuse it. Otherwise every target would refuse it on every try.
func TestWaitLimitSparesWhatCanStart(t *testing.T) {
	c := newTest(Config{Capacity: 1000})
	c.SetBounds(Bounds{WaitLimit: time.Nanosecond})
	offer(t, c, epoch, note("r", "a", 900))
	qt.Assert(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"r"})
}

// The accepted overflow probability sets the margin in standard deviations. The
// increase that a preemption caused is kept when the probability changes.
func TestOverflowSetsTheMargin(t *testing.T) {
	c := newTest(Config{Capacity: 1000})
	margin := func() float64 { return math.Round(c.Snapshot(epoch).Margin*100) / 100 }
	for _, tt := range []struct{ p, want float64 }{{0.0228, 2}, {0.1587, 1}, {0.5, 0}, {0.0668, 1.5}} {
		c.SetBounds(Bounds{Overflow: tt.p})
		qt.Check(t, margin(), qt.Equals, tt.want)
	}
	c.Preempted("", 0, epoch)
	qt.Assert(t, margin(), qt.Equals, 1.8)
	c.SetBounds(Bounds{Overflow: 0.1587})
	qt.Assert(t, margin(), qt.Equals, 1.3)
}
