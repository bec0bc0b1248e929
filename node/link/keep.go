package link

import (
	"context"
	"math/rand/v2"
	"time"
)

// RunWithBackoff runs once again and again until ctx is done, with a pause between that
// doubles from least to most. once tells whether it got somewhere; the next pause is
// then the least again. The pause is jittered by half of it either way, so that
// processes which lost one peer in the same instant don't come back in one.
func RunWithBackoff(ctx context.Context, least, most time.Duration, once func() bool) {
	pause := least
	for ctx.Err() == nil {
		if once() {
			pause = least
		}
		t := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		pause = min(2*pause, most)
	}
}
