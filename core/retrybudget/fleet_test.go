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

// fleet runs entries and a replicated pool in virtual time: messages are lost, copied
// and late, leaders change and are restored from snapshots, entries restart, and no two
// clocks run alike.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	limits Limits
	// cold makes all sends go to one cold target, and none be paid by an entry's own part.
	cold bool
	// lossy and late are the parts of messages that are lost, and that take up to five
	// seconds.
	lossy, late float64

	entries []*fleetEntry
	mail    []fleetMail
	asks    int

	// The group: its state, and its leader's clock.
	pool       *Pool
	replicated int64
	base       int64
	leads      time.Time
	rate       float64
	leaderless time.Time

	firsts, arrivals []time.Time
	granted          int
}

type fleetEntry struct {
	own   *LocalBudget
	drift float64
	// load is how many requests it gets a second, need how many retries.
	load, need float64
	// asked are the times, by its own clock, of asks that wait for an answer.
	asked map[string]time.Time
	// cut entries reach no control member.
	cut bool
}

type fleetMail struct {
	at     time.Time
	entry  *fleetEntry
	ask    *Ask
	answer *Answer
	id     string
}

// clock is an entry's own, at most half a hundredth off.
func (e *fleetEntry) clock(now time.Time) time.Time {
	return now.Add(time.Duration(e.drift * float64(now.Sub(t0))))
}

func newFleet(seed uint64, entries int, l Limits) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 11)), now: t0, limits: l, pool: NewPool(), rate: 1, leads: t0}
	f.lossy, f.late = 0.3*f.rng.Float64(), 0.3*f.rng.Float64()
	for range entries {
		e := &fleetEntry{drift: (f.rng.Float64() - 0.5) * driftShare}
		f.entries = append(f.entries, e)
		f.restart(e)
	}
	return f
}

func (f *fleet) restart(e *fleetEntry) {
	e.own, e.asked = NewLocalBudget(f.limits, e.clock(f.now)), make(map[string]time.Time)
}

// lead gives the group another leader, restored from a snapshot. Its clock goes on from
// the state's own.
func (f *fleet) lead() {
	f.leaderless = f.now.Add(time.Duration(f.rng.Int64N(int64(2 * time.Second))))
	f.pool = RestorePool(f.pool.Snapshot())
	f.base, f.leads = f.replicated, f.now
	f.rate = 1 + (f.rng.Float64()-0.5)*driftShare
}

func (f *fleet) post(m fleetMail) {
	if f.rng.Float64() < f.lossy || m.entry.cut {
		return
	}
	for range 1 + f.rng.IntN(10)/9 {
		delay := time.Duration(f.rng.Int64N(int64(20 * time.Millisecond)))
		if f.rng.Float64() < f.late {
			delay = time.Duration(f.rng.Int64N(int64(5 * time.Second)))
		}
		m.at = f.now.Add(delay)
		f.mail = append(f.mail, m)
	}
}

func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	due := f.mail
	f.mail = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.mail = append(f.mail, m)
			continue
		}
		f.deliver(m)
	}
	for _, e := range f.entries {
		f.run(e, d)
	}
}

func (f *fleet) deliver(m fleetMail) {
	switch {
	case m.ask != nil && f.now.Before(f.leaderless):
	case m.ask != nil:
		stamped := f.base + int64(f.rate*float64(f.now.Sub(f.leads).Milliseconds()))
		f.replicated = max(f.replicated, stamped)
		answer := f.pool.Step(f.replicated, *m.ask)
		f.post(fleetMail{entry: m.entry, answer: &answer, id: m.ask.ID})
	case m.answer.Granted:
		asked, waits := m.entry.asked[m.id]
		delete(m.entry.asked, m.id)
		if !waits || !NewLease(asked).Valid(m.entry.clock(f.now)) {
			return
		}
		if f.rng.IntN(10) == 0 { // not needed any more
			f.post(fleetMail{entry: m.entry, ask: f.giveBack(m.id)})
			return
		}
		f.granted++
		f.send()
	}
}

func (f *fleet) giveBack(id string) *Ask {
	a := Ask{ID: id, Service: "s", Purpose: PurposeRetry, Return: true, Limits: f.limits}
	if f.cold {
		a.Purpose, a.Target = PurposeColdStart, "t"
	}
	return &a
}

// send lets a retry arrive at its target.
func (f *fleet) send() {
	f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.rng.Int64N(int64(sendTime)))))
}

