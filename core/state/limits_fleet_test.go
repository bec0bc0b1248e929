package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/targetlimit"
	qt "github.com/frankban/quicktest"
)

const (
	// dialMost is how long a request is on its way to its target at most.
	dialMost = 400 * time.Millisecond
	// toldAfter and settled are the users': an entry counts half a second after an answer, a
	// target's limit three seconds after it was first named.
	toldAfter = 500 * time.Millisecond
	settled   = 3 * time.Second
	span      = 4 * time.Second
)

var epoch = time.UnixMilli(1_000_000)

// fleet runs entries, a group and one target in virtual time: messages are lost, copied and
// late, leaders change, entries restart or are cut off from the group, and the target names a
// limit, changes it, names none, and is replaced.
type fleet struct {
	t   *testing.T
	rng *rand.Rand
	now time.Time
	// calm fleets have no faults.
	calm   bool
	demand float64 // requests a second of all entries

	log        *log
	replicated int64
	base       int64
	leads      time.Time
	leaderless time.Time

	entries []*entry
	events  []event
	ids     int

	target   limitedTarget
	arrivals []arrival
	refused  int
}

// limitedTarget is the target as it is; since is when it began to name limits, zero while it
// names none.
type limitedTarget struct {
	born    int64
	limited bool
	rate    float64
	since   time.Time
	history []named
}

// named is a limit from a time on.
type named struct {
	at      time.Time
	limited bool
	rate    float64
	since   time.Time
}

type arrival struct {
	at   time.Time
	told bool
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type entry struct {
	run      int
	cut      bool
	born     int64
	view     targetlimit.View
	heldTill time.Time
	toldAt   time.Time
	listed   uint64
}

func newFleet(t *testing.T, seed uint64, entries int, demand float64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: epoch, demand: demand, log: newLog(t), leads: epoch}
	f.target.born = 1
	for range entries {
		f.entries = append(f.entries, &entry{born: 1})
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now.Add(d), do})
}

// delay is that of one message.
func (f *fleet) delay() time.Duration {
	if !f.calm && f.rng.IntN(20) == 0 {
		return time.Duration(f.rng.Int64N(int64(2 * time.Second)))
	}
	return time.Millisecond + time.Duration(f.rng.Int64N(int64(15*time.Millisecond)))
}

// propose takes a command to the group and its result back, if neither is lost.
func (f *fleet) propose(e *entry, c Command, done func(Result)) {
	lost := func() bool { return e.cut || !f.calm && f.rng.IntN(20) == 0 }
	if lost() {
		return
	}
	copies := 1
	if !f.calm && f.rng.IntN(20) == 0 {
		copies = 2
	}
	run := e.run
	for range copies {
		f.after(f.delay(), func() {
			if f.now.Before(f.leaderless) {
				return
			}
			r := f.commit(c)
			f.after(f.delay(), func() {
				if !lost() && e.run == run {
					done(r)
				}
			})
		})
	}
}

func (f *fleet) commit(c Command) Result {
	f.replicated = max(f.replicated, f.base+f.now.Sub(f.leads).Milliseconds())
	c.Now = f.replicated
	if c.Limit != nil {
		if known, changes := f.log.s.LimitChanges(c.Now, *c.Limit); !changes {
			return known
		}
	}
	before := f.log.s.LimitsAt()
	r := f.log.apply(c)
	if f.log.s.LimitsAt() != before {
		list := f.log.s.TargetLimits()
		for _, e := range f.entries {
			f.push(e, list)
		}
	}
	return r
}

// push tells an entry the list, over a link that keeps order.
func (f *fleet) push(e *entry, list TargetLimits) {
	if e.cut {
		return
	}
	run := e.run
	f.after(f.delay(), func() {
		if e.run != run || list.Index < e.listed {
			return
		}
		e.listed = list.Index
		for _, l := range list.List {
			if l.Born == e.born {
				e.view = e.view.ApplyGroup(l.Known(), f.now)
			}
		}
	})
}

func (f *fleet) lead() {
	f.leaderless = f.now.Add(time.Duration(f.rng.Int64N(int64(1500 * time.Millisecond))))
	f.log.reload()
	f.base, f.leads = f.replicated, f.leaderless
}

