package link

import (
	"context"
	"math/rand/v2"
	"time"
)

// RunWithBackoff calls attempt repeatedly until ctx is done. The delay between two
// calls doubles from minDelay up to maxDelay and returns to minDelay after a call
// that returned true, which reports success. Each delay is jittered by up to half of
// it in either direction, so that processes that lost the same peer at the same
// moment do not all reconnect at once.
func RunWithBackoff(ctx context.Context, minDelay, maxDelay time.Duration, attempt func() bool) {
	delay := minDelay
	for ctx.Err() == nil {
		if attempt() {
			delay = minDelay
		}
		timer := time.NewTimer(delay/2 + rand.N(delay))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		delay = min(2*delay, maxDelay)
	}
}
