package handoff

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against standby copies that take memory from waiting requests. In a full fleet an
// engine that has just started is empty, but requests wait for its memory. In a fleet with
// free memory a copy displaces no request and preserves the stream if its engine crashes.
// Where runs cannot be migrated, a copy is the only way to continue a stream.
func TestCopiesAreKeptWhereMemoryIsToSpare(t *testing.T) {
	for _, tt := range []struct {
		name  string
		moves bool
		fleet float64
		want  float64
	}{
		{"migration, fleet with free memory", true, 0.3, fillWithMigration},
		{"migration, full fleet", true, 0.8, 0},
		{"no migration, fleet with free memory", false, 0.3, fillWithoutMigration},
		{"no migration, full fleet", false, 0.8, fillWithoutMigration},
	} {
		t.Run(tt.name, func(t *testing.T) { qt.New(t).Assert(StandbyFill(tt.moves, tt.fleet), qt.Equals, tt.want) })
	}
}

// TestMovesBeforeAreGivenTheirWholeTime guards against a first copy that starts before the
// last copy of the previous run, whose caller would then wait for the whole first copy.
func TestMovesBeforeAreGivenTheirWholeTime(t *testing.T) {
	c := qt.New(t)
	const rate = 18_000 // tokens a second
	c.Assert(MoveTime(0, 0, rate), qt.Equals, time.Duration(0))
	c.Assert(MoveTime(9_000, 3, rate), qt.Equals, 500*time.Millisecond+3*moveOverhead)
	c.Assert(MoveTime(9_000, 3, 0), qt.Equals, time.Duration(0))
}