// run lets an entry get requests, and retry some.
func (f *fleet) run(e *fleetEntry, d time.Duration) {
	now := e.clock(f.now)
	if f.rng.Float64() < e.load*d.Seconds() {
		e.own.First(now)
		f.firsts = append(f.firsts, f.now)
	}
	if f.rng.Float64() >= e.need*d.Seconds() {
		return
	}
	if !f.cold && e.own.Take(now).OK {
		f.send()
		return
	}
	f.asks++
	a := Ask{ID: fmt.Sprint(f.asks), Service: "s", Purpose: PurposeResume + Purpose(f.rng.IntN(4)/3), Limits: f.limits}
	if f.cold {
		a.Purpose, a.Target = PurposeColdStart, "t"
	}
	e.asked[a.ID] = now
	f.post(fleetMail{entry: e, ask: &a})
	if f.rng.IntN(4) == 0 { // asked again for want of an answer
		f.post(fleetMail{entry: e, ask: &a})
	}
}

func (f *fleet) disturb() {
	storm := f.rng.IntN(2) == 0
	for _, e := range f.entries {
		// All entries together get some hundred requests a second, or few, or need many
		// retries at once.
		e.load = 100 * f.rng.Float64() * float64(f.rng.IntN(2)) / float64(len(f.entries))
		e.need = 40 * f.rng.Float64() / float64(len(f.entries))
		if storm {
			e.need = 150 / float64(len(f.entries))
		}
	}
	for range 1 + len(f.entries)/10 {
		e := f.entries[f.rng.IntN(len(f.entries))]
		switch f.rng.IntN(4) {
		case 0:
			f.restart(e)
		case 1:
			e.cut = true
		case 2:
			e.cut = false
		}
	}
	if f.rng.IntN(3) == 0 {
		f.lead()
	}
}

// check holds the retries of each window against the bound.
func (f *fleet) check(c *qt.C) {
	sorted := func(list []time.Time) []time.Time {
		return slices.SortedFunc(slices.Values(list), func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	}
	firsts, arrivals := sorted(f.firsts), sorted(f.arrivals)
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
			most := max(in(firsts, from, end), in(firsts, from.Add(-w), from), in(firsts, from.Add(-w/2), end.Add(-w/2)))
			got, bound := in(arrivals, from, end), f.limits.Ratio*float64(most)+f.limits.Slack
			c.Assert(float64(got) <= bound, qt.IsTrue, qt.Commentf("%d retries in the window to %v, of %.1f", got, end.Sub(t0), bound))
		}
	}
}

// TestAllRetriesStayUnderTheBound guards against a sum of retries over all entries that
// passes the bound of the fleet, whatever is lost, late, copied, restarted or cut off.
func TestAllRetriesStayUnderTheBound(t *testing.T) {
	play := func(t *testing.T, seed uint64, entries int, lasts time.Duration) *fleet {
		f := newFleet(seed, entries, Limits{Ratio: 0.2, Slack: float64(20 + seed%60), Window: 10 * time.Second})
		const step = 20 * time.Millisecond
		for i := range int(lasts / step) {
			if i%int((3*time.Second+time.Duration(seed%7)*time.Second)/step) == 0 {
				f.disturb()
			}
			f.step(step)
		}
		f.check(qt.New(t))
		return f
	}
	granted, arrived := 0, 0
	const histories, large = 200, 4
	for seed := range uint64(histories) {
		f := play(t, seed, 1+int(seed%12), 40*time.Second)
		granted, arrived = granted+f.granted, arrived+len(f.arrivals)
	}
	for seed := range uint64(large) {
		f := play(t, 1000+seed, 320, 25*time.Second)
		granted, arrived = granted+f.granted, arrived+len(f.arrivals)
	}
	t.Logf("%d histories, %d retries, %d of them from the pool", histories+large, arrived, granted)
	qt.New(t).Assert(granted > histories*50, qt.IsTrue)
}

// TestColdTargetGetsNoMoreThanItBears guards against entries that together send a cold target
// more requests in a second than the configuration says, whatever is lost, late, copied,
// restarted or cut off.
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
				f.disturb()
			}
			f.step(step)
		}
		f.check(qt.New(t))
		granted, refused = granted+f.granted, refused+f.asks-f.granted
	}
	t.Logf("%d histories, %d requests granted, %d not", histories, granted, refused)
	qt.New(t).Assert(granted > histories*50, qt.IsTrue)
	qt.New(t).Assert(refused > histories*50, qt.IsTrue)
}

// TestLateUseOfLeasesIsCounted guards against grants that are free again before the last
// retry of the earlier ones has left the window.
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
			asked = asked.Add(LeaseTime + sendTime) // used at the last moment, and slowly
		}
		arrivals = append(arrivals, asked)
	}
	c.Assert(len(arrivals) > int(l.Slack), qt.IsTrue)
	for _, at := range arrivals {
		c.Assert(float64(counted(arrivals, at, at.Add(l.Window))) <= l.Slack, qt.IsTrue)
	}
}

// TestNineTenthsOfTheSlackCanBeUsed guards against a pool that refuses retries while
// much of the slack is free, and strands streams for that.
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
