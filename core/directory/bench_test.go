package directory

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

// BenchmarkAnnounce measures one announcement, in ns/op, to a directory that holds the given
// number of targets.
func BenchmarkAnnounce(b *testing.B) {
	for _, targets := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			d, now := New(), time.Unix(0, 0)
			seq := uint64(0)
			announce := func(i int) {
				seq++
				d.Announce(Record{Target: api.TargetID(fmt.Sprint("i-", i)), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Born: 1, Sequence: seq, State: StateReady}, now)
			}
			for i := range targets {
				announce(i)
			}
			for i := 0; b.Loop(); i++ {
				announce(i % targets)
			}
		})
	}
}
