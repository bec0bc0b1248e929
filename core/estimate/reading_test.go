package estimate

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Engines process prompts at half, once or twice the default speed. The estimate
// must be within 10% of their speed after 300 prompts, and return to the default
// speed when the engines do.
func TestReadingFollowsTheEngines(t *testing.T) {
	for _, speed := range []float64{defaultPrefillSpeed / 2, defaultPrefillSpeed, 2 * defaultPrefillSpeed} {
		c := qt.New(t)
		var r PrefillEstimator
		c.Assert(r.Speed(), qt.Equals, defaultPrefillSpeed)
		observe := func(speed float64) {
			for range 300 {
				r.Observe(3000, time.Duration(3000/speed*float64(time.Second)))
			}
		}
		observe(speed)
		c.Assert(math.Abs(r.Speed()/speed-1) < 0.1, qt.IsTrue, qt.Commentf("%v instead of %v", r.Speed(), speed))
		observe(defaultPrefillSpeed)
		c.Assert(math.Abs(r.Speed()/defaultPrefillSpeed-1) < 0.1, qt.IsTrue, qt.Commentf("%v", r.Speed()))
	}
}

// A target that responds at once, takes very long or reports impossible values must
// not move the estimate out of its limits. Otherwise no engine would be expected to
// meet the deadline of any request.
func TestReadingStaysInItsBounds(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		tokens int
		took   time.Duration
	}{{0, time.Second}, {-5, time.Second}, {3000, 0}, {3000, -time.Second}, {1, time.Hour}, {math.MaxInt32, 1}, {3000, math.MaxInt64}} {
		var r PrefillEstimator
		for range 1000 {
			r.Observe(tt.tokens, tt.took)
		}
		c.Assert(r.Speed() >= minPrefillSpeed && r.Speed() <= maxPrefillSpeed, qt.IsTrue, qt.Commentf("%+v: %v", tt, r.Speed()))
	}
}
