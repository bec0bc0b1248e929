package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/state"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// localGroup is a control group of one member that updates the entry processes joined to it.
type localGroup struct {
	localPool
	mu      sync.Mutex
	state   *state.State
	entries []*Targets
}

func newLocalGroup() *localGroup {
	g := &localGroup{state: state.New(state.DefaultLimits())}
	g.localPool = localPool{limits: enoughRetries, pool: retrybudget.NewPool(), still: true}
	return g
}

// StateLimit implements LimitStater.
func (g *localGroup) StateLimit(_ context.Context, l state.LimitStatement) (state.TargetLimit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := state.Encode(state.Command{Now: time.Now().UnixMilli(), Limit: &l})
	if err != nil {
		return state.TargetLimit{}, err
	}
	r := g.state.Apply(g.state.Index()+1, data)
	if r.Reason != "" {
		return state.TargetLimit{}, errors.New(r.Message)
	}
	for _, t := range g.entries {
		t.ApplyLimits(g.state.TargetLimits())
	}
	return *r.Limit, nil
}

// entryNode is an entry process with its own table of targets.
type entryNode struct {
	s       *fixture
	url     string
	targets *Targets
	limits  *LimitReports
}

// join adds an entry process that knows one target.
func (s *fixture) join(g *localGroup, known directory.Record) *entryNode {
	m := &entryNode{s: s, targets: NewTargets(), limits: NewLimitReports(g, nopObserver{})}
	g.mu.Lock()
	m.targets.ApplyLimits(g.state.TargetLimits())
	g.entries = append(g.entries, m.targets)
	g.mu.Unlock()
	m.targets.Update([]directory.Record{known})
	m.url = s.serve(New(Settings{Zone: "z"}, Ports{
		Live: &s.live, Targets: m.targets, Pool: upstream.NewPool(nopObserver{}), Dialect: plainDialect{}, Engines: noCopies,
		Retries: NewRetries(g.limits, g), LimitReports: m.limits, Observer: nopObserver{},
	}))
	return m
}

// ask sends one request, and waits until the limit in its response has been reported.
func (m *entryNode) ask() int {
	resp, _, err := m.s.askAt(m.url, "/a/x")
	m.s.c.Assert(err, qt.IsNil)
	m.limits.Wait()
	return resp.StatusCode
}

// burst sends n requests concurrently.
func (m *entryNode) burst(n int) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			resp, _, err := m.s.askAt(m.url, "/a/x")
			m.s.c.Check(err, qt.IsNil)
			if resp.StatusCode != http.StatusOK {
				m.s.c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				m.s.c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
	all.Wait()
}

// limitedTarget is a target that announces a rate limit, or none.
type limitedTarget struct {
	rate    atomic.Value
	arrived atomic.Int64
}

func (l *limitedTarget) setLimit(rate float64) {
	l.rate.Store(strconv.FormatFloat(rate, 'f', -1, 64))
	l.arrived.Store(0)
}

func (l *limitedTarget) clearLimit() { l.rate.Store(""); l.arrived.Store(0) }

func (l *limitedTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.arrived.Add(1)
	if rate := l.rate.Load().(string); rate != "" {
		w.Header().Set("Limit", rate)
	}
}

const testRate = 2.3

// newLimitedFixture returns a fixture with one target, which announces the given rate limit.
func newLimitedFixture(t *testing.T, rate float64) (*fixture, *localGroup, *limitedTarget, directory.Record) {
	s, target := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies), &limitedTarget{}
	target.setLimit(rate)
	return s, newLocalGroup(), target, s.target("t", "z", target.ServeHTTP)
}

// allowed bounds the requests that may reach the target within four seconds.
const allowed = 1.5*testRate*4 + 5

// TestLimitHoldsForTheSumOfAllEntries guards against entries that each send a target as many
// requests as it accepts in total.
func TestLimitHoldsForTheSumOfAllEntries(t *testing.T) {
	const entries, each = 5, 40
	s, g, target, own := newLimitedFixture(t, testRate)
	var members []*entryNode
	for range entries {
		m := s.join(g, own)
		m.ask()
		members = append(members, m)
	}
	target.arrived.Store(0)
	var all sync.WaitGroup
	for _, m := range members {
		all.Go(func() { m.burst(each) })
	}
	all.Wait()
	s.c.Assert(float64(target.arrived.Load()) <= allowed, qt.IsTrue, qt.Commentf("%d", target.arrived.Load()))
}

// TestLimitIsKnownToEntriesWithoutAnAnswer guards against entries that ignore a target's limit
// until they have a response of their own from it: both entries that have sent it nothing yet
// and entries that start later.
func TestLimitIsKnownToEntriesWithoutAnAnswer(t *testing.T) {
	const each = 40
	s, g, target, own := newLimitedFixture(t, testRate)
	informed, other := s.join(g, own), s.join(g, own)
	s.c.Assert(informed.ask(), qt.Equals, http.StatusOK)
	other.burst(each)
	s.join(g, own).burst(each)
	s.c.Assert(float64(target.arrived.Load()) <= allowed, qt.IsTrue, qt.Commentf("%d", target.arrived.Load()))
}

