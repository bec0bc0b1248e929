package fleetload

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

// BenchmarkRound measures the cost to one entry of a round of eight reports, in ns/op. In
// each report another entry has changed its load on one of its twenty targets.
func BenchmarkRound(b *testing.B) {
	for _, entries := range []int{30, 100, 301} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			table := NewTable("self")
			now := time.Unix(0, 0)
			for e := range entries {
				r := Report{Entry: api.InstanceID(fmt.Sprint("e", e)), Whole: true}
				for t := range 20 {
					r.List = append(r.List, TargetLoad{Target: api.TargetID(fmt.Sprintf("t%04d", (e*7+t*13)%(10*entries))), Load: Load{Running: 1, Moving: 1}})
				}
				table.Put(r, now)
			}
			table.Take(now)
			// About eight reports arrive in one round.
			const reports = 8
			i := 0
			for b.Loop() {
				for range reports {
					i++
					e := i % entries
					table.Put(Report{Entry: api.InstanceID(fmt.Sprint("e", e)), List: []TargetLoad{{Target: api.TargetID(fmt.Sprintf("t%04d", (e*7)%(10*entries))), Load: Load{Running: 1 + i/entries%2, Moving: 1}}}}, now)
				}
				table.Take(now)
			}
		})
	}
}
