package retrybudget

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet simulates entries and a replicated pool in virtual time: messages are lost,
// duplicated and delayed, the leader changes and is restored from a snapshot, entries restart,
// and every clock runs at a rate of its own.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	limits Limits
	// cold directs all requests to one cold target, and takes none from a LocalBudget.
	cold bool
	// lossRate and lateRate are the fractions of messages that are lost, and that are delayed
	// by up to five seconds.
	lossRate, lateRate float64

	entries  []*fleetEntry
	inFlight []fleetMessage
	asks     int

	// The control group. Its leader's clock runs at clockRate since leaderSince, starting from
	// the replicated time leaderBase. Asks before leaderlessUntil get no answer.
	pool            *Pool
	replicated      int64
	leaderBase      int64
	leaderSince     time.Time
	clockRate       float64
	leaderlessUntil time.Time

	// requests holds when entries got requests, arrivals when retries, or requests to the cold
	// target, reached their target.
	requests, arrivals []time.Time
	granted            int
}

type fleetEntry struct {
	own   *LocalBudget
	drift float64
	// requestRate and retryRate are the requests that the entry gets and the retries that it
	// needs, per second.
	requestRate, retryRate float64
	// askedAt holds when, by the entry's own clock, each ask without an answer was sent.
	askedAt map[string]time.Time
	// partitioned entries reach no control group member.
	partitioned bool
}

// fleetMessage is a message in flight between an entry and the group: an ask or an answer.
type fleetMessage struct {
	at     time.Time
	entry  *fleetEntry
	ask    *Ask
	answer *Answer
	id     string
}

// clock returns the time by the entry's own clock, which runs up to 0.5% fast or slow.
func (e *fleetEntry) clock(now time.Time) time.Time {
	return now.Add(time.Duration(e.drift * float64(now.Sub(t0))))
}

func newFleet(seed uint64, entries int, l Limits) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 11)), now: t0, limits: l, pool: NewPool(), clockRate: 1, leaderSince: t0}
	f.lossRate, f.lateRate = 0.3*f.rng.Float64(), 0.3*f.rng.Float64()
	for range entries {
		e := &fleetEntry{drift: (f.rng.Float64() - 0.5) * driftShare}
		f.entries = append(f.entries, e)
		f.restart(e)
	}
	return f
}

// restart starts or restarts an entry, which then has counted nothing and awaits no answer.
func (f *fleet) restart(e *fleetEntry) {
	e.own, e.askedAt = NewLocalBudget(f.limits, e.clock(f.now)), make(map[string]time.Time)
}

// changeLeader replaces the leader by one restored from a snapshot. Its clock continues from
// the replicated time.
func (f *fleet) changeLeader() {
	f.leaderlessUntil = f.now.Add(time.Duration(f.rng.Int64N(int64(2 * time.Second))))
	f.pool = RestorePool(f.pool.Snapshot())
	f.leaderBase, f.leaderSince = f.replicated, f.now
	f.clockRate = 1 + (f.rng.Float64()-0.5)*driftShare
}

// send puts a message in flight, unless it is lost.
func (f *fleet) send(m fleetMessage) {
	if f.rng.Float64() < f.lossRate || m.entry.partitioned {
		return
	}
	for range 1 + f.rng.IntN(10)/9 {
		delay := time.Duration(f.rng.Int64N(int64(20 * time.Millisecond)))
		if f.rng.Float64() < f.lateRate {
			delay = time.Duration(f.rng.Int64N(int64(5 * time.Second)))
		}
		m.at = f.now.Add(delay)
		f.inFlight = append(f.inFlight, m)
	}
}

// step advances the time, delivers due messages and runs the entries.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	due := f.inFlight
	f.inFlight = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.inFlight = append(f.inFlight, m)
			continue
		}
		f.deliver(m)
	}
	for _, e := range f.entries {
		f.run(e, d)
	}
}

