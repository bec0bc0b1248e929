package relay

import "math/rand/v2"

// maxSample is the largest number of targets that a choice describes and compares, so that its
// cost does not grow with the service. Smaller services are compared as a whole.
const maxSample = 256

// choose calls pick with a random sample of the targets in list, and returns the target at the
// index that pick returns, nil for a negative one. If thorough is set and pick accepts none of
// the sample, it is called again with the whole list.
//
// Load pattern: thousands of engines, of which a few have room while many requests wait. Each
// request that compared all engines whenever it looks again would spend the entry's processor
// time on engines that it has just seen full.
func choose(list []*Target, thorough bool, pick func(list []*Target) int) *Target {
	part := sampleOf(list)
	if i := pick(part); i >= 0 {
		return part[i]
	}
	if !thorough || len(part) == len(list) {
		return nil
	}
	if i := pick(list); i >= 0 {
		return list[i]
	}
	return nil
}

// sampleOf returns maxSample targets that follow each other in list, from a random one on, or all
// of a list that is not longer. The result must not be modified.
func sampleOf(list []*Target) []*Target {
	if len(list) <= maxSample {
		return list
	}
	start := rand.IntN(len(list))
	if end := start + maxSample; end <= len(list) {
		return list[start:end]
	}
	out := make([]*Target, 0, maxSample)
	out = append(out, list[start:]...)
	return append(out, list[:maxSample-len(out)]...)
}