// TestLimitIsLetGo guards against a limit that some entry applies after the target has removed
// it, or applies to the next run of the target.
func TestLimitIsLetGo(t *testing.T) {
	const each = 40
	s, g, target, own := newLimitedFixture(t, testRate)
	informed, other := s.join(g, own), s.join(g, own)
	informed.ask()

	other.burst(each) // the control group refuses grants beyond the limit
	status := other.targets.Of(service)[0].state()
	s.c.Assert(status.IsRefused(time.Now()), qt.IsTrue)
	target.clearLimit()
	g.now = time.Minute.Milliseconds()
	s.c.Assert(informed.ask(), qt.Equals, http.StatusOK)
	other.burst(each)
	s.c.Assert(target.arrived.Load(), qt.Equals, int64(1+each))

	target.setLimit(testRate)
	informed.ask()
	target.clearLimit()
	own.Born++
	for _, m := range []*entryNode{informed, other} {
		m.targets.Update([]directory.Record{own})
		m.burst(each)
	}
	s.c.Assert(target.arrived.Load(), qt.Equals, int64(2*each))
}

// TestLoweredLimitReachesAllEntries guards against entries that continue to apply a limit which
// the target has lowered.
func TestLoweredLimitReachesAllEntries(t *testing.T) {
	s, g, target, own := newLimitedFixture(t, 40)
	informed, other := s.join(g, own), s.join(g, own)
	informed.ask()
	target.setLimit(testRate)
	informed.ask()
	s.c.Assert(other.targets.Of(service)[0].limit().Rate, qt.Equals, testRate)
	other.burst(60)
	s.c.Assert(float64(target.arrived.Load()) <= allowed, qt.IsTrue, qt.Commentf("%d", target.arrived.Load()))
}

// TestLimitIsLearned checks how a response changes the limit that an entry applies to a target.
func TestLimitIsLearned(t *testing.T) {
	limit := targetlimit.Limit{Limited: true, Rate: testRate}
	current := targetlimit.Statement{Limit: limit, Sent: time.Now().Add(-2 * time.Second), Received: time.Now().Add(-time.Second)}
	for _, tt := range []struct {
		name  string
		reply Reply
		want  bool
	}{
		{"named", Reply{Limited: true, Limit: testRate}, true},
		{"named in the response to a request that was not run", Reply{Limited: true, Limit: testRate, NotRun: true}, true},
		{"no longer named", Reply{}, false},
		{"not named in the response to a request that was not run", Reply{NotRun: true}, true},
		{"unreadable", Reply{LimitErr: errors.New("unreadable")}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			targets := NewTargets()
			targets.Update([]directory.Record{{Target: "t", Service: service, Address: "a:1", State: directory.StateReady}})
			r := New(Settings{}, Ports{Targets: targets, LimitReports: NewLimitReports(newLocalGroup(), nopObserver{}), Observer: nopObserver{}})
			target := targets.Of(service)[0]
			target.applyLimit(current)
			r.applyStatements(&Request{}, target, tt.reply, target.newSendStart(false))
			r.limitReports.Wait()
			qt.New(t).Assert(target.limit().Limited, qt.Equals, tt.want)
		})
	}
}

// TestLimitThatCannotBeStatedIsGivenUp guards against starting a goroutine for every response
// of a target while the control group has no leader.
func TestLimitThatCannotBeStatedIsGivenUp(t *testing.T) {
	c := qt.New(t)
	targets := NewTargets()
	targets.Update([]directory.Record{{Target: "t", Service: service, Address: "a:1", State: directory.StateReady}})
	to := &leaderlessGroup{}
	r := New(Settings{}, Ports{Targets: targets, LimitReports: NewLimitReports(to, nopObserver{}), Observer: nopObserver{}})
	for range 100 {
		target := targets.Of(service)[0]
		r.applyStatements(&Request{}, target, Reply{Limited: true, Limit: 1}, target.newSendStart(false))
	}
	r.limitReports.Wait()
	c.Assert(to.most.Load() <= 1, qt.IsTrue)
}

// leaderlessGroup rejects every report; most is the highest number of concurrent reports.
type leaderlessGroup struct{ now, most atomic.Int64 }

// StateLimit implements LimitStater.
func (d *leaderlessGroup) StateLimit(context.Context, state.LimitStatement) (state.TargetLimit, error) {
	d.most.Store(max(d.most.Load(), d.now.Add(1)))
	defer d.now.Add(-1)
	return state.TargetLimit{}, errors.New("no leader")
}

// applyLimit applies what a response states of the target's limit.
func (t *Target) applyLimit(l targetlimit.Statement) {
	t.update(func(s targetstate.Status) targetstate.Status {
		return s.Apply(targetstate.Statement{Limit: &l}, l.Received, 0)
	})
}

