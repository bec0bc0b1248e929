package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The replayed load: engines and requests under overload, with a demand for memory that
// exceeds the capacity of the engines.
const (
	replayEngines  = 40
	replayCapacity = 21_800
	replayDuration = 40 * time.Second
	replayStep     = 20 * time.Millisecond
	replayRate     = 46.0 // requests a second
	tokenInterval  = 12 * time.Millisecond
	objective      = 1800 * time.Millisecond
	startDeadline  = objective * 7 / 10
	abandonAfter   = 34 * objective / 10
	outputReserve  = 256
)

// replayRequest is one request of the replay.
type replayRequest struct {
	arrived, nextTry, ends time.Duration
	prompt, out, predicted int
	engine                 int
	state                  replayState
}

type replayState int

const (
	replayWaits replayState = iota
	replayRuns
	replayServed
	replayAbandoned
)

func lognormal(rng *rand.Rand, median, spread float64, most int) int {
	return min(int(median*math.Exp(spread*rng.NormFloat64())), most)
}

// replay runs the load; roomFor returns the requirement of a request. replay returns all
// requests; their state and wait show how they were served.
func replay(roomFor func(r *replayRequest, length float64, late bool) *Room) []*replayRequest {
	rng := rand.New(rand.NewPCG(7, 7))
	engines := make([]Candidate, replayEngines)
	for i := range engines {
		engines[i] = Candidate{Slots: 24, Capacity: replayCapacity}
	}
	var all, active []*replayRequest
	var predictions []int
	due := time.Duration(0)
	for now := time.Duration(0); now < 2*replayDuration; now += replayStep {
		for ; due <= now && due < replayDuration; due += time.Duration(rng.ExpFloat64() / replayRate * float64(time.Second)) {
			r := &replayRequest{arrived: due, nextTry: due, prompt: lognormal(rng, 2800, 0.35, 6000), out: lognormal(rng, 424, 1, 1768)}
			r.predicted = int(float64(r.out) * math.Exp(1.2*rng.NormFloat64()))
			predictions = append(predictions, r.predicted)
			all, active = append(all, r), append(active, r)
		}
		for _, r := range active {
			stepRequest(r, now, engines, predictions, rng, roomFor)
		}
		active = slices.DeleteFunc(active, func(r *replayRequest) bool { return r.state >= replayServed })
	}
	return all
}

func stepRequest(r *replayRequest, now time.Duration, engines []Candidate, predictions []int, rng *rand.Rand, roomFor func(*replayRequest, float64, bool) *Room) {
	switch {
	case r.state == replayRuns && now >= r.ends:
		engines[r.engine].Tokens -= r.prompt + outputReserve
		engines[r.engine].Running--
		r.state = replayServed
	case r.state == replayWaits && now-r.arrived > abandonAfter:
		r.state = replayAbandoned
	case r.state == replayWaits && now >= r.nextTry:
		r.nextTry = now + 30*time.Millisecond + time.Duration(rng.Int64N(int64(60*time.Millisecond)))
		below := 0
		for _, g := range predictions {
			if g < r.predicted {
				below++
			}
		}
		length := float64(below) / float64(len(predictions))
		choice := Pick(engines, Need{Tokens: r.prompt + outputReserve, Room: roomFor(r, length, now-r.arrived > startDeadline)}, rng.Float64)
		if choice < 0 {
			return
		}
		engines[choice].Tokens += r.prompt + outputReserve
		engines[choice].Running++
		r.engine, r.state = choice, replayRuns
		r.arrived, r.ends = r.arrived-now, now+time.Duration(r.out)*tokenInterval // from now on arrived is the negated wait
	}
}

// servedInTime returns the fraction of the requests that were served and started in time.
func servedInTime(list []*replayRequest) float64 {
	n := 0
	for _, r := range list {
		if r.state == replayServed && -r.arrived <= startDeadline {
			n++
		}
	}
	return float64(n) / float64(len(list))
}

// Guards against overload making nearly all requests late. For forty seconds the demand
// exceeds the memory of forty engines by a quarter. If free room goes to whichever request
// tries first, nearly all requests wait too long. If requests leave room to shorter
// generations and to requests that can still start in time, most are served in time, and
// of the largest prompts not much fewer.
func TestRoomUnderOverload(t *testing.T) {
	c := qt.New(t)
	firstCome := replay(func(*replayRequest, float64, bool) *Room { return &Room{Fill: admitFill, Unread: maxUnread} })
	withRoomFor := replay(func(_ *replayRequest, length float64, late bool) *Room {
		left := startDeadline
		if late {
			left = -time.Second
		}
		return RoomFor(Waiting{Rank: 1, Length: length, HasObjective: true, Left: left}, 7000)
	})
	before, after := servedInTime(firstCome), servedInTime(withRoomFor)
	slices.SortFunc(withRoomFor, func(a, b *replayRequest) int { return a.prompt - b.prompt })
	largest := servedInTime(withRoomFor[len(withRoomFor)*9/10:])
	t.Logf("served in time: first come %.2f, with RoomFor %.2f, largest tenth of the prompts %.2f", before, after, largest)
	c.Assert(after > before*1.15, qt.IsTrue)
	c.Assert(largest > after/2, qt.IsTrue)
}
