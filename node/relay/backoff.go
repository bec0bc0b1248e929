package relay

import (
	"context"
	"slices"
	"time"

	"almondseam.dev/core/targetstate"
)

// maxResumePause is the longest pause between two events for which the continuation of a stream
// waits for an engine in backoff. Callers give up a stream after a pause of two seconds or more.
const maxResumePause = 2 * time.Second

// resumeDeadline returns until when the continuation of the stream may wait.
func (s *streamRun) resumeDeadline() time.Time { return s.lastEventAt.Add(maxResumePause) }

// awaitBackoffEnd waits until a target is no longer in backoff. It returns false, without waiting,
// if that is after limit, and false if ctx ends first.
func awaitBackoffEnd(ctx context.Context, t *Target, limit time.Time) bool {
	for {
		status := t.state()
		now := time.Now()
		if status.Check(targetstate.UseHeld, now) == targetstate.None {
			return true
		}
		if status.BackoffUntil.After(limit) {
			return false
		}
		sleep(ctx, status.BackoffUntil.Sub(now))
		if ctx.Err() != nil {
			return false
		}
	}
}

// byBackoff returns the targets in the order in which their backoffs end; those that are not in
// backoff come first, in the order of list.
func byBackoff(list []*Target) []*Target {
	now := time.Now()
	left := func(t *Target) time.Duration { return max(0, t.state().BackoffUntil.Sub(now)) }
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b *Target) int { return int(left(a) - left(b)) })
	return out
}
