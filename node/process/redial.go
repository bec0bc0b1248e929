package process

import (
	"context"
	"time"

	"almondseam.dev/node/link"
)

// Bounds of the delay between two dials, see link.RunWithBackoff.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// redial calls run repeatedly until ctx is done. run dials a link and returns when it
// has ended. A link that lasted longer than maxRedialDelay resets the delay.
func redial(ctx context.Context, run func()) {
	link.RunWithBackoff(ctx, minRedialDelay, maxRedialDelay, func() bool {
		start := time.Now()
		run()
		return time.Since(start) > maxRedialDelay
	})
}
