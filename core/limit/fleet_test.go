package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

// fleet simulates entries in virtual time. Its links lose, duplicate, delay and
// reorder messages; entries are partitioned, restart, and leave and rejoin the roster.
type fleet struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	limits map[api.CustomerID]Limit
	roster Roster
	// rosterSince is when the control group put roster in force.
	rosterSince time.Time
	entries     []*entry
	inFlight    []inFlight
	// lossRate and lateRate are the fractions of messages that are lost and that
	// are delayed by up to 25 s.
	lossRate float64
	lateRate float64
}

type entry struct {
	id    api.InstanceID
	inc   api.Incarnation
	skew  time.Duration
	drift float64
	// partitioned entries reach only each other.
	partitioned bool
	holder      *Holder
	grantor     *Grantor
	running     []activeRequest
}

// activeRequest is a request in progress.
type activeRequest struct {
	permit *Permit
	ends   time.Time
}

// inFlight is a network message in flight; one of request, grant and newRoster is set.
type inFlight struct {
	at        time.Time
	to        *entry
	inc       api.Incarnation
	request   *Request
	grant     *Grant
	newRoster *Roster
	sent      time.Time
}

// clock returns the time by the entry's own clock, which is offset by up to an hour
// and runs up to 3% fast or slow.
func (e *entry) clock(now time.Time) time.Time {
	return now.Add(e.skew + time.Duration(e.drift*float64(now.Sub(t0))))
}

func newFleet(t *testing.T, seed uint64, n int, l Limit) *fleet {
	f := &fleet{t: t, rosterSince: t0, rng: rand.New(rand.NewPCG(seed, 7)), now: t0, limits: map[api.CustomerID]Limit{cust: l}}
	for i := range n {
		e := &entry{
			id:    api.InstanceID(fmt.Sprintf("e%d", i)),
			skew:  time.Duration(f.rng.Int64N(int64(time.Hour))),
			drift: (f.rng.Float64() - 0.5) * 0.06,
		}
		f.entries = append(f.entries, e)
		f.roster.Entries = append(f.roster.Entries, e.id)
		f.start(e)
	}
	f.roster.Epoch = 1
	return f
}

// start starts or restarts an entry.
func (f *fleet) start(e *entry) {
	e.inc++
	e.running = nil
	timing := DefaultTiming
	timing.Floor = time.Minute
	e.holder = NewHolder(e.id, e.inc, timing)
	e.grantor = NewGrantor(e.id, timing)
	e.holder.SetLimits(f.limits, e.clock(f.now))
	e.grantor.SetLimits(f.limits)
}

// send puts a message on its way, unless it is lost.
func (f *fleet) send(from *entry, m inFlight) {
	if from.partitioned != m.to.partitioned || f.rng.Float64() < f.lossRate {
		return
	}
	m.inc = m.to.inc
	for range 1 + f.rng.IntN(10)/9 {
		delay := time.Duration(f.rng.Int64N(int64(20 * time.Millisecond)))
		if f.rng.Float64() < f.lateRate {
			delay = time.Duration(f.rng.Int64N(int64(25 * time.Second)))
		}
		m.at = f.now.Add(delay)
		f.inFlight = append(f.inFlight, m)
	}
}

// step advances the time, delivers due messages, ends and starts requests, and checks
// the bound. want holds the number of requests that each entry tries to run.
func (f *fleet) step(d time.Duration, want []int) {
	f.now = f.now.Add(d)
	due := f.inFlight
	f.inFlight = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.inFlight = append(f.inFlight, m)
		} else if m.inc == m.to.inc {
			f.deliver(m)
		}
	}
	for i, e := range f.entries {
		e.running = slices.DeleteFunc(e.running, func(r activeRequest) bool {
			if r.ends.After(f.now) {
				return false
			}
			r.permit.Release(0, e.clock(f.now))
			return true
		})
		f.startRequests(e, want[i])
	}
	f.check()
}

func (f *fleet) deliver(m inFlight) {
	now := m.to.clock(f.now)
	switch {
	case m.request != nil:
		if grant, ok := m.to.grantor.Step(*m.request, now); ok {
			f.send(m.to, inFlight{to: f.byID(grant.Holder), grant: &grant})
		}
	case m.grant != nil:
		m.to.holder.Step(*m.grant, now)
	case m.newRoster != nil:
		m.to.holder.SetRoster(*m.newRoster, m.sent, now)
		m.to.grantor.SetRoster(*m.newRoster, m.sent, now)
	}
}

func (f *fleet) byID(id api.InstanceID) *entry {
	i := slices.IndexFunc(f.entries, func(e *entry) bool { return e.id == id })
	return f.entries[i]
}

// startRequests starts requests of up to 20 s each until the entry has n in progress or
// one is refused.
func (f *fleet) startRequests(e *entry, n int) {
	for len(e.running) < n {
		p, err := e.holder.Acquire(cust, 0, e.clock(f.now))
		if err != nil {
			return
		}
		e.running = append(e.running, activeRequest{p, f.now.Add(time.Duration(f.rng.Int64N(int64(20 * time.Second))))})
	}
}

