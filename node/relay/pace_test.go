package relay

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/pace"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

const paceBound = 180 * time.Millisecond

// paceFixture is a relay with some engines, to which gaps are given directly.
type paceFixture struct {
	c       *qt.C
	relay   *Relay
	targets *Targets
	route   *routeconf.Route
	now     time.Time
	changes []string
	nopObserver
}

// PaceChanged implements Observer.
func (f *paceFixture) PaceChanged(t *Target, _, _ time.Duration, holds bool) {
	f.changes = append(f.changes, fmt.Sprint(t.Target, " ", holds))
}

func newPaceFixture(t testing.TB, engines int) *paceFixture {
	f := &paceFixture{c: qt.New(t), targets: NewTargets(), now: time.Now(), route: &routeconf.Route{MaxPause: paceBound, Generates: true}}
	for i := range engines {
		f.targets.Update([]directory.Record{{Target: api.TargetID(fmt.Sprint("e", i)), Service: service, Address: fmt.Sprint("a", i), Slots: 24, Sequence: 1, Born: 1, State: directory.StateReady, Software: "v1"}})
	}
	s := &fixture{}
	table, err := routeconf.Compile(routeconf.Config{Version: 1, Services: []routeconf.Service{{Name: service, Engine: &routeconf.Engine{CacheTokens: 10_000, TokensPerEvent: 4}}},
		Routes: []routeconf.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routeconf.KindStream, Timeout: time.Second, MaxTargets: 1, Split: []routeconf.Share{{Service: service, Weight: 1}}}}})
	f.c.Assert(err, qt.IsNil)
	s.live.Store(table)
	f.relay = New(Settings{}, Ports{Targets: f.targets, Live: &s.live, Observer: f})
	return f
}

func (f *paceFixture) engine(i int) *Target { return f.targets.Of(service)[i] }

// observe gives the relay gaps of a stream on an engine for a time.
func (f *paceFixture) observe(t *Target, gap time.Duration, condition pace.Condition, n int) {
	for range n {
		f.now = f.now.Add(gap)
		f.relay.observeGap(t, pace.Gap{Length: gap, End: f.now, Condition: condition}, paceBound, t.Load())
	}
}

// Guards against a pace that the other entries are not told of, or are told of at every gap: it
// is reported with the load, again only after it has changed, and no longer once it is too old.
func TestPaceIsReportedWithTheLoad(t *testing.T) {
	f := newPaceFixture(t, 1)
	e := f.engine(0)
	f.observe(e, 40*time.Millisecond, pace.Quiet, 40)
	list := f.targets.ChangedLoads()
	f.c.Assert(list, qt.HasLen, 1)
	f.c.Assert(list[0].Load, qt.Equals, fleetload.Load{PaceWeight: 32, PaceSum: 32 * 40})

	f.observe(e, 41*time.Millisecond, pace.Quiet, 40)
	f.c.Assert(f.targets.ChangedLoads(), qt.HasLen, 0)
	f.observe(e, 60*time.Millisecond, pace.Quiet, 200)
	f.c.Assert(f.targets.ChangedLoads(), qt.HasLen, 1)
	gap := paceOf(e.Load()).Gap()
	f.c.Assert(gap > 53 && gap < 61, qt.IsTrue, qt.Commentf("%v", gap))

	f.targets.expirePaces(f.now.Add(pace.Lifetime / 2))
	f.c.Assert(f.targets.Loads(), qt.HasLen, 1)
	f.targets.expirePaces(f.now.Add(pace.Lifetime + time.Second))
	f.c.Assert(f.targets.Loads(), qt.HasLen, 0)
}

// Guards against whole reports that list every engine that an entry has ever used.
func TestPacesOfIdleEnginesAreBounded(t *testing.T) {
	f := newPaceFixture(t, 2*maxIdlePaces)
	for _, e := range f.targets.Of(service) {
		f.observe(e, 10*time.Millisecond, pace.Quiet, 5)
	}
	f.targets.expirePaces(f.now)
	f.c.Assert(f.targets.Loads(), qt.HasLen, maxIdlePaces)
}

