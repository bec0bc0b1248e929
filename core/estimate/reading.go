package estimate

import "time"

// PrefillEstimator estimates how fast the inference engines of one service process
// prompts (prefill) while other sequences run, in tokens per second. The zero value
// is ready to use. It is not safe for concurrent use.
type PrefillEstimator struct {
	// tokens and seconds are the weighted sums of the prompt tokens observed and
	// of the time that they took.
	tokens  float64
	seconds float64
}

const (
	// defaultPrefillSpeed is the estimate before the first observation, in tokens
	// per second.
	defaultPrefillSpeed = 7000.0
	// defaultWeight is the number of observed tokens that the default counts for.
	defaultWeight = 30_000.0
	// maxWeightTokens is the maximum number of tokens that an estimate is based
	// on. Beyond it, the weight of older observations decays.
	maxWeightTokens = 300_000.0
	// minPrefillSpeed and maxPrefillSpeed limit each observed speed and so the
	// estimate, in tokens per second: an engine that responds at once, or never,
	// says nothing about the other engines.
	minPrefillSpeed = 500.0
	maxPrefillSpeed = 500_000.0
)

// Observe records that an engine that had to process `tokens` prompt tokens began to
// respond after the duration `took`. It ignores values that are not positive.
func (r *PrefillEstimator) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	speed := min(max(float64(tokens)/took.Seconds(), minPrefillSpeed), maxPrefillSpeed)
	r.setDefault()
	r.tokens += float64(tokens)
	r.seconds += float64(tokens) / speed
	if r.tokens > maxWeightTokens {
		scale := maxWeightTokens / r.tokens
		r.tokens *= scale
		r.seconds *= scale
	}
}

// Speed returns the estimate in tokens per second.
func (r *PrefillEstimator) Speed() float64 {
	if r.seconds == 0 {
		return defaultPrefillSpeed
	}
	return r.tokens / r.seconds
}

// setDefault sets the sums for the default speed if nothing was observed yet.
func (r *PrefillEstimator) setDefault() {
	if r.seconds == 0 {
		r.tokens, r.seconds = defaultWeight, defaultWeight/defaultPrefillSpeed
	}
}
