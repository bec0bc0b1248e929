package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A peer is down for long and comes back. It must not be dialled without a pause
// meanwhile, nor be waited for after it was reached once.
func TestKeepPausesLongerAndStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var at []time.Time
		const reached = 6
		RunWithBackoff(ctx, 100*time.Millisecond, time.Second, func() bool {
			at = append(at, time.Now())
			if len(at) == 2*reached {
				cancel()
			}
			return len(at) == reached
		})
		for i := 1; i < len(at); i++ {
			gap := at[i].Sub(at[i-1])
			c.Assert(gap >= 50*time.Millisecond && gap <= 1500*time.Millisecond, qt.IsTrue)
		}
		c.Assert(at[reached-1].Sub(at[reached-2]) >= 500*time.Millisecond, qt.IsTrue)
		c.Assert(at[reached].Sub(at[reached-1]) <= 150*time.Millisecond, qt.IsTrue)
	})
}