// Guards against a new run of an engine that is taken for as slow as the run before it.
func TestNextRunOfAnEngineHasNoPace(t *testing.T) {
	f := newPaceFixture(t, 1)
	f.observe(f.engine(0), 40*time.Millisecond, pace.Quiet, 40)
	r := f.engine(0).Record
	r.Born++
	f.targets.Update([]directory.Record{r})
	f.c.Assert(f.engine(0).Load(), qt.Equals, fleetload.Load{})
	f.c.Assert(f.engine(0).pace.over.Load(), qt.IsNil)
}

// Guards against an engine that is reported to change at each gap, and against one that becomes
// slow or fast again without a report.
func TestEngineIsReportedWhenItHoldsTheBoundNoMore(t *testing.T) {
	f := newPaceFixture(t, 2)
	f.observe(f.engine(0), 40*time.Millisecond, pace.Quiet, 50)
	f.c.Assert(f.changes, qt.HasLen, 0)
	f.observe(f.engine(0), 300*time.Millisecond, pace.Quiet, 50)
	f.c.Assert(f.changes, qt.DeepEquals, []string{"e0 false"})
	f.observe(f.engine(0), 20*time.Millisecond, pace.Quiet, 1000)
	f.c.Assert(f.changes, qt.DeepEquals, []string{"e0 false", "e0 true"})
}

// Guards against a sum of loads that loses a pace when it is packed.
func TestPackedPace(t *testing.T) {
	c := qt.New(t)
	for _, s := range []pace.Sum{{}, {Weight: 4, Milliseconds: 1}, {Weight: pace.MaxWeight, Milliseconds: pace.MaxWeight * int(pace.MaxGap/time.Millisecond)}} {
		c.Assert(unpackPace(packPace(s)), qt.Equals, s)
	}
}

// learn lets the relay see engine 0 as slow and all others as fast, with prompts to read, slow
// spells and streams of the given number of events.
func (f *paceFixture) learn(events int) {
	list := f.targets.Of(service)
	req := &Request{Ask: Ask{LikelyTokens: 4 * events}, decision: decision{Service: service, Route: f.route}}
	for range 30 {
		for i, t := range list {
			gap := 20 * time.Millisecond
			if i == 0 {
				gap = 50 * time.Millisecond
			}
			f.observe(t, gap, pace.Quiet, 10)
			f.observe(t, 2*gap, pace.Reading, 10)
			f.observe(t, 4*gap, pace.Reading, 1)
			f.relay.countPaced(req)
		}
	}
	f.now = f.now.Add(time.Minute) // the gaps above the bound no longer count
}

// pick returns how often each engine is chosen for a request.
func (f *paceFixture) pick(req *Request) map[api.TargetID]int {
	out := make(map[api.TargetID]int)
	for range 100 {
		if t := f.relay.pickWithRoom(req, true); t != nil {
			out[t.Target]++
		}
	}
	return out
}

func (f *paceFixture) request(tokens int, bound time.Duration) *Request {
	return &Request{Arrived: time.Now(), Ask: Ask{PromptTokens: 500, LikelyTokens: tokens, MaxTokens: tokens}, decision: decision{Service: service, Route: &routeconf.Route{Generates: true, MaxPause: bound}, tokens: 1000}}
}

// Guards against long streams on an engine that does not hold their bound, and against short
// answers on the engines that do, whatever their route says of pauses.
func TestStreamsArePlacedByPredictedPause(t *testing.T) {
	f := newPaceFixture(t, 4)
	f.learn(60)
	for i, e := range f.targets.Of(service) {
		if i > 0 {
			e.addRequest(1500, 0) // by load alone the slow engine is the best choice
		}
		e.pace.over.Store(nil)
	}
	f.c.Assert(f.pick(f.request(3000, paceBound))["e0"], qt.Equals, 0)
	f.c.Assert(f.pick(f.request(4, paceBound))["e0"], qt.Equals, 100)
	f.c.Assert(f.pick(f.request(4, 0))["e0"], qt.Equals, 100)
}

