package estimate

import "time"

// Reading estimates how fast the engines of one service read prompts beside their
// running streams, in tokens a second. The zero value is ready; it is not safe for
// concurrent use.
type Reading struct {
	tokens  float64
	seconds float64
}

const (
	// usualReading holds until engines have been seen to read, in tokens a second.
	usualReading = 7000.0
	// usualWeight is how many tokens that first value counts for.
	usualWeight = 30_000.0
	// readingKept is how many tokens an estimate is made of: older ones fade.
	readingKept = 300_000.0
	// leastReading and mostReading bound the estimate, in tokens a second: an engine
	// that answers at once, or never, says nothing of the others.
	leastReading = 500.0
	mostReading  = 500_000.0
)

// Learn takes that an engine began to answer after a time in which it had so many
// tokens to read. What can't be is left out.
func (r *Reading) Learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	speed := min(max(float64(tokens)/took.Seconds(), leastReading), mostReading)
	r.start()
	r.tokens += float64(tokens)
	r.seconds += float64(tokens) / speed
	if r.tokens > readingKept {
		fade := readingKept / r.tokens
		r.tokens *= fade
		r.seconds *= fade
	}
}

// Speed is the estimate in tokens a second.
func (r *Reading) Speed() float64 {
	if r.seconds == 0 {
		return usualReading
	}
	return r.tokens / r.seconds
}

func (r *Reading) start() {
	if r.seconds == 0 {
		r.tokens, r.seconds = usualWeight, usualWeight/usualReading
	}
}
