package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

// seeds are the seeds of the random runs. A seed that revealed a fault is added and
// never removed.
var seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}

// job is a request of a random run.
type job struct {
	Request
	// output is the number of tokens that it produces in total, and done the
	// number that it has produced so far.
	output  int
	done    int
	started time.Time
}

// simulation drives a controller in steps of simulated time, as an agent would,
// with an engine that runs every started sequence and preempts none by itself.
type simulation struct {
	t       *testing.T
	c       *Controller
	rng     *rand.Rand
	now     time.Time
	waiting map[api.RequestID]*job
	running []*job
	ended   []*job
	// n is the number of requests offered so far.
	n int
}

func newSimulation(t *testing.T, seed uint64, cfg Config) *simulation {
	return &simulation{
		t: t, c: newTest(cfg), rng: rand.New(rand.NewPCG(seed, 7)), now: epoch,
		waiting: map[api.RequestID]*job{},
	}
}

// arrive offers a random request of customer i.
func (s *simulation) arrive(i int) {
	s.n++
	j := &job{Request: note("r"+strconv.Itoa(s.n), api.CustomerID(strconv.Itoa(i)), 20+s.rng.IntN(200)), output: 150 + s.rng.IntN(100)}
	if s.rng.IntN(2) == 0 {
		j.Request, j.output = tag("r"+strconv.Itoa(s.n), j.Customer, 20+s.rng.IntN(50)), 5+s.rng.IntN(10)
	}
	if s.rng.IntN(3) == 0 {
		j.Prefix, j.PrefixTokens = 1+s.rng.Uint64N(3), 16
	}
	j.Arrived = s.now
	v := s.c.Offer(j.Request, s.now)
	if v.Queued {
		s.waiting[j.ID] = j
		return
	}
	qt.Assert(s.t, v.RetryAfter > 0, qt.IsTrue)
}

// step advances the time by 20 ms, starts the sequences that Next returns, checks
// the controller's state, and produces one token for each running sequence.
func (s *simulation) step() {
	s.now = s.now.Add(20 * time.Millisecond)
	starts := s.c.Next(s.now)
	for _, st := range starts {
		j := s.waiting[st.ID]
		delete(s.waiting, st.ID)
		j.started = s.now
		s.running = append(s.running, j)
	}
	s.check(starts)
	for _, j := range slices.Clone(s.running) {
		j.done++
		s.c.Progress(j.ID, 1, j.done, s.now)
		if j.done == j.output {
			s.c.Done(j.ID, 1, j.done, s.now)
			s.ended = append(s.ended, j)
			s.running = slices.DeleteFunc(s.running, func(o *job) bool { return o == j })
		}
	}
}

// check asserts that the predicted peak does not exceed the capacity after starts,
// with the whole margin if only notes were started and with tagMarginFactor of it
// otherwise. It also asserts that the controller's running totals match the sums
// over its running sequences.
func (s *simulation) check(starts []Start) {
	c := s.c
	margin := c.margin
	for _, st := range starts {
		if st.Priority == priorityTag {
			margin = c.margin * tagMarginFactor
		}
	}
	if len(starts) > 0 && len(c.running) > 1 {
		qt.Assert(s.t, c.predictedLoad.peak(margin) <= float64(c.cfg.Capacity)+0.001, qt.IsTrue)
	}
	prefillTokens, preempted := 0, 0
	var sum forecast
	for _, p := range c.prefixes {
		sum.addConstant(float64(p.tokens))
	}
	for _, q := range c.running {
		sum.add(&q.predicted)
		if q.prefilling {
			prefillTokens += q.uncached
		}
		if q.preempted {
			preempted++
		}
	}
	same := prefillTokens == c.prefillTokens && preempted == c.preempted && len(c.byID) == len(c.running)+c.queue.len
	for i := range points {
		same = same && math.Abs(sum.mean[i]-c.predictedLoad.mean[i]) < 0.01
	}
	// Only one assertion is made per step, and only on a mismatch, since an
	// assertion takes longer than the step itself.
	if !same {
		qt.Assert(s.t, []any{prefillTokens, preempted, len(c.running) + c.queue.len, sum.mean}, qt.DeepEquals,
			[]any{c.prefillTokens, c.preempted, len(c.byID), c.predictedLoad.mean})
	}
}

