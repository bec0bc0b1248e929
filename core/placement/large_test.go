package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against small requests taking the last large blocks of free memory, so that no
// large request is placed under overload. The engines have 10,000 tokens each; expect tells
// whether any of them is chosen for a request of the given size.
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
		{"small request, one engine with room for a large one", fleet(engine(7_500)), 1_000, false},
		{"large request, one engine with room for a large one", fleet(engine(7_500)), 2_000, true},
		{"small request that leaves room for a large one", fleet(engine(6_000)), 1_000, true},
		{"small request, several engines with room for a large one", fleet(engine(7_500), engine(7_500), engine(7_500)), 1_000, true},
		{"small request, no engine with room for a large one", fleet(engine(8_000)), 1_000, true},
		{"small request, the only engine is never reserved", []Candidate{engine(7_500)}, 1_000, true},
		{"plain services are never reserved", []Candidate{{Slots: 6}, {Slots: 6}}, 1_000, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Pick(tt.list, Need{Tokens: tt.tokens, Room: &Room{Fill: admitFill, Unread: maxUnread}}, draws())
			qt.New(t).Assert(got >= 0, qt.Equals, tt.expect)
		})
	}
}
