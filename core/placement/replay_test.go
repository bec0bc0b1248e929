package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load that is replayed: engines and requests as on a crowded day, with more
// asked of the engines' memory than they have.
const (
	replayEngines  = 40
	replayCapacity = 21_800
	replayLasts    = 40 * time.Second
	replayStep     = 20 * time.Millisecond
	replayRate     = 46.0 // requests a second
	perToken       = 12 * time.Millisecond
	objective      = 1800 * time.Millisecond
	inTime         = objective * 7 / 10
	leavesAfter    = 34 * objective / 10
	growth         = 256
)

// replayed is one request of the replay.
type replayed struct {
	arrived, next, ends time.Duration
	prompt, out, likely int
	engine              int
	state               replayState
}

type replayState int

const (
	replayWaits replayState = iota
	replayRuns
	replayServed
	replayGone
)

func lognormal(rng *rand.Rand, median, spread float64, most int) int {
	return min(int(median*math.Exp(spread*rng.NormFloat64())), most)
}

// replay plays the load; roomFor decides what a request needs. It gives the requests,
// whose state and wait tell how they were served.
func replay(roomFor func(r *replayed, length float64, late bool) *Room) []*replayed {
	rng := rand.New(rand.NewPCG(7, 7))
	engines := make([]Candidate, replayEngines)
	for i := range engines {
		engines[i] = Candidate{Slots: 24, Capacity: replayCapacity}
	}
	var all, active []*replayed
	var guesses []int
	due := time.Duration(0)
	for now := time.Duration(0); now < 2*replayLasts; now += replayStep {
		for ; due <= now && due < replayLasts; due += time.Duration(rng.ExpFloat64() / replayRate * float64(time.Second)) {
			r := &replayed{arrived: due, next: due, prompt: lognormal(rng, 2800, 0.35, 6000), out: lognormal(rng, 424, 1, 1768)}
			r.likely = int(float64(r.out) * math.Exp(1.2*rng.NormFloat64()))
			guesses = append(guesses, r.likely)
			all, active = append(all, r), append(active, r)
		}
		for _, r := range active {
			replayOne(r, now, engines, guesses, rng, roomFor)
		}
		active = slices.DeleteFunc(active, func(r *replayed) bool { return r.state >= replayServed })
	}
	return all
}

func replayOne(r *replayed, now time.Duration, engines []Candidate, guesses []int, rng *rand.Rand, roomFor func(*replayed, float64, bool) *Room) {
	switch {
	case r.state == replayRuns && now >= r.ends:
		engines[r.engine].Tokens -= r.prompt + growth
		engines[r.engine].Running--
		r.state = replayServed
	case r.state == replayWaits && now-r.arrived > leavesAfter:
		r.state = replayGone
	case r.state == replayWaits && now >= r.next:
		r.next = now + 30*time.Millisecond + time.Duration(rng.Int64N(int64(60*time.Millisecond)))
		below := 0
		for _, g := range guesses {
			if g < r.likely {
				below++
			}
		}
		length := float64(below) / float64(len(guesses))
		choice := Pick(engines, Need{Tokens: r.prompt + growth, Room: roomFor(r, length, now-r.arrived > inTime)}, rng.Float64)
		if choice < 0 {
			return
		}
		engines[choice].Tokens += r.prompt + growth
		engines[choice].Running++
		r.engine, r.state = choice, replayRuns
		r.arrived, r.ends = r.arrived-now, now+time.Duration(r.out)*perToken // arrived keeps the wait, negative
	}
}

// servedInTime is the part of requests that began in time.
func servedInTime(list []*replayed) float64 {
	n := 0
	for _, r := range list {
		if r.state == replayServed && -r.arrived <= inTime {
			n++
		}
	}
	return float64(n) / float64(len(list))
}

// For forty seconds a quarter more is asked of forty engines than their memory holds.
// If whoever looks first takes what room there is, nearly everybody waits until late;
// with room left to shorter generations and to those that can still begin in time,
// most callers are served in time, and of the largest prompts not much fewer.
func TestRoomUnderOverload(t *testing.T) {
	c := qt.New(t)
	anyone := replay(func(*replayed, float64, bool) *Room { return &Room{Fill: admitFill, Unread: unreadRoom} })
	ours := replay(func(_ *replayed, length float64, late bool) *Room {
		left := inTime
		if late {
			left = -time.Second
		}
		return RoomFor(Waiting{Rank: 1, Length: length, HasObjective: true, Left: left}, 7000)
	})
	before, after := servedInTime(anyone), servedInTime(ours)
	slices.SortFunc(ours, func(a, b *replayed) int { return a.prompt - b.prompt })
	largest := servedInTime(ours[len(ours)*9/10:])
	t.Logf("in time: first come %.2f, room left to others %.2f, largest tenth of the prompts %.2f", before, after, largest)
	c.Assert(after > before*1.15, qt.IsTrue)
	c.Assert(largest > after/2, qt.IsTrue)
}
