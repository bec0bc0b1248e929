package entry

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
)

// Attempts is the simplest Retrier: a fixed number of attempts, at once.
type Attempts struct{ Max api.Attempt }

// First implements Retrier.
func (Attempts) First(api.CustomerID, time.Time) {}

// Next implements Retrier.
func (a Attempts) Next(last retry.Attempt, err *api.Error, movable bool, _ time.Time) (bool, time.Duration) {
	return movable && last.Number < a.Max && api.Reasons[err.Reason].Retry, 0
}