func (f *fleet) deliver(m fleetMessage) {
	switch {
	case m.ask != nil && f.now.Before(f.leaderlessUntil):
	case m.ask != nil:
		stamped := f.leaderBase + int64(f.clockRate*float64(f.now.Sub(f.leaderSince).Milliseconds()))
		f.replicated = max(f.replicated, stamped)
		answer := f.pool.Step(f.replicated, *m.ask)
		f.send(fleetMessage{entry: m.entry, answer: &answer, id: m.ask.ID})
	case m.answer.Granted:
		askedAt, pending := m.entry.askedAt[m.id]
		delete(m.entry.askedAt, m.id)
		if !pending || !NewLease(askedAt).Valid(m.entry.clock(f.now)) {
			return
		}
		if f.rng.IntN(10) == 0 { // not needed any more
			f.send(fleetMessage{entry: m.entry, ask: f.returnOf(m.id)})
			return
		}
		f.granted++
		f.sendRetry()
	}
}

// returnOf returns the ask that returns the grant of an earlier ask.
func (f *fleet) returnOf(id string) *Ask {
	a := Ask{ID: id, Service: "s", Purpose: PurposeRetry, Return: true, Limits: f.limits}
	if f.cold {
		a.Purpose, a.Target = PurposeColdStart, "t"
	}
	return &a
}

// sendRetry records the arrival of a retry at its target.
func (f *fleet) sendRetry() {
	f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.rng.Int64N(int64(sendTime)))))
}

// run simulates one step of an entry, in which it may get a request and may need a retry.
func (f *fleet) run(e *fleetEntry, d time.Duration) {
	now := e.clock(f.now)
	if f.rng.Float64() < e.requestRate*d.Seconds() {
		e.own.First(now)
		f.requests = append(f.requests, f.now)
	}
	if f.rng.Float64() >= e.retryRate*d.Seconds() {
		return
	}
	if !f.cold && e.own.Take(now).OK {
		f.sendRetry()
		return
	}
	f.asks++
	a := Ask{ID: fmt.Sprint(f.asks), Service: "s", Purpose: PurposeResume + Purpose(f.rng.IntN(4)/3), Limits: f.limits}
	if f.cold {
		a.Purpose, a.Target = PurposeColdStart, "t"
	}
	e.askedAt[a.ID] = now
	f.send(fleetMessage{entry: e, ask: &a})
	if f.rng.IntN(4) == 0 { // repeated for lack of an answer
		f.send(fleetMessage{entry: e, ask: &a})
	}
}

// injectFaults changes the load, restarts, partitions and heals some entries, and may change
// the leader.
func (f *fleet) injectFaults() {
	storm := f.rng.IntN(2) == 0
	for _, e := range f.entries {
		// All entries together get up to 100 requests per second, with about half of the
		// entries idle, and need up to 40 retries per second, or 150 in a retry storm.
		e.requestRate = 100 * f.rng.Float64() * float64(f.rng.IntN(2)) / float64(len(f.entries))
		e.retryRate = 40 * f.rng.Float64() / float64(len(f.entries))
		if storm {
			e.retryRate = 150 / float64(len(f.entries))
		}
	}
	for range 1 + len(f.entries)/10 {
		e := f.entries[f.rng.IntN(len(f.entries))]
		switch f.rng.IntN(4) {
		case 0:
			f.restart(e)
		case 1:
			e.partitioned = true
		case 2:
			e.partitioned = false
		}
	}
	if f.rng.IntN(3) == 0 {
		f.changeLeader()
	}
}

