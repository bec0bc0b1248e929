package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkPick measures one choice with a Room requirement, by the number of engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{44, 740, 7400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			list := make([]Candidate, n)
			for i := range list {
				list[i] = Candidate{Slots: 24, Capacity: 21_800, Tokens: rng.IntN(21_800), Unread: rng.IntN(6000)}
			}
			need := Need{Tokens: 3200, Draws: DrawsFor(n, max(2, n/23)), Room: RoomFor(Waiting{Rank: 1, Length: 0.5}, 7000)}
			b.ReportAllocs()
			for b.Loop() {
				Pick(list, need, rng.Float64)
			}
		})
	}
}
