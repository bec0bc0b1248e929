package admission

import (
	"math"

	"almondseam.dev/core/estimate"
)

// horizon lists the future points for which memory use is predicted, in tokens
// per sequence from now. Each engine step adds one token to every running
// sequence, so a point is also a number of engine steps.
var horizon = [...]int{0, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096}

const points = len(horizon)

// forecast is the predicted memory use in tokens at each point of the horizon.
type forecast struct {
	mean [points]float64
	// variance is the part due to chance, which is independent between
	// sequences.
	variance [points]float64
	// correlated is the additional memory in use if the hazards of ending are
	// lower than learned, which affects all sequences together.
	correlated [points]float64
}

// add adds other to f.
func (f *forecast) add(other *forecast) {
	for i := range points {
		f.mean[i] += other.mean[i]
		f.variance[i] += other.variance[i]
		f.correlated[i] += other.correlated[i]
	}
}

// sub subtracts other from f.
func (f *forecast) sub(other *forecast) {
	for i := range points {
		f.mean[i] -= other.mean[i]
		f.variance[i] -= other.variance[i]
		f.correlated[i] -= other.correlated[i]
	}
}

// addConstant adds memory that stays in use over the whole horizon.
func (f *forecast) addConstant(tokens float64) {
	for i := range points {
		f.mean[i] += tokens
	}
}

// hazardUncertainty is the fraction by which the true hazard of ending may be
// lower than the learned one. When single sequences end later than expected by
// chance, others end earlier and the sum changes little. When the distribution of
// lengths has shifted, all sequences end later at the same time and memory fills
// within a short time.
const hazardUncertainty = 0.4

// peak returns the maximum over the horizon of the mean plus margin standard
// deviations. A deviation combines the variance of independent lengths with the
// error of the learned hazards, which is common to all sequences.
func (f *forecast) peak(margin float64) float64 {
	highest := 0.0
	for i := range points {
		highest = max(highest, f.mean[i]+margin*math.Sqrt(max(0, f.variance[i])+f.correlated[i]*f.correlated[i]))
	}
	return highest
}

// peakWith returns the peak of the sum of f and other.
func (f *forecast) peakWith(other *forecast, margin float64) float64 {
	sum := *f
	sum.add(other)
	return sum.peak(margin)
}

// predict returns the forecast of one sequence that now holds size tokens of
// memory, has produced n output tokens, and ends at the latest after limit output
// tokens if limit is positive. At each point it holds its size plus the tokens
// produced until then if it still runs, and nothing once it has ended.
func predict(c *estimate.Curve, size, n, limit int) forecast {
	var f forecast
	now := c.Survival(n)
	for i, t := range horizon {
		survival := 0.0
		switch {
		case t == 0:
			survival = 1
		case limit > 0 && n+t >= limit:
			// The sequence has reached its output limit and ended.
		case now > 0:
			survival = c.Survival(n+t) / now
		}
		held := float64(size + t)
		f.mean[i] = held * survival
		f.variance[i] = held * held * survival * (1 - survival)
		if survival > 0 && survival < 1 {
			f.correlated[i] = held * (math.Pow(survival, 1-hazardUncertainty) - survival)
		}
	}
	return f
}
