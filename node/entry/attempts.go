package entry

import (
	"time"

	"almondseam.dev/core/api"
)

// Attempts is the simplest Retrier: a fixed number of attempts, at once.
type Attempts struct{ Most api.Attempt }

// First implements Retrier.
func (Attempts) First(api.CustomerID, time.Time) {}

// Next implements Retrier.
func (a Attempts) Next(_ api.CustomerID, n api.Attempt, err *api.Error, movable bool, _ time.Time) (bool, time.Duration) {
	return movable && n < a.Most && api.Reasons[err.Reason].Retry, 0
}
