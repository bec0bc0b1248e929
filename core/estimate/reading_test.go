package estimate

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Engines read at half or twice the speed that is taken at the start. The estimate
// follows within some tens of prompts, and follows back.
func TestReadingFollowsTheEngines(t *testing.T) {
	for _, speed := range []float64{usualReading / 2, usualReading, 2 * usualReading} {
		c := qt.New(t)
		var r Reading
		c.Assert(r.Speed(), qt.Equals, usualReading)
		learn := func(speed float64) {
			for range 300 {
				r.Learn(3000, time.Duration(3000/speed*float64(time.Second)))
			}
		}
		learn(speed)
		c.Assert(math.Abs(r.Speed()/speed-1) < 0.1, qt.IsTrue, qt.Commentf("%v instead of %v", r.Speed(), speed))
		learn(usualReading)
		c.Assert(math.Abs(r.Speed()/usualReading-1) < 0.1, qt.IsTrue, qt.Commentf("%v", r.Speed()))
	}
}

// A target that answers at once, takes for ever, or reports nonsense must not move the
// estimate out of its bounds, or no request would find an engine that is in time.
func TestReadingStaysInItsBounds(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		tokens int
		took   time.Duration
	}{{0, time.Second}, {-5, time.Second}, {3000, 0}, {3000, -time.Second}, {1, time.Hour}, {math.MaxInt32, 1}, {3000, math.MaxInt64}} {
		var r Reading
		for range 1000 {
			r.Learn(tt.tokens, tt.took)
		}
		c.Assert(r.Speed() >= leastReading && r.Speed() <= mostReading, qt.IsTrue, qt.Commentf("%+v: %v", tt, r.Speed()))
	}
}
