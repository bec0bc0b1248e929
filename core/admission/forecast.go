package admission

import (
	"math"

	"almondseam.dev/core/estimate"
)

// horizon is the points at which memory is predicted, in tokens from now. All
// running sequences grow by one token a step, so a point is a number of steps.
var horizon = [...]int{0, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096}

const points = len(horizon)

// forecast is memory use in tokens at each point of the horizon: its mean, its
// variance, and how much more it is when the lengths are longer than learned.
type forecast struct {
	mean [points]float64
	vari [points]float64
	late [points]float64
}

// add puts other on top of f.
func (f *forecast) add(other *forecast) {
	for i := range points {
		f.mean[i] += other.mean[i]
		f.vari[i] += other.vari[i]
		f.late[i] += other.late[i]
	}
}

// sub takes other away again.
func (f *forecast) sub(other *forecast) {
	for i := range points {
		f.mean[i] -= other.mean[i]
		f.vari[i] -= other.vari[i]
		f.late[i] -= other.late[i]
	}
}

// shift adds tokens that are held all along.
func (f *forecast) shift(tokens float64) {
	for i := range points {
		f.mean[i] += tokens
	}
}

// doubt is the part by which the hazard of ending may be less than learned.
// Sequences that end by chance later than expected even each other out; lengths
// that have shifted delay all of them at once, and the engine fills in one burst.
const doubt = 0.4

// peak is the largest mean plus margin deviations over the horizon; a deviation
// is made of chance, which is independent, and of doubt, which is not.
func (f *forecast) peak(margin float64) float64 {
	most := 0.0
	for i := range points {
		most = max(most, f.mean[i]+margin*math.Sqrt(max(0, f.vari[i])+f.late[i]*f.late[i]))
	}
	return most
}

// peakWith is the peak of f and other together.
func (f *forecast) peakWith(other *forecast, margin float64) float64 {
	sum := *f
	sum.add(other)
	return sum.peak(margin)
}

// grow predicts one sequence that holds size tokens of its own and has produced
// n: at each point it holds its size and the growth if it still runs, else none.
func grow(c *estimate.Curve, size, n, limit int) forecast {
	var f forecast
	now := c.Alive(n)
	for i, t := range horizon {
		alive := 0.0
		switch {
		case t == 0:
			alive = 1
		case limit > 0 && n+t >= limit:
			// Its own bound ends it.
		case now > 0:
			alive = c.Alive(n+t) / now
		}
		held := float64(size + t)
		f.mean[i] = held * alive
		f.vari[i] = held * held * alive * (1 - alive)
		if alive > 0 && alive < 1 {
			f.late[i] = held * (math.Pow(alive, 1-doubt) - alive)
		}
	}
	return f
}