// Guards against effects of the pace where no route has a bound: nothing is observed, reported or
// predicted.
func TestPaceHasNoEffectWithoutABound(t *testing.T) {
	f := newPaceFixture(t, 2)
	req := f.request(3000, 0)
	s, l := &streamRun{relay: f.relay, req: req}, &leg{target: f.engine(0)}
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		s.observeGap(l, f.now)
		l.gaps.forwarded(f.now, req.Route.MaxPause)
	}
	f.c.Assert(f.targets.Loads(), qt.HasLen, 0)
	f.c.Assert(f.relay.newPaceNeed(req, 7000).Bound, qt.Equals, time.Duration(0))
	for _, c := range f.relay.candidates(req, f.targets.Of(service), nil, f.now) {
		f.c.Assert(c.Pause, qt.Equals, time.Duration(0))
	}
}

// Guards against an engine without history that is taken for one that holds the bound: it has the
// median pace. An engine seen by another entry alone has the pace that this one reports.
func TestPaceOfEnginesThatThisEntryHasNotSeen(t *testing.T) {
	f := newPaceFixture(t, 4)
	f.learn(60)
	f.targets.Update([]directory.Record{{Target: "new", Service: service, Address: "new", Slots: 24, Sequence: 1, Born: 1, State: directory.StateReady, Software: "v1"}})
	list := f.targets.Of(service)
	pauses := func() []placement.Candidate {
		return f.relay.candidates(f.request(3000, paceBound), list, nil, f.now)
	}
	got := pauses()
	known := slices.SortedFunc(slices.Values(got[:4]), func(a, b placement.Candidate) int { return cmp.Compare(a.Pause, b.Pause) })
	f.c.Assert(got[4].Pause, qt.Equals, known[2].Pause)
	f.c.Assert(got[0].Pause > 2*got[4].Pause, qt.IsTrue)

	f.targets.SetOthers([]fleetload.Sum{{Target: "new", Load: fleetload.Load{PaceWeight: 32, PaceSum: 32 * 100}}}, 1)
	f.c.Assert(pauses()[4].Pause > got[0].Pause, qt.IsTrue)
}

// Guards against gaps that depend on the caller, or contain a migration, being taken for the
// engine's: after an event that took long to forward, the next gap is not used, and the first
// event of a leg has none before it.
func TestGapsThatAreNotTheEnginesAreNotUsed(t *testing.T) {
	f := newPaceFixture(t, 1)
	s, l := &streamRun{relay: f.relay, req: f.request(3000, paceBound)}, &leg{target: f.engine(0)}
	s.observeGap(l, f.now)
	f.c.Assert(f.relay.paces.of(service), qt.IsNil)
	l.gaps.forwarded(f.now.Add(-time.Second), paceBound)
	s.observeGap(l, f.now.Add(time.Second))
	f.c.Assert(f.relay.paces.of(service), qt.IsNil)
	l.gaps.forwarded(time.Now(), paceBound)
	s.observeGap(l, f.now.Add(2*time.Second))
	f.c.Assert(f.relay.paces.of(service), qt.Not(qt.IsNil))
}

// BenchmarkObserveGap measures what an event of a stream with a pause bound costs in addition to
// one without.
func BenchmarkObserveGap(b *testing.B) {
	f := newPaceFixture(b, 1)
	e := f.engine(0)
	e.others.Store(&fleetload.Sum{Load: fleetload.Load{Running: 3, PaceWeight: 32, PaceSum: 1300}})
	req := &Request{decision: decision{Service: service, Route: f.route}}
	s, l := &streamRun{relay: f.relay, req: req}, &leg{target: e}
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(40 * time.Millisecond)
		s.observeGap(l, f.now)
		l.gaps.forwarded(f.now, paceBound)
	}
}
