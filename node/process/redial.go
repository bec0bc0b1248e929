package process

import (
	"context"
	"math/rand/v2"
	"time"
)

// Waits between dials: doubled from the first to the last, each cut by a random
// half, so that the processes of a zone do not all come back in the same
// instant.
const (
	firstRedial = 100 * time.Millisecond
	lastRedial  = 5 * time.Second
)

// redial runs a link again and again until ctx is done.
func redial(ctx context.Context, run func()) {
	wait := firstRedial
	for ctx.Err() == nil {
		start := time.Now()
		run()
		if time.Since(start) > lastRedial {
			wait = firstRedial
		}
		jittered := wait/2 + rand.N(wait/2)
		select {
		case <-time.After(jittered):
		case <-ctx.Done():
		}
		wait = min(2*wait, lastRedial)
	}
}
