package handoff

import (
	"testing"
	"time"

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
		t.Run(tt.name, func(t *testing.T) { qt.New(t).Assert(StandbyFill(tt.moves, tt.fleet), qt.Equals, tt.want) })
	}
}

// TestMovesBeforeAreGivenTheirWholeTime guards against a first copy that begins before the
// last copy of the run before it, whose caller then waits for all of it.
func TestMovesBeforeAreGivenTheirWholeTime(t *testing.T) {
	c := qt.New(t)
	const rate = 18_000 // tokens a second
	c.Assert(MoveTime(0, 0, rate), qt.Equals, time.Duration(0))
	c.Assert(MoveTime(9_000, 3, rate), qt.Equals, 500*time.Millisecond+3*moveOverhead)
	c.Assert(MoveTime(9_000, 3, 0), qt.Equals, time.Duration(0))
}