// exhaustGrants makes the only target announce a limit of zero, and acquires the two requests
// that are granted nevertheless.
func (s *fixture) exhaustGrants() {
	target := s.targets.Of(service)[0]
	target.applyLimit(targetlimit.Statement{Limit: targetlimit.Limit{Limited: true}, Sent: time.Now(), Received: time.Now()})
	for i := range 2 {
		ask := retrybudget.Ask{ID: strconv.Itoa(i), Service: service, Target: target.Target, Purpose: retrybudget.PurposeLimited}
		answer, err := s.group.Retry(context.Background(), ask)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(answer.Granted, qt.IsTrue)
	}
}

// TestNoRoomIsSetAsideWithoutAGrant guards against reservations at busy engines for requests
// that are then not sent.
func TestNoRoomIsSetAsideWithoutAGrant(t *testing.T) {
	engines := &reservingEngines{copyFunc: noCopies, room: map[string]bool{}}
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, engines)
	s.enableReservations()
	a := s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the engine received the request") })
	engines.room[a.Address] = true
	s.exhaustGrants()
	resp, body, err := s.ask("/a/x")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	s.c.Assert(body, qt.Equals, string(api.ReasonTargetLimit)+"\n")
	s.c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.c.Assert(engines.asked, qt.HasLen, 0)
}

// TestRunIsNotStoppedForAnEngineThatMayNotBeAsked guards against stopping a run in order to
// continue it at an engine whose limit then refuses it.
func TestRunIsNotStoppedForAnEngineThatMayNotBeAsked(t *testing.T) {
	copied := make(chan struct{}, 4)
	engines := copyFunc(func(_, _ string, stop bool) (Copy, error) {
		if stop {
			t.Error("the run was stopped")
		}
		copied <- struct{}{}
		return Copy{Address: "x", ID: "handle"}, nil
	})
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines)
	s.target("b", "far", func(http.ResponseWriter, *http.Request) { t.Error("the second engine received the request") })
	s.exhaustGrants()
	s.startDrainingEngine(copied)
	_, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, eventText(1, 9))
}

// TestEndOfLimitThatWasInDoubtIsStatedAgain guards against a control group that keeps a limit
// which has ended. The group ignores the first report of the end if the response behind it may
// be older than the limit, so the report has to be repeated.
func TestEndOfLimitThatWasInDoubtIsStatedAgain(t *testing.T) {
	c := qt.New(t)
	targets := NewTargets()
	targets.Update([]directory.Record{{Target: "t", Service: service, Address: "a:1", State: directory.StateReady}})
	target := targets.Of(service)[0]
	to := &fixedGroup{result: state.TargetLimit{Limited: true, Rate: 1, Index: 1}}
	r := New(Settings{}, Ports{Targets: targets, LimitReports: NewLimitReports(to, nopObserver{}), Observer: nopObserver{}})
	receive := func(reply Reply) {
		r.applyStatements(&Request{}, target, reply, target.newSendStart(false))
		r.limitReports.Wait()
	}
	receive(Reply{Limited: true, Limit: 1})
	receive(Reply{})
	c.Assert(to.reports, qt.HasLen, 2)
	to.result = state.TargetLimit{Index: 2}
	receive(Reply{})
	c.Assert(to.reports, qt.HasLen, 3)
	c.Assert(to.reports[2].Seen, qt.Equals, uint64(1))
	receive(Reply{})
	c.Assert(to.reports, qt.HasLen, 3)
	c.Assert(target.limit().Limited, qt.IsFalse)
}

// fixedGroup returns result for every report, and records the reports.
type fixedGroup struct {
	result  state.TargetLimit
	reports []state.LimitStatement
}

// StateLimit implements LimitStater.
func (d *fixedGroup) StateLimit(_ context.Context, l state.LimitStatement) (state.TargetLimit, error) {
	d.reports = append(d.reports, l)
	return d.result, nil
}

// TestEntriesShareTheConnectionsOfATarget guards against entries whose idle connections together
// use up the connections that a target accepts.
func TestEntriesShareTheConnectionsOfATarget(t *testing.T) {
	for _, tt := range []struct{ accepts, entries, most int }{
		{0, 320, upstream.MaxIdlePerTarget},
		{252, 5, 25},
		{572, 68, 4},
		{200, 320, 1},
	} {
		s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
		config := s.live.Load().Config
		config.Services[0].Connections = tt.accepts
		table, err := routeconf.Compile(config)
		s.c.Assert(err, qt.IsNil)
		s.live.Store(table)
		s.targets.SetOthers(nil, tt.entries-1)
		r := New(Settings{}, Ports{Live: &s.live, Targets: s.targets})
		s.c.Assert(r.maxIdleConns(&Target{Record: directory.Record{Service: service}}), qt.Equals, tt.most)
	}
}