// TestCommittedStaysUnderCapacity mixes offers, ends, cancellations, preemptions,
// yields and bids, and checks that no start raises the predicted peak above the
// capacity.
func TestCommittedStaysUnderCapacity(t *testing.T) {
	for _, seed := range seeds {
		s := newSimulation(t, seed, Config{Capacity: 3000, QueueLimit: 40, PrefillBudget: 400})
		for range 3000 {
			if s.rng.IntN(4) == 0 {
				s.arrive(s.rng.IntN(5))
			}
			s.injectEvent()
			s.step()
		}
		qt.Check(t, len(s.ended) > 100, qt.IsTrue)
	}
}

// injectEvent cancels a request, preempts a sequence, calls Yield or makes a bid,
// each with a probability of 1 in 40.
func (s *simulation) injectEvent() {
	switch s.rng.IntN(40) {
	case 0:
		id := api.RequestID("r" + strconv.Itoa(s.rng.IntN(s.n+1)))
		_, waits := s.waiting[id]
		qt.Assert(s.t, s.c.Cancel(id, 1, s.now), qt.Equals, waits)
		delete(s.waiting, id)
		s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.ID == id })
	case 1:
		if len(s.running) > 0 {
			s.c.Preempted(s.running[s.rng.IntN(len(s.running))].ID, 1, s.now)
		}
	case 2:
		if id, ok := s.c.Yield(0); ok {
			i := slices.IndexFunc(s.running, func(j *job) bool { return j.ID == id })
			qt.Assert(s.t, s.running[i].done, qt.Equals, 0)
			s.waiting[id] = s.running[i]
			s.running = slices.Delete(s.running, i, i+1)
		}
	case 3:
		s.c.Bid(note("bid"+strconv.Itoa(s.n), "b", 100), s.now)
	}
}

// TestNobodyStarves lets one customer flood the target for two minutes while three
// others send a request now and then. Every accepted request must start, and those
// of the three small customers within the age bound of 15 s.
func TestNobodyStarves(t *testing.T) {
	for _, seed := range seeds[:6] {
		s := newSimulation(t, seed, Config{Capacity: 3000, QueueLimit: 60, PrefillBudget: 400, AgeBound: 15 * time.Second})
		var worst time.Duration
		for i := range 6000 {
			if i%5 == 0 {
				s.arrive(0)
			}
			if i%150 == 0 {
				s.arrive(1 + s.rng.IntN(3))
			}
			s.step()
		}
		for range 3000 {
			s.step()
		}
		qt.Assert(t, s.waiting, qt.HasLen, 0)
		for _, j := range s.ended {
			if j.Customer != "0" {
				worst = max(worst, j.started.Sub(j.Arrived))
			}
		}
		qt.Check(t, worst < 15*time.Second, qt.IsTrue, qt.Commentf("seed %d: %s", seed, worst))
	}
}

// TestFloodDoesNotTakeOthersShare checks that two customers that always have
// requests waiting, with weights 1 and 3, are served tokens in that proportion.
func TestFloodDoesNotTakeOthersShare(t *testing.T) {
	for _, seed := range seeds[:6] {
		s := newSimulation(t, seed, Config{Capacity: 3000, QueueLimit: 60, PrefillBudget: 400, AgeBound: time.Hour})
		for i := range 10_000 {
			for k := range 2 {
				s.n++
				r := note("w"+strconv.Itoa(s.n), api.CustomerID(strconv.Itoa(k)), 100)
				r.Weight = 1 + 2*k
				r.Arrived = s.now
				if v := s.c.Offer(r, s.now); v.Queued {
					s.waiting[r.ID] = &job{Request: r, output: 150 + s.rng.IntN(100)}
				}
			}
			if i%10 == 0 {
				s.step()
			}
		}
		served := map[api.CustomerID]float64{}
		for _, j := range s.ended {
			served[j.Customer] += float64(j.Prompt + j.output)
		}
		ratio := served["1"] / served["0"]
		qt.Check(t, ratio > 2.5 && ratio < 3.5, qt.IsTrue, qt.Commentf("seed %d: %.2f", seed, ratio))
	}
}
