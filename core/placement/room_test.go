package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testPrefillRate is the number of prompt tokens that an engine processes a second.
const testPrefillRate = 5000.0

func engine(tokens int) Candidate { return Candidate{Slots: 24, Capacity: 10_000, Tokens: tokens} }

// engines returns a list of the given numbers of full engines and of engines with room.
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

// Checks the order in which requests are refused room as engines fill up. Requests of the
// highest priority are refused last, so that they go first without preempting a running
// stream. Among the others the shortest generations go first. Requests that can no longer
// start in time go last, whatever their priority.
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
		{"nearly full, highest priority", []Candidate{engine(8_900)}, first, true},
		{"nearly full, lower priority", []Candidate{engine(8_600)}, short, false},
		{"full, highest priority", []Candidate{engine(9_100)}, first, false},
		{"a single engine need not leave spare room", []Candidate{engine(2_000)}, late, true},
		{"one of two engines has room", []Candidate{engine(9_900), engine(2_000)}, short, true},
		{"the engine with room is excluded", []Candidate{engine(9_900), {Capacity: 10_000, Excluded: true}}, first, false},
		{"the engine has just refused a reservation", []Candidate{{Capacity: 10_000, Full: true}}, first, false},
		{"too many unprocessed prompts, highest priority", []Candidate{{Capacity: 100_000, Unread: 9_000}}, first, false},
		{"too many unprocessed prompts, lower priority", []Candidate{{Capacity: 100_000, Unread: 5_000}}, short, false},
		{"some left, late with the highest priority", engines(35, 5), firstLate, false},
		{"a plain service always has room", []Candidate{{Slots: 6, Running: 60}}, first, true},
		{"a service of unknown memory always has room", []Candidate{{Running: 3, Tokens: 900}}, late, true},
		{"few left, highest priority", engines(39, 1), first, true},
		{"few left, short generation", engines(38, 2), short, true},
		{"few left, long generation", engines(38, 2), long, false},
		{"some left, long generation", engines(35, 5), long, true},
		{"some left, late", engines(35, 5), late, false},
		{"more left, late", engines(29, 11), late, false},
		{"half left, late", engines(20, 20), late, false},
		{"most left, late", engines(15, 25), late, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Pick(tt.list, Need{Tokens: 1000, Room: RoomFor(tt.w, testPrefillRate)}, draws())
			qt.New(t).Assert(got >= 0, qt.Equals, tt.expect)
		})
	}
}

// Guards against prompts sent to an engine that cannot process them in time. A prompt is
// sent only to an engine that can process the prompts queued before it, and then the
// prompt itself, within the time left: behind half a second of other prompts, a request
// with little time left would be late. A request that is late on every engine goes to any
// engine with room that others do not need. At half or twice the speed the same prompts
// take twice or half the time.
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
		{"time for both prompts", time.Second, 2000, 1900, 5000, true},
		{"not enough time for both prompts", time.Second, 2000, 2100, 5000, false},
		{"not enough time at half the speed", time.Second, 2000, 1900, 2500, false},
		{"time for more prompts at twice the speed", time.Second, 2000, 5900, 10_000, true},
		{"not enough time at twice the speed", time.Second, 2000, 6100, 10_000, false},
		{"time for a short prompt where a long one is late", time.Second, 500, 3400, 5000, true},
		{"late, few unprocessed prompts", -time.Second, 2000, 7900, 5000, true},
		{"late, too many unprocessed prompts", -time.Second, 2000, 8100, 5000, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := Waiting{Prompt: tt.prompt, Left: tt.left, HasObjective: true}
			got := Pick(reads(tt.unread), Need{Tokens: 1000, Room: RoomFor(w, tt.speed)}, draws())
			qt.New(t).Assert(got >= 0, qt.Equals, tt.expect)
		})
	}
}