// request is one request at an entry.
func (f *fleet) request(e *entry) {
	if f.now.Before(e.heldTill) {
		f.refused++
		return
	}
	if !e.view.Current.Limited {
		f.send(e)
		return
	}
	f.ids++
	asked, run, believed := f.now, e.run, e.view.Current
	ask := retrybudget.Ask{ID: fmt.Sprint(f.ids), Service: "s", Target: "t", Purpose: retrybudget.PurposeLimited, Rate: believed.Rate, Limits: retrybudget.PaceLimits()}
	answered := false
	f.propose(e, Command{Retry: &ask}, func(r Result) {
		if answered {
			return
		}
		answered = true
		switch {
		case r.Retry.Granted && retrybudget.NewLease(asked).Valid(f.now):
			f.send(e)
		case !r.Retry.Granted:
			f.refused++
			e.heldTill = f.now.Add(targetlimit.RetryDelay(believed.Rate, len(f.entries), r.Retry.RetryAfter, f.rng.Float64()))
		}
	})
	f.after(300*time.Millisecond, func() {
		if !answered && e.run == run {
			answered = true
			e.heldTill = f.now.Add(targetlimit.RetryDelay(believed.Rate, len(f.entries), 0, f.rng.Float64()))
		}
	})
}

// send takes a request to the target and its answer back.
func (f *fleet) send(e *entry) {
	sent, run, born, seen := f.now, e.run, e.born, e.view.Group.Index
	way := 2 * time.Millisecond
	if f.rng.IntN(10) == 0 {
		way = time.Duration(f.rng.Int64N(int64(dialMost)))
	}
	f.after(way, func() {
		if born != f.target.born {
			return // another target has the address, and does not run it
		}
		told := !e.toldAt.IsZero() && e.run == run && sent.Sub(e.toldAt) >= toldAfter
		f.arrivals = append(f.arrivals, arrival{f.now, told})
		says := targetlimit.Statement{Limit: targetlimit.Limit{Limited: f.target.limited, Rate: f.target.rate}, Sent: sent, Seen: seen}
		work := 5*time.Millisecond + time.Duration(f.rng.Int64N(int64(50*time.Millisecond)))
		if f.rng.IntN(20) == 0 {
			work = time.Duration(f.rng.Int64N(int64(2 * time.Second)))
		}
		f.after(work, func() {
			if e.run != run || e.born != born {
				return
			}
			says.Received = f.now
			f.heard(e, says)
		})
	})
}

// heard takes what an answer says.
func (f *fleet) heard(e *entry, says targetlimit.Statement) {
	if says.Limited && e.toldAt.IsZero() {
		e.toldAt = f.now
	}
	before := e.view.Current
	e.view = e.view.ApplyStatement(says)
	if before.Limit != e.view.Current.Limit || e.view.ReportDue(f.now, LimitStatedEvery) {
		f.state(e, 0)
	}
}

// state tells the group what an entry goes by, again until the group has heard it.
func (f *fleet) state(e *entry, tries int) {
	b, run, born, done := e.view.Current, e.run, e.born, false
	f.propose(e, Command{Limit: &LimitStatement{Target: "t", Born: born, Limited: b.Limited, Rate: b.Rate, Seen: b.Seen}}, func(r Result) {
		done = true
		if e.born == born {
			e.view = e.view.ApplyGroup(r.Limit.Known(), f.now)
		}
	})
	f.after(400*time.Millisecond, func() {
		if !done && e.run == run && tries < 20 {
			f.state(e, tries+1)
		}
	})
}

// step lets time pass.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	due := f.events
	f.events = nil
	for _, e := range due {
		if e.at.After(f.now) {
			f.events = append(f.events, e)
		} else {
			e.do()
		}
	}
	for _, e := range f.entries {
		if f.rng.Float64() < f.demand/float64(len(f.entries))*d.Seconds() {
			f.request(e)
		}
	}
}

func (f *fleet) names(limited bool, rate float64) {
	t := &f.target
	if limited && !t.limited {
		t.since = f.now
	}
	t.limited, t.rate = limited, rate
	if !limited {
		t.rate, t.since = 0, time.Time{}
	}
	t.history = append(t.history, named{f.now, t.limited, t.rate, t.since})
}

// replace starts another run of the target under its name and address.
func (f *fleet) replace() {
	f.target.born++
	f.names(false, 0)
	born := f.target.born
	for _, e := range f.entries {
		f.after(f.delay(), func() {
			if e.born < born {
				*e = entry{run: e.run, cut: e.cut, listed: e.listed, born: born}
			}
		})
	}
}

func (f *fleet) restart(e *entry) {
	*e = entry{run: e.run + 1, born: f.target.born}
	list := f.log.s.TargetLimits()
	if list.Index > 0 {
		f.push(e, list)
	}
}

func (f *fleet) disturb() {
	for range 1 + len(f.entries)/10 {
		e := f.entries[f.rng.IntN(len(f.entries))]
		switch f.rng.IntN(4) {
		case 0:
			f.restart(e)
		case 1:
			e.cut = true
		case 2:
			e.cut = false
			if list := f.log.s.TargetLimits(); list.Index > 0 {
				f.push(e, list)
			}
		}
	}
	if f.rng.IntN(3) == 0 {
		f.lead()
	}
}

