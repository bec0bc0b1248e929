package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Whether a request of so many tokens is given the one engine with much room, among ten
// of 10,000 tokens each.
func TestLastEnginesWithMuchRoomAreKeptForLargeRequests(t *testing.T) {
	fleet := func(last ...Candidate) []Candidate {
		list := make([]Candidate, 0, 10)
		for len(list)+len(last) < 10 {
			list = append(list, engine(9_500))
		}
		return append(list, last...)
	}
	for _, tt := range []struct {
		name   string
		list   []Candidate
		tokens int
		expect bool
	}{
		{"a small one would take the room", fleet(engine(7_500)), 1_000, false},
		{"a large one may", fleet(engine(7_500)), 2_000, true},
		{"a small one may where much is left", fleet(engine(6_000)), 1_000, true},
		{"a small one where there are many such engines", fleet(engine(7_500), engine(7_500), engine(7_500)), 1_000, true},
		{"a small one where there is room for no large one", fleet(engine(8_000)), 1_000, true},
		{"the only engine is kept for nobody", []Candidate{engine(7_500)}, 1_000, true},
		{"nor is a plain service", []Candidate{{Slots: 6}, {Slots: 6}}, 1_000, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Pick(tt.list, Need{Tokens: tt.tokens, Room: &Room{Fill: admitFill, Unread: unreadRoom}}, draws())
			qt.New(t).Assert(got >= 0, qt.Equals, tt.expect)
		})
	}
}