// exchange sends one round of requests to grantors, and delivers the roster of the
// control group to the entries that aren't partitioned.
func (f *fleet) exchange() {
	for _, e := range f.entries {
		if !e.partitioned {
			r := f.roster
			r.Age = f.now.Sub(f.rosterSince)
			f.send(e, inFlight{to: e, newRoster: &r, sent: e.clock(f.now)})
		}
		reqs := e.holder.Tick(e.clock(f.now))
		for _, to := range f.entries {
			if request, ok := reqs[to.id]; ok {
				f.send(e, inFlight{to: to, request: &request})
			}
		}
		e.grantor.Tick(e.clock(f.now))
	}
}

// check fails the test if the requests in progress, the rates in force or the floors
// exceed their bounds.
func (f *fleet) check() {
	f.t.Helper()
	l := f.limits[cust]
	var slots, rate int64
	var floors Share
	for _, e := range f.entries {
		now := e.clock(f.now)
		slots += int64(len(e.running))
		cu := (*e.holder.customers.Load())[cust]
		rate += cu.allowance(now).Rate
		if now.UnixNano() < e.holder.floorEnds.Load() {
			fl := cu.share.Load().floor.at(now)
			floors.Slots += fl.Slots
			floors.Rate += fl.Rate
		}
	}
	if s := Slack(l); slots > l.Slots+s.Slots || rate > l.Rate+s.Rate {
		f.t.Fatalf("%v: %d slots in use and a rate of %d in force exceed the limit %+v", f.now.Sub(t0), slots, rate, l)
	} else if floors.Slots > s.Slots || floors.Rate > s.Rate {
		f.t.Fatalf("%v: floors %+v exceed the slack %+v", f.now.Sub(t0), floors, s)
	}
}

// A customer overloads all entries while links lose and duplicate messages, and while
// one or more entries are partitioned, restart or leave the roster. However late a
// grant arrives or its loss is noticed, the requests in progress in the fleet must not
// exceed the limit by more than the floors.
func TestTotalStaysWithinLimit(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 3+int(seed%4), Limit{Slots: 40, Rate: 10_000})
			f.lossRate, f.lateRate = 0.5*f.rng.Float64(), 0.4*f.rng.Float64()
			period := 30 + f.rng.IntN(300)
			want := make([]int, len(f.entries))
			for i := range 4000 {
				if i%20 == 0 {
					f.exchange()
				}
				if i%period == 0 {
					f.injectFault(want)
				}
				f.step(100*time.Millisecond, want)
			}
			f.checkRecovery(want)
		})
	}
}

// checkRecovery ends all faults. The shares must then return to nearly the whole limit.
func (f *fleet) checkRecovery(want []int) {
	f.t.Helper()
	f.lossRate, f.lateRate = 0, 0
	for i, e := range f.entries {
		e.partitioned = false
		want[i] = 40
	}
	for i := range 1200 {
		if i%20 == 0 {
			f.exchange()
		}
		f.step(100*time.Millisecond, want)
	}
	var total int
	for _, e := range f.entries {
		total += len(e.running)
	}
	if total < 38 {
		f.t.Fatalf("%d of 40 slots in use after the faults, roster %+v", total, f.roster)
	}
}

// injectFault changes the demand of all entries and partitions, heals or restarts an
// entry, or changes the roster.
func (f *fleet) injectFault(want []int) {
	for i := range want {
		want[i] = f.rng.IntN(40)
	}
	e := f.entries[f.rng.IntN(len(f.entries))]
	switch f.rng.IntN(5) {
	case 0:
		e.partitioned = true
	case 1, 2:
		e.partitioned = false
	case 3:
		f.start(e)
	case 4:
		f.roster = Roster{Epoch: f.roster.Epoch + 1, Entries: f.toggled(e)}
		f.rosterSince = f.now
	}
}

// toggled returns the roster's entries without e, or with e if it isn't listed. The
// last entry stays listed.
func (f *fleet) toggled(e *entry) []api.InstanceID {
	out := slices.Clone(f.roster.Entries)
	if i := slices.Index(out, e.id); i >= 0 && len(out) > 1 {
		return slices.Delete(out, i, i+1)
	} else if i >= 0 {
		return out
	}
	return append(out, e.id)
}

// Demand moves from one entry to another. The share must follow it within a few
// renewals; otherwise the customer is refused while most of its limit is unused.
func TestShareFollowsDemand(t *testing.T) {
	f := newFleet(t, 1, 3, Limit{Slots: 40, Rate: 10_000})
	run := func(seconds int, want []int) int {
		for i := range seconds * 10 {
			if i%20 == 0 {
				f.exchange()
			}
			f.step(100*time.Millisecond, want)
		}
		return len(f.entries[slices.Index(want, 40)].running)
	}
	for _, want := range [][]int{{40, 0, 0}, {0, 40, 0}, {0, 0, 40}} {
		if got := run(40, want); got < 30 {
			t.Fatalf("%d of 40 slots with demand %v", got, want)
		}
	}
}
