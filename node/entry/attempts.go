package entry

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
)

// Attempts is the simplest Retrier: a fixed number of attempts, at once.
type Attempts struct{ Most api.Attempt }

// First implements Retrier.
func (Attempts) First(api.CustomerID, time.Time) {}

// Next implements Retrier.
func (a Attempts) Next(last retry.Attempt, err *api.Error, movable bool, _ time.Time) (bool, time.Duration) {
	return movable && last.Number < a.Most && api.Reasons[err.Reason].Retry, 0
}
