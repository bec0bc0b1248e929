package handoff

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Engines that have just come are empty while all others are full and requests wait
// for their room. A copy of a stream there would keep one of them waiting; in a fleet
// with memory to spare it costs nobody a place, and saves the stream if its engine
// crashes. Where runs can't be moved a copy is the only way to go on.
func TestCopiesAreKeptWhereMemoryIsToSpare(t *testing.T) {
	for _, tt := range []struct {
		name  string
		moves bool
		fleet float64
		want  float64
	}{
		{"a quiet fleet", true, 0.3, fillMoves},
		{"a crowded fleet", true, 0.8, 0},
		{"no moves, a quiet fleet", false, 0.3, fillCopies},
		{"no moves, a crowded fleet", false, 0.8, fillCopies},
	} {
		t.Run(tt.name, func(t *testing.T) { qt.New(t).Assert(BackupFill(tt.moves, tt.fleet), qt.Equals, tt.want) })
	}
}
