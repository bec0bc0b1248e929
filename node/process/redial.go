package process

import (
	"context"
	"time"

	"almondseam.dev/node/link"
)

// Waits between dials, see link.RunWithBackoff.
const (
	firstRedial = 100 * time.Millisecond
	lastRedial  = 5 * time.Second
)

// redial runs a link again and again until ctx is done. One that stood for a while
// counts as reached.
func redial(ctx context.Context, run func()) {
	link.RunWithBackoff(ctx, firstRedial, lastRedial, func() bool {
		start := time.Now()
		run()
		return time.Since(start) > lastRedial
	})
}
