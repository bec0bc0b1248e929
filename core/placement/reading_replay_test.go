package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The replayed load: engines that process one prompt after the other. Every few seconds a
// sixth of the engines is reclaimed; they come back empty.
const (
	reclaimInterval = 3300 * time.Millisecond
	reclaimShare    = 6
	outageDuration  = 4 * time.Second
	prefillRate     = 7000.0 // tokens a second
	retryInterval   = 60 * time.Millisecond
)

// prefillEngine is an engine of the replay.
type prefillEngine struct {
	Candidate
	// prefilledAt is the time at which all prompts at the engine are processed.
	prefilledAt time.Duration
	backAt      time.Duration
}

// prompt is a request of the replay, with the highest priority.
type prompt struct {
	arrived, nextTry, starts, ends time.Duration
	tokens, out                    int
	engine                         int
	placed                         bool
}

// prefillReplay is the state of the replay.
type prefillReplay struct {
	rng     *rand.Rand
	engines []prefillEngine
	waiting []*prompt
	running []*prompt
	all     []*prompt
}

// replayPrompts runs the replay and returns all of its requests.
func replayPrompts(roomFor func(p *prompt, now time.Duration) *Room) []*prompt {
	f := &prefillReplay{rng: rand.New(rand.NewPCG(3, 4)), engines: make([]prefillEngine, replayEngines)}
	for i := range f.engines {
		f.engines[i].Candidate = Candidate{Slots: 24, Capacity: replayCapacity}
	}
	due, reclaim := time.Duration(0), reclaimInterval
	for now := time.Duration(0); now < replayDuration; now += replayStep {
		if now >= reclaim {
			f.reclaim(now)
			reclaim += reclaimInterval
		}
		for ; due <= now; due += time.Duration(f.rng.ExpFloat64() / replayRate * float64(time.Second)) {
			p := &prompt{arrived: due, nextTry: due, tokens: lognormal(f.rng, 2800, 0.35, 6000), out: lognormal(f.rng, 424, 1, 1768)}
			f.all, f.waiting = append(f.all, p), append(f.waiting, p)
		}
		f.step(now, roomFor)
	}
	return f.all
}

// reclaim removes each engine with a probability of one sixth, and with it the streams that
// run there. step returns an engine to service when its outage is over.
func (f *prefillReplay) reclaim(now time.Duration) {
	for i := range f.engines {
		if f.rng.IntN(reclaimShare) == 0 {
			f.engines[i] = prefillEngine{Candidate: Candidate{Slots: 24, Capacity: replayCapacity, Excluded: true}, backAt: now + outageDuration}
		}
	}
	f.running = slices.DeleteFunc(f.running, func(p *prompt) bool { return f.engines[p.engine].Excluded })
}

func (f *prefillReplay) step(now time.Duration, roomFor func(*prompt, time.Duration) *Room) {
	list := make([]Candidate, len(f.engines))
	for i := range f.engines {
		e := &f.engines[i]
		e.Excluded = e.Excluded && now < e.backAt
		e.Unread = int(max(e.prefilledAt-now, 0).Seconds() * prefillRate)
		list[i] = e.Candidate
	}
	f.running = slices.DeleteFunc(f.running, func(p *prompt) bool {
		over := now >= p.ends
		if over {
			f.engines[p.engine].Tokens -= p.tokens + outputReserve
		}
		return over
	})
	for _, p := range f.waiting {
		f.tryPlace(p, now, list, roomFor)
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(p *prompt) bool { return p.placed || now-p.arrived > abandonAfter })
}

// tryPlace places a request if there is room for it. As in a real fleet, the choice does
// not see what other requests have chosen in the same step.
func (f *prefillReplay) tryPlace(p *prompt, now time.Duration, list []Candidate, roomFor func(*prompt, time.Duration) *Room) {
	if now < p.nextTry {
		return
	}
	p.nextTry = now + retryInterval/2 + time.Duration(f.rng.Int64N(int64(retryInterval)))
	choice := Pick(list, Need{Tokens: p.tokens + outputReserve, Room: roomFor(p, now)}, f.rng.Float64)
	if choice < 0 {
		return
	}
	e := &f.engines[choice]
	if e.Tokens+p.tokens+outputReserve > e.Capacity {
		return // the engine refuses the reservation
	}
	e.Tokens += p.tokens + outputReserve
	e.prefilledAt = max(e.prefilledAt, now) + time.Duration(float64(p.tokens)/prefillRate*float64(time.Second))
	p.placed, p.engine, p.starts = true, choice, e.prefilledAt
	p.ends = p.starts + time.Duration(p.out)*tokenInterval
	f.running = append(f.running, p)
}

// startedInTime returns the fraction of the requests that started within their objective.
func startedInTime(list []*prompt) float64 {
	n := 0
	for _, p := range list {
		if p.placed && p.starts-p.arrived <= objective {
			n++
		}
	}
	return float64(n) / float64(len(list))
}

// objectiveRoom returns RoomFor's requirement for a request of the replay.
func objectiveRoom(p *prompt, now time.Duration) *Room {
	return RoomFor(Waiting{Prompt: p.tokens, Left: p.arrived + objective - now, HasObjective: true}, prefillRate)
}

// largestTenth returns the tenth of the requests that has the longest prompts.
func largestTenth(list []*prompt) []*prompt {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b *prompt) int { return a.tokens - b.tokens })
	return sorted[len(sorted)*9/10:]
}

// Guards against requests that are already late delaying those that can still start in
// time. Engines are reclaimed and come back empty while demand exceeds their memory, and
// all requests have the highest priority. If every request takes any free room, late
// requests fill the engines that come back, and prompts queue there for longer than the
// objective. RoomFor sends a prompt only where it can be processed in time and makes late
// requests leave room, so that more requests start in time.
func TestPromptsBeginInTimeWhileEnginesComeAndGo(t *testing.T) {
	c := qt.New(t)
	firstCome := replayPrompts(func(*prompt, time.Duration) *Room { return &Room{Fill: admitFill, Unread: maxUnread} })
	withRoomFor := replayPrompts(objectiveRoom)
	before, after := startedInTime(firstCome), startedInTime(withRoomFor)
	t.Logf("started in time: first come %.2f, with RoomFor %.2f; largest tenth of the prompts %.2f, %.2f",
		before, after, startedInTime(largestTenth(firstCome)), startedInTime(largestTenth(withRoomFor)))
	c.Assert(after > before, qt.IsTrue)
}

// Guards against starvation of the largest prompts. Under the same load they need the
// largest blocks of free memory, and smaller prompts that arrive meanwhile take them. The
// fraction of the largest tenth that starts in time must be more than half of that of all
// requests.
func TestLargestPromptsBeginInTimeWhileEnginesComeAndGo(t *testing.T) {
	c := qt.New(t)
	all := replayPrompts(objectiveRoom)
	share, largest := startedInTime(all), startedInTime(largestTenth(all))
	c.Assert(largest > share/2, qt.IsTrue, qt.Commentf("started in time: all %.2f, largest tenth %.2f", share, largest))
}
