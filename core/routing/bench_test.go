package routing

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

var sizes = []int{10, 100, 1000, 8000}

// BenchmarkChoose measures one decision with a prefix, one target in Avoid and
// three zones.
func BenchmarkChoose(b *testing.B) {
	var cost []float64
	defer func() { fmt.Println(slope(cost)) }()
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := NewRouter(fleet(n, zones, 3), Options{})
			rng := rnd(1)
			q := Query{Model: model, Zone: "lhr-a", Prompt: 500, Avoid: []api.TargetID{id(0)}}
			dst := make([]Candidate, 0, 2)
			b.ReportAllocs()
			for b.Loop() {
				q.Prefix = rng.Uint64()
				dst = r.Choose(dst[:0], q, t0.Add(time.Second), rng)
			}
			cost = append(cost, float64(b.Elapsed().Nanoseconds())/float64(b.N))
		})
	}
}

// slope fits cost = a * targets^k by least squares over the logarithms.
func slope(cost []float64) string {
	if len(cost) != len(sizes) {
		return "slope: not all sizes were run"
	}
	var sx, sy, sxx, sxy float64
	for i, n := range sizes {
		x, y := math.Log(float64(n)), math.Log(cost[i])
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	m := float64(len(sizes))
	k := (m*sxy - sx*sy) / (m*sxx - sx*sx)
	return fmt.Sprintf("slope: ns %.0f at targets %v: cost grows with targets to the power of %.2f", cost, sizes, k)
}

// BenchmarkChooseParallel measures decisions on all processors at once, each
// followed by Sent and Ended.
func BenchmarkChooseParallel(b *testing.B) {
	tb := fleet(1000, zones, 3)
	r := NewRouter(tb, Options{})
	b.RunParallel(func(pb *testing.PB) {
		rng := rnd(1)
		dst := make([]Candidate, 0, 2)
		for pb.Next() {
			q := Query{Model: model, Zone: "lhr-a", Prefix: rng.Uint64()}
			dst = r.Choose(dst[:0], q, t0.Add(time.Second), rng)
			tb.Sent(dst[0].ID, 100, t0.Add(time.Second))
			tb.Ended(dst[0].ID, 100, t0.Add(time.Second))
		}
	})
}

// BenchmarkReport measures applying one load report.
func BenchmarkReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := fleet(n, zones, 3)
			now := t0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				tb.Report(id0[i%10], 1, Load{Running: i % 7, Free: 1, Capacity: 2, Reported: now})
			}
		})
	}
}

// id0 holds the target IDs of BenchmarkReport, so that formatting them is not timed.
var id0 = []api.TargetID{id(0), id(1), id(2), id(3), id(4), id(5), id(6), id(7), id(8), id(9)}

// BenchmarkMembership measures removing one target and announcing it again.
func BenchmarkMembership(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := fleet(n, zones, 3)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				inc := api.Incarnation(i + 1)
				tb.Leave(id(0), inc)
				tb.Announce(Target{ID: id(0), Incarnation: inc + 1, Zone: zones[0], Models: []api.ModelID{model}})
			}
		})
	}
}

// BenchmarkMemory reports the memory of a table per target.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tb := fleet(n, zones, 3)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/target")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(tb)
		})
	}
}
