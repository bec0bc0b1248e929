package targetlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAsksDoNotGrowWithTheFleet guards against a rate of asks to the control group for a limited
// target that grows with the number of instances.
func TestAsksDoNotGrowWithTheFleet(t *testing.T) {
	const rate = 200
	for _, instances := range []int{100, 320, 1000} {
		wait := RetryDelay(rate, instances, time.Millisecond, 0.5)
		asks := float64(instances) / wait.Seconds()
		qt.New(t).Assert(asks <= asksPerGrant*rate+1, qt.IsTrue, qt.Commentf("%d instances ask %.0f times per second", instances, asks))
	}
}

// The delay before the next ask for a target, and its bounds.
func TestAskAgain(t *testing.T) {
	for _, tt := range []struct {
		name         string
		rate         float64
		instances    int
		free, spread float64
		want         time.Duration
	}{
		{"until the next grant is free", 2, 1, 0.5, 0.5, 500 * time.Millisecond},
		{"a share of the target's rate", 2, 4, 0.1, 0.5, time.Second},
		{"spread", 2, 4, 0.1, 0, 500 * time.Millisecond},
		{"at most three seconds by the rate", 0, 320, 0.1, 0.5, maxRateDelay},
		{"longer if the next grant is free later", 0, 320, 4, 0.5, 4 * time.Second},
		{"no instances known", 2, 0, 0.1, 0.5, 250 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			free := time.Duration(tt.free * float64(time.Second))
			qt.New(t).Assert(RetryDelay(tt.rate, tt.instances, free, tt.spread), qt.Equals, tt.want)
		})
	}
}
