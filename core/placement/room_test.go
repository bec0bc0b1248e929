package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testSpeed is how fast the engines read, in tokens a second.
const testSpeed = 5000.0

func engine(tokens int) Candidate { return Candidate{Slots: 24, Capacity: 10_000, Tokens: tokens} }

// engines gives so many full ones and so many with room.
func engines(full, free int) []Candidate {
	list := make([]Candidate, 0, full+free)
	for range full {
		list = append(list, engine(9_600))
	}
	for range free {
		list = append(list, engine(3_000))
	}
	return list
}

// Engines fill up. Requests of the first rank find room last of all to be refused
// it, so that they go before the others without taking anything from a stream that
// runs; among the others the shortest go first, and those that can't begin in time
// any more go last, whatever their rank.
func TestWhoFindsRoom(t *testing.T) {
	first := Waiting{Rank: 0, Length: 1}
	firstLate := Waiting{Rank: 0, HasObjective: true, Left: -time.Second}
	short, long := Waiting{Rank: 1}, Waiting{Rank: 1, Length: 1}
	late := Waiting{Rank: 1, HasObjective: true, Left: -time.Second}
	for _, tt := range []struct {
		name   string
		list   []Candidate
		w      Waiting
		expect bool
	}{
		{"nearly full, first rank", []Candidate{engine(8_900)}, first, true},
		{"nearly full, another rank", []Candidate{engine(8_600)}, short, false},
		{"full, first rank", []Candidate{engine(9_100)}, first, false},
		{"one engine alone spares nothing", []Candidate{engine(2_000)}, late, true},
		{"any engine will do", []Candidate{engine(9_900), engine(2_000)}, short, true},
		{"but not one that leaves", []Candidate{engine(9_900), {Capacity: 10_000, Excluded: true}}, first, false},
		{"nor one that has just said that it is full", []Candidate{{Capacity: 10_000, Full: true}}, first, false},
		{"nor one with many prompts to read", []Candidate{{Capacity: 100_000, Unread: 9_000}}, first, false},
		{"for the others fewer prompts", []Candidate{{Capacity: 100_000, Unread: 5_000}}, short, false},
		{"nor has a first rank that is late more room than others", engines(35, 5), firstLate, false},
		{"a plain service has no memory to fill", []Candidate{{Slots: 6, Running: 60}}, first, true},
		{"nor has a service of unknown memory", []Candidate{{Running: 3, Tokens: 900}}, late, true},
		{"few left, a first rank", engines(39, 1), first, true},
		{"few left, a short one", engines(38, 2), short, true},
		{"few left, a long one", engines(38, 2), long, false},
		{"some left, a long one", engines(35, 5), long, true},
		{"some left, a late one", engines(35, 5), late, false},
		{"more left, a late one", engines(29, 11), late, false},
		{"half left, a late one", engines(20, 20), late, false},
		{"most left, a late one", engines(15, 25), late, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Pick(tt.list, Need{Tokens: 1000, Room: RoomFor(tt.w, testSpeed)}, draws())
			qt.New(t).Assert(got >= 0, qt.Equals, tt.expect)
		})
	}
}

// A prompt is sent only to an engine that can read those before it and then it while
// there is time. At an engine that has half a second of other prompts to read a
// request with little time left would be late; it looks elsewhere, and one that is
// late everywhere goes where there is room at all, if that is not needed by others.
// At half or twice the speed the same prompts take twice or half the time.
func TestPromptsGoWhereTheyCanBeReadInTime(t *testing.T) {
	reads := func(unread int) []Candidate { return []Candidate{{Capacity: 100_000, Unread: unread}} }
	for _, tt := range []struct {
		name   string
		left   time.Duration
		prompt int
		unread int
		speed  float64
		expect bool
	}{
		{"time for both", time.Second, 2000, 1900, 5000, true},
		{"not for both", time.Second, 2000, 2100, 5000, false},
		{"at half the speed not", time.Second, 2000, 1900, 2500, false},
		{"at twice the speed", time.Second, 2000, 5900, 10_000, true},
		{"and no more than that", time.Second, 2000, 6100, 10_000, false},
		{"a short prompt where a long one is late", time.Second, 500, 3400, 5000, true},
		{"late, another engine has room", -time.Second, 2000, 7900, 5000, true},
		{"late, and many before it", -time.Second, 2000, 8100, 5000, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := Waiting{Prompt: tt.prompt, Left: tt.left, HasObjective: true}
			got := Pick(reads(tt.unread), Need{Tokens: 1000, Room: RoomFor(w, tt.speed)}, draws())
			qt.New(t).Assert(got >= 0, qt.Equals, tt.expect)
		})
	}
}