// check asserts that the retries of every window are within the bound.
func (f *fleet) check(c *qt.C) {
	sorted := func(list []time.Time) []time.Time {
		return slices.SortedFunc(slices.Values(list), func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	}
	requests, arrivals := sorted(f.requests), sorted(f.arrivals)
	in := func(list []time.Time, from, to time.Time) int {
		index := func(at time.Time) int {
			i, _ := slices.BinarySearchFunc(list, at, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
			return i
		}
		return index(to) - index(from)
	}
	w := f.limits.Window
	for _, at := range arrivals {
		for _, later := range []time.Duration{1, w / 4, w / 2, 3 * w / 4, w} {
			end := at.Add(later)
			from := end.Add(-w)
			most := max(in(requests, from, end), in(requests, from.Add(-w), from), in(requests, from.Add(-w/2), end.Add(-w/2)))
			got, bound := in(arrivals, from, end), f.limits.Ratio*float64(most)+f.limits.Slack
			c.Assert(float64(got) <= bound, qt.IsTrue, qt.Commentf("%d retries in the window that ends at %v, bound %.1f", got, end.Sub(t0), bound))
		}
	}
}

// TestAllRetriesStayUnderTheBound guards against retries of all entries that together exceed
// the bound of the fleet while messages are lost, delayed and duplicated and entries restart or
// are partitioned.
func TestAllRetriesStayUnderTheBound(t *testing.T) {
	simulate := func(t *testing.T, seed uint64, entries int, duration time.Duration) *fleet {
		f := newFleet(seed, entries, Limits{Ratio: 0.2, Slack: float64(20 + seed%60), Window: 10 * time.Second})
		const step = 20 * time.Millisecond
		for i := range int(duration / step) {
			if i%int((3*time.Second+time.Duration(seed%7)*time.Second)/step) == 0 {
				f.injectFaults()
			}
			f.step(step)
		}
		f.check(qt.New(t))
		return f
	}
	granted, arrived := 0, 0
	const histories, large = 200, 4
	for seed := range uint64(histories) {
		f := simulate(t, seed, 1+int(seed%12), 40*time.Second)
		granted, arrived = granted+f.granted, arrived+len(f.arrivals)
	}
	for seed := range uint64(large) {
		f := simulate(t, 1000+seed, 320, 25*time.Second)
		granted, arrived = granted+f.granted, arrived+len(f.arrivals)
	}
	t.Logf("%d histories, %d retries, %d of them from the pool", histories+large, arrived, granted)
	qt.New(t).Assert(granted > histories*50, qt.IsTrue)
}

// TestColdTargetGetsNoMoreThanItBears guards against entries that together send a cold target
// more requests per second than the configuration allows while messages are lost, delayed and
// duplicated and entries restart or are partitioned.
func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	granted, refused := 0, 0
	const histories = 200
	for seed := range uint64(histories) {
		entries := 1 + int(seed%40)
		if seed%50 == 49 {
			entries = 320
		}
		f := newFleet(seed, entries, ColdLimits(float64(seed%60)))
		f.cold = true
		const step = 10 * time.Millisecond
		for i := range int(10 * time.Second / step) {
			if i%int(2*time.Second/step) == 0 {
				f.injectFaults()
			}
			f.step(step)
		}
		f.check(qt.New(t))
		granted, refused = granted+f.granted, refused+f.asks-f.granted
	}
	t.Logf("%d histories, %d requests granted, %d not granted", histories, granted, refused)
	qt.New(t).Assert(granted > histories*50, qt.IsTrue)
	qt.New(t).Assert(refused > histories*50, qt.IsTrue)
}

// TestLateUseOfLeasesIsCounted guards against grants that become free again while retries sent
// late under them still count in the window.
func TestLateUseOfLeasesIsCounted(t *testing.T) {
	c := qt.New(t)
	l := Limits{Slack: 10, Window: 10 * time.Second}
	p := NewPool()
	var arrivals []time.Time
	for ms := range int64(12_000) {
		asked := t0.Add(time.Duration(ms) * time.Millisecond)
		if !p.Step(ms, Ask{ID: fmt.Sprint(ms), Service: "s", Purpose: PurposeResume, Limits: l}).Granted {
			continue
		}
		if len(arrivals) < int(l.Slack) {
			asked = asked.Add(LeaseTime + sendTime) // used just before the lease expires, and slow to arrive
		}
		arrivals = append(arrivals, asked)
	}
	c.Assert(len(arrivals) > int(l.Slack), qt.IsTrue)
	for _, at := range arrivals {
		c.Assert(float64(countBetween(arrivals, at, at.Add(l.Window))) <= l.Slack, qt.IsTrue)
	}
}

// TestNineTenthsOfTheSlackCanBeUsed guards against a pool that refuses retries, and so breaks
// streams, while much of the slack is unused.
func TestNineTenthsOfTheSlackCanBeUsed(t *testing.T) {
	c := qt.New(t)
	l := Limits{Slack: 100, Window: 10 * time.Second}
	p := NewPool()
	granted := 0
	const seconds = 220
	for ms := int64(0); ms < seconds*1000; ms += 20 {
		if p.Step(ms, Ask{ID: fmt.Sprint(ms), Service: "s", Purpose: PurposeResume, Limits: l}).Granted {
			granted++
		}
	}
	c.Assert(float64(granted) >= 0.9*l.Slack*seconds/l.Window.Seconds(), qt.IsTrue, qt.Commentf("%d", granted))
}
