package placement

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func draws() func() float64 { return rand.New(rand.NewPCG(1, 2)).Float64 }

// Which of two targets a request goes to.
func TestPick(t *testing.T) {
	engine := func(running, tokens, unread int) Candidate {
		return Candidate{Zone: "a", Slots: 24, Running: running, Tokens: tokens, Capacity: 34_000, Unread: unread}
	}
	with := func(c Candidate, change func(*Candidate)) Candidate { change(&c); return c }
	for _, tt := range []struct {
		name  string
		first Candidate
		other Candidate
		want  int
	}{
		{"less memory taken", engine(3, 20_000, 0), engine(3, 10_000, 0), 1},
		{"fewer prompts to read before its own", engine(3, 10_000, 9_000), engine(4, 12_000, 0), 1},
		{"its own zone, all else equal", with(engine(3, 10_000, 0), func(c *Candidate) { c.Zone = "b" }), engine(3, 10_000, 0), 1},
		{"another zone rather than a full one", engine(12, 30_000, 6_000), with(engine(1, 3_000, 0), func(c *Candidate) { c.Zone = "b" }), 1},
		{"not one that has just failed", with(engine(0, 0, 0), func(c *Candidate) { c.Avoid = true }), engine(20, 33_000, 0), 1},
		{"one that has just failed rather than none", with(engine(0, 0, 0), func(c *Candidate) { c.Avoid = true }), with(engine(0, 0, 0), func(c *Candidate) { c.Excluded = true }), 0},
		{"never one that is too small", with(engine(0, 0, 0), func(c *Candidate) { c.Capacity = 1000 }), engine(20, 33_000, 0), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			draw := draws()
			for range 50 {
				got := Pick([]Candidate{tt.first, tt.other}, Need{Zone: "a", Tokens: 3000}, draw)
				qt.New(t).Assert(got, qt.Equals, tt.want)
			}
		})
	}
}

// Several entries move the runs of an engine that leaves in one instant. Sent to
// the one that is emptiest, they would share its link and be late; they go to all
// that have room alike, and to none that has not.
func TestMovesAreSpreadOverAllThatHaveRoom(t *testing.T) {
	c := qt.New(t)
	list := []Candidate{
		{Zone: "a", Capacity: 34_000, Tokens: 0},
		{Zone: "a", Capacity: 34_000, Tokens: 12_000},
		{Zone: "a", Capacity: 34_000, Tokens: 24_000},
		{Zone: "a", Capacity: 34_000, Tokens: 33_000},
	}
	count := make([]int, len(list))
	draw := draws()
	for range 3000 {
		count[Pick(list, Need{Zone: "a", Tokens: 3500, Even: true}, draw)]++
	}
	for i := range 3 {
		c.Assert(count[i] > 800, qt.IsTrue, qt.Commentf("%v", count))
	}
	c.Assert(count[3] < 300, qt.IsTrue, qt.Commentf("%v", count))
}

// A copy of another engine's run must not go to an engine that is too full for it,
// nor to one that has just failed, even when there is no other.
func TestFillLeavesOutWhatIsTooFull(t *testing.T) {
	c := qt.New(t)
	list := []Candidate{{Capacity: 10_000, Tokens: 2_500}, {Capacity: 10_000, Avoid: true}}
	c.Assert(Pick(list, Need{Tokens: 1000, Fill: 0.3}, draws()), qt.Equals, -1)
	c.Assert(Pick(list, Need{Tokens: 1000, Fill: 0.4}, draws()), qt.Equals, 0)
}

// How full the engines are together; one that leaves does not count, nor do plain
// services, which have no memory of their own.
func TestTaken(t *testing.T) {
	c := qt.New(t)
	c.Assert(Taken(nil), qt.Equals, 0.0)
	c.Assert(Taken([]Candidate{{Slots: 6, Running: 6}}), qt.Equals, 0.0)
	c.Assert(Taken([]Candidate{{Capacity: 100, Tokens: 80}, {Capacity: 300}, {Capacity: 100, Tokens: 100, Excluded: true}}), qt.Equals, 0.2)
}