// mostNamed gives the highest limit that the target named between two times, and whether it
// named one all the while, for long enough that it counts.
func (f *fleet) mostNamed(from, to time.Time) (rate float64, counts bool) {
	for i, n := range f.target.history {
		end := to
		if i+1 < len(f.target.history) {
			end = f.target.history[i+1].at
		}
		if !end.After(from) || n.at.After(to) {
			continue
		}
		if !n.limited || from.Sub(n.since) < settled {
			return 0, false
		}
		rate, counts = max(rate, n.rate), true
	}
	return rate, counts
}

// check holds what arrived from entries that were told against the users' bound. A limit that
// was lowered within toldAfter of the window counts with its higher value.
func (f *fleet) check(c *qt.C) (windows int) {
	slices.SortFunc(f.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for i := range f.arrivals {
		from := f.arrivals[i].at
		to := from.Add(span)
		rate, counts := f.mostNamed(from.Add(-toldAfter), to)
		if !counts {
			continue
		}
		windows++
		got := 0
		for _, a := range f.arrivals[i:] {
			if a.at.Before(to) && a.told {
				got++
			}
		}
		bound := 1.5*rate*span.Seconds() + 5
		c.Assert(float64(got) <= bound, qt.IsTrue, qt.Commentf("%d of %.1f from %v, limit %.2f", got, bound, from.Sub(epoch), rate))
	}
	return windows
}

// TestLimitOfATargetHoldsInAllHistories guards against a sum over all entries that passes what
// a target names, whatever is lost, late, copied, restarted or cut off.
func TestLimitOfATargetHoldsInAllHistories(t *testing.T) {
	const histories, step = 200, 10 * time.Millisecond
	windows, arrived := 0, 0
	for seed := range uint64(histories) {
		entries := 1 + int(seed%40)
		if seed%50 == 49 {
			entries = 320
		}
		f := newFleet(t, seed, entries, 20+float64(seed%5)*30)
		for i := range int(24 * time.Second / step) {
			if i%int(2*time.Second/step) == 0 {
				f.disturb()
				switch f.rng.IntN(16) {
				case 0:
					f.names(false, 0)
				case 1:
					f.replace()
				case 2, 3, 4, 5, 6:
					f.names(true, f.rng.Float64()*10)
				}
			}
			f.step(step)
		}
		windows += f.check(qt.New(t))
		arrived += len(f.arrivals)
	}
	t.Logf("%d histories, %d arrivals, %d windows", histories, arrived, windows)
	qt.New(t).Assert(windows > histories*10, qt.IsTrue)
}

// TestLimitedTargetIsNotStarved guards against a target that gets much less than the limit
// that it names while there are requests for it.
func TestLimitedTargetIsNotStarved(t *testing.T) {
	const lasts, step = 30 * time.Second, 5 * time.Millisecond
	for _, entries := range []int{1, 5, 30, 320} {
		for _, rate := range []float64{0.5, 2.3, 20} {
			t.Run(fmt.Sprintf("%d entries, %.1f a second", entries, rate), func(t *testing.T) {
				f := newFleet(t, uint64(entries), entries, max(4*rate, 3*float64(entries)))
				f.calm = true
				f.names(true, rate)
				for range int(settled / step) {
					f.step(step)
				}
				f.arrivals = nil
				for range int(lasts / step) {
					f.step(step)
				}
				got := float64(len(f.arrivals)) / lasts.Seconds()
				t.Logf("%.2f a second of %.1f", got, rate)
				qt.New(t).Assert(got >= 0.8*rate, qt.IsTrue, qt.Commentf("%.2f a second", got))
				qt.New(t).Assert(got <= 1.1*rate+0.1, qt.IsTrue, qt.Commentf("%.2f a second", got))
			})
		}
	}
}

// TestLimitEndsAtAllEntries guards against entries that hold a target to a limit for long after
// it has ceased to name one.
func TestLimitEndsAtAllEntries(t *testing.T) {
	const step, within = 5 * time.Millisecond, 5 * time.Second
	for _, entries := range []int{1, 5, 30, 320} {
		for _, rate := range []float64{0, 0.5, 2.3, 20} {
			t.Run(fmt.Sprintf("%d entries, %.1f a second", entries, rate), func(t *testing.T) {
				f := newFleet(t, uint64(entries), entries, 40)
				f.calm = true
				f.names(true, rate)
				for range int(10 * time.Second / step) {
					f.step(step)
				}
				f.names(false, 0)
				for range int(within / step) {
					f.step(step)
				}
				for _, e := range f.entries {
					qt.New(t).Assert(e.view.Current.Limited, qt.IsFalse)
				}
			})
		}
	}
}
