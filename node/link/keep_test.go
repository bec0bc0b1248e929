package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A peer that is down for a long time must not be dialled in a tight loop, so the
// delay between attempts grows. After an attempt has succeeded, the delay must start
// at the minimum again.
func TestRunWithBackoffGrowsAndResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var attempts []time.Time
		const successfulAttempt = 6
		RunWithBackoff(ctx, 100*time.Millisecond, time.Second, func() bool {
			attempts = append(attempts, time.Now())
			if len(attempts) == 2*successfulAttempt {
				cancel()
			}
			return len(attempts) == successfulAttempt
		})
		for i := 1; i < len(attempts); i++ {
			gap := attempts[i].Sub(attempts[i-1])
			c.Assert(gap >= 50*time.Millisecond && gap <= 1500*time.Millisecond, qt.IsTrue)
		}
		c.Assert(attempts[successfulAttempt-1].Sub(attempts[successfulAttempt-2]) >= 500*time.Millisecond, qt.IsTrue)
		c.Assert(attempts[successfulAttempt].Sub(attempts[successfulAttempt-1]) <= 150*time.Millisecond, qt.IsTrue)
	})
}
