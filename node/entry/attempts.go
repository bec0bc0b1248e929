package entry

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
)

// Attempts is the simplest Retrier: it allows at most Max attempts, with no delay
// between them.
type Attempts struct{ Max api.Attempt }

// First implements Retrier.
func (Attempts) First(api.CustomerID, time.Time) {}

// Next implements Retrier.
func (a Attempts) Next(last retry.Attempt, err *api.Error, safeToRetry bool, _ time.Time) (bool, time.Duration) {
	return safeToRetry && last.Number < a.Max && api.Reasons[err.Reason].Retry, 0
}
