package quarantine

// chance returns the probability that at least hits of total crashes meet a request by chance, if
// each does with the given probability.
//
// The conversions to float64 forbid fused operations, so that the result is the same on all
// members of a group, whatever their processors.
func chance(hits, total int, probability float64) float64 {
	if probability >= 1 {
		return 1
	}
	odds := float64(probability / float64(1-probability))
	term := 1.0 // the probability of exactly i hits, relative to that of none
	none := 1.0
	for range total {
		none = float64(none * float64(1-probability))
	}
	sum := 0.0
	for i := 0; i <= total; i++ {
		if i >= hits {
			sum = float64(sum + float64(term*none))
		}
		term = float64(term * float64(odds*float64(float64(total-i)/float64(i+1))))
	}
	return sum
}
