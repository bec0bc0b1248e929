package targetlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAsksDoNotGrowWithTheFleet guards against a control group that is asked the more for a
// limited target, the more instances there are.
func TestAsksDoNotGrowWithTheFleet(t *testing.T) {
	const rate = 200
	for _, instances := range []int{100, 320, 1000} {
		wait := RetryDelay(rate, instances, time.Millisecond, 0.5)
		asks := float64(instances) / wait.Seconds()
		qt.New(t).Assert(asks <= asksPerGrant*rate+1, qt.IsTrue, qt.Commentf("%d instances ask %.0f times a second", instances, asks))
	}
}

// How long a target is left alone at most and at least.
func TestAskAgain(t *testing.T) {
	for _, tt := range []struct {
		name         string
		rate         float64
		instances    int
		free, spread float64
		want         time.Duration
	}{
		{"until the next is free", 2, 1, 0.5, 0.5, 500 * time.Millisecond},
		{"a share of the rate", 2, 4, 0.1, 0.5, time.Second},
		{"spread", 2, 4, 0.1, 0, 500 * time.Millisecond},
		{"not for long", 0, 320, 0.1, 0.5, askAgainMost},
		{"as long as no request is free", 0, 320, 4, 0.5, 4 * time.Second},
		{"no instances known", 2, 0, 0.1, 0.5, 250 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			free := time.Duration(tt.free * float64(time.Second))
			qt.New(t).Assert(RetryDelay(tt.rate, tt.instances, free, tt.spread), qt.Equals, tt.want)
		})
	}
}
