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
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// localGroup is a control group of one member, and the entries that it tells.
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
		t.HearLimits(g.state.TargetLimits())
	}
	return *r.Limit, nil
}

// member is an entry of a test with a table of targets of its own.
type member struct {
	s       *stage
	url     string
	targets *Targets
	limits  *LimitReports
}

// join adds an entry that knows a target.
func (s *stage) join(g *localGroup, known directory.Record) *member {
	m := &member{s: s, targets: NewTargets(), limits: NewLimitReports(g, quiet{})}
	g.mu.Lock()
	m.targets.HearLimits(g.state.TargetLimits())
	g.entries = append(g.entries, m.targets)
	g.mu.Unlock()
	m.targets.Update([]directory.Record{known})
	m.url = s.serve(New(Settings{Zone: "z"}, Ports{
		Live: &s.live, Targets: m.targets, Pool: upstream.NewPool(quiet{}), Dialect: plainDialect{}, Engines: noMoves,
		Retries: NewRetries(g.limits, g), LimitReports: m.limits, Observer: quiet{},
	}))
	return m
}

// ask makes one request, and waits until the group has been told what its answer says.
func (m *member) ask() int {
	resp, _, err := m.s.askAt(m.url, "/a/x")
	m.s.c.Assert(err, qt.IsNil)
	m.limits.Wait()
	return resp.StatusCode
}

// burst makes so many requests at once.
func (m *member) burst(n int) {
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

// limited is a target that names a limit, none for zero.
type limited struct {
	rate    atomic.Value
	arrived atomic.Int64
}

func (l *limited) names(rate float64) {
	l.rate.Store(strconv.FormatFloat(rate, 'f', -1, 64))
	l.arrived.Store(0)
}

func (l *limited) namesNone() { l.rate.Store(""); l.arrived.Store(0) }

func (l *limited) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.arrived.Add(1)
	if rate := l.rate.Load().(string); rate != "" {
		w.Header().Set("Limit", rate)
	}
}

const testRate = 2.3

// newLimitedStage has one target, which names a limit.
func newLimitedStage(t *testing.T, rate float64) (*stage, *localGroup, *limited, directory.Record) {
	s, target := newStage(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noMoves), &limited{}
	target.names(rate)
	return s, newLocalGroup(), target, s.target("t", "z", target.ServeHTTP)
}

// allowed is the users' bound on what arrives in four seconds.
const allowed = 1.5*testRate*4 + 5

// TestLimitHoldsForTheSumOfAllEntries guards against entries that each send a target what it
// says that it takes from all instances together.
func TestLimitHoldsForTheSumOfAllEntries(t *testing.T) {
	const entries, each = 5, 40
	s, g, target, own := newLimitedStage(t, testRate)
	var members []*member
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

// TestLimitIsKnownToEntriesWithoutAnAnswer guards against entries that send a limited target
// what they like until they have an answer of it themselves: those that have asked it nothing
// yet, and those that start later.
func TestLimitIsKnownToEntriesWithoutAnAnswer(t *testing.T) {
	const each = 40
	s, g, target, own := newLimitedStage(t, testRate)
	told, other := s.join(g, own), s.join(g, own)
	s.c.Assert(told.ask(), qt.Equals, http.StatusOK)
	other.burst(each)
	s.join(g, own).burst(each)
	s.c.Assert(float64(target.arrived.Load()) <= allowed, qt.IsTrue, qt.Commentf("%d", target.arrived.Load()))
}

// TestLimitIsLetGo guards against a limit that outlives the target's naming it, at any entry,
// and against one that is held against the next run of the target.
func TestLimitIsLetGo(t *testing.T) {
	const each = 40
	s, g, target, own := newLimitedStage(t, testRate)
	told, other := s.join(g, own), s.join(g, own)
	told.ask()

	other.burst(each) // the group refuses it more
	s.c.Assert(other.targets.Of(service)[0].heldBack(time.Now()), qt.IsTrue)
	target.namesNone()
	g.now = time.Minute.Milliseconds()
	s.c.Assert(told.ask(), qt.Equals, http.StatusOK)
	other.burst(each)
	s.c.Assert(target.arrived.Load(), qt.Equals, int64(1+each))

	target.names(testRate)
	told.ask()
	target.namesNone()
	own.Born++
	for _, m := range []*member{told, other} {
		m.targets.Update([]directory.Record{own})
		m.burst(each)
	}
	s.c.Assert(target.arrived.Load(), qt.Equals, int64(2*each))
}

// TestLoweredLimitReachesAllEntries guards against entries that go on by a limit that the
// target has lowered since.
func TestLoweredLimitReachesAllEntries(t *testing.T) {
	s, g, target, own := newLimitedStage(t, 40)
	told, other := s.join(g, own), s.join(g, own)
	told.ask()
	target.names(testRate)
	told.ask()
	s.c.Assert(other.targets.Of(service)[0].limit().Rate, qt.Equals, testRate)
	other.burst(60)
	s.c.Assert(float64(target.arrived.Load()) <= allowed, qt.IsTrue, qt.Commentf("%d", target.arrived.Load()))
}

// What an answer changes in what is believed of the target's limit.
func TestLimitIsLearned(t *testing.T) {
	limit := targetlimit.Limit{Limited: true, Rate: testRate}
	believed := targetlimit.Statement{Limit: limit, Sent: time.Now().Add(-2 * time.Second), Received: time.Now().Add(-time.Second)}
	for _, tt := range []struct {
		name  string
		reply Reply
		want  bool
	}{
		{"named", Reply{Limited: true, Limit: testRate}, true},
		{"named by an answer that states that the request was not run", Reply{Limited: true, Limit: testRate, NotRun: true}, true},
		{"named no more", Reply{}, false},
		{"nothing named by an answer that states that the request was not run", Reply{NotRun: true}, true},
		{"unreadable", Reply{LimitErr: errors.New("unreadable")}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			targets := NewTargets()
			targets.Update([]directory.Record{{Target: "t", Service: service, Address: "a:1", State: directory.StateReady}})
			r := New(Settings{}, Ports{Targets: targets, LimitReports: NewLimitReports(newLocalGroup(), quiet{}), Observer: quiet{}})
			target := targets.Of(service)[0]
			target.heard(believed)
			r.learnLimit(&Request{}, target, tt.reply, target.sendBegins())
			r.limitReports.Wait()
			qt.New(t).Assert(target.limit().Limited, qt.Equals, tt.want)
		})
	}
}

// TestLimitThatCannotBeStatedIsGivenUp guards against a goroutine for each answer of a target
// while the group has no leader.
func TestLimitThatCannotBeStatedIsGivenUp(t *testing.T) {
	c := qt.New(t)
	targets := NewTargets()
	targets.Update([]directory.Record{{Target: "t", Service: service, Address: "a:1", State: directory.StateReady}})
	to := &deafGroup{}
	r := New(Settings{}, Ports{Targets: targets, LimitReports: NewLimitReports(to, quiet{}), Observer: quiet{}})
	for range 100 {
		target := targets.Of(service)[0]
		r.learnLimit(&Request{}, target, Reply{Limited: true, Limit: 1}, target.sendBegins())
	}
	r.limitReports.Wait()
	c.Assert(to.most.Load() <= 1, qt.IsTrue)
}

// deafGroup hears nothing; most is how many have told it something at the same time.
type deafGroup struct{ now, most atomic.Int64 }

// StateLimit implements LimitStater.
func (d *deafGroup) StateLimit(context.Context, state.LimitStatement) (state.TargetLimit, error) {
	d.most.Store(max(d.most.Load(), d.now.Add(1)))
	defer d.now.Add(-1)
	return state.TargetLimit{}, errors.New("no leader")
}

// grantsOthersAll lets the stage's only target name a limit of nothing, and others be granted
// the two requests that it gets all the same.
func (s *stage) grantsOthersAll() {
	target := s.targets.Of(service)[0]
	target.heard(targetlimit.Statement{Limit: targetlimit.Limit{Limited: true}, Sent: time.Now(), Received: time.Now()})
	for i := range 2 {
		ask := retrybudget.Ask{ID: strconv.Itoa(i), Service: service, Target: target.Target, Purpose: retrybudget.PurposeLimited}
		answer, err := s.group.Retry(context.Background(), ask)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(answer.Granted, qt.IsTrue)
	}
}

// TestNoRoomIsSetAsideWithoutAGrant guards against engines in need that keep room for requests
// which are then not sent.
func TestNoRoomIsSetAsideWithoutAGrant(t *testing.T) {
	k := &keeper{mover: noMoves, room: map[string]bool{}}
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1, Generates: true}, k)
	s.reserving()
	a := s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("the engine got the request") })
	k.room[a.Address] = true
	s.grantsOthersAll()
	resp, body, err := s.ask("/a/x")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	s.c.Assert(body, qt.Equals, string(api.ReasonTargetLimit)+"\n")
	s.c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.c.Assert(k.asked, qt.HasLen, 0)
}

// TestRunIsNotStoppedForAnEngineThatMayNotBeAsked guards against a run that is stopped to go
// on at an engine whose limit then refuses it.
func TestRunIsNotStoppedForAnEngineThatMayNotBeAsked(t *testing.T) {
	copied := make(chan struct{}, 4)
	engines := mover(func(_, _ string, stop bool) (Copy, error) {
		if stop {
			t.Error("the run was stopped")
		}
		copied <- struct{}{}
		return Copy{Address: "x", ID: "handle"}, nil
	})
	s := newStage(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, engines)
	s.target("b", "far", func(http.ResponseWriter, *http.Request) { t.Error("the second engine got the request") })
	s.grantsOthersAll()
	s.leavingEngine(copied)
	_, body, err := s.ask("/a/x", "Most", "50")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, wanted(1, 9))
}

// TestEndOfLimitThatWasInDoubtIsStatedAgain guards against a group that goes by a limit which
// has ended, as the answer that told so may have been older than the limit.
func TestEndOfLimitThatWasInDoubtIsStatedAgain(t *testing.T) {
	c := qt.New(t)
	targets := NewTargets()
	targets.Update([]directory.Record{{Target: "t", Service: service, Address: "a:1", State: directory.StateReady}})
	target := targets.Of(service)[0]
	to := &doubtfulGroup{keeps: state.TargetLimit{Limited: true, Rate: 1, Index: 1}}
	r := New(Settings{}, Ports{Targets: targets, LimitReports: NewLimitReports(to, quiet{}), Observer: quiet{}})
	hear := func(reply Reply) {
		r.learnLimit(&Request{}, target, reply, target.sendBegins())
		r.limitReports.Wait()
	}
	hear(Reply{Limited: true, Limit: 1})
	hear(Reply{})
	c.Assert(to.told, qt.HasLen, 2)
	to.keeps = state.TargetLimit{Index: 2}
	hear(Reply{})
	c.Assert(to.told, qt.HasLen, 3)
	c.Assert(to.told[2].Seen, qt.Equals, uint64(1))
	hear(Reply{})
	c.Assert(to.told, qt.HasLen, 3)
	c.Assert(target.limit().Limited, qt.IsFalse)
}

// doubtfulGroup goes by what it keeps, whatever it is told.
type doubtfulGroup struct {
	keeps state.TargetLimit
	told  []state.LimitStatement
}

// StateLimit implements LimitStater.
func (d *doubtfulGroup) StateLimit(_ context.Context, l state.LimitStatement) (state.TargetLimit, error) {
	d.told = append(d.told, l)
	return d.keeps, nil
}

// TestEntriesShareTheConnectionsOfATarget guards against idle connections of many entries that
// use up what a target accepts from all together.
func TestEntriesShareTheConnectionsOfATarget(t *testing.T) {
	for _, tt := range []struct{ accepts, entries, most int }{
		{0, 320, upstream.MaxIdlePerTarget},
		{252, 5, 25},
		{572, 68, 4},
		{200, 320, 1},
	} {
		s := newStage(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noMoves)
		config := s.live.Load().Config
		config.Services[0].Connections = tt.accepts
		table, err := routeconf.Compile(config)
		s.c.Assert(err, qt.IsNil)
		s.live.Store(table)
		s.targets.SetOthers(nil, tt.entries-1)
		r := New(Settings{}, Ports{Live: &s.live, Targets: s.targets})
		s.c.Assert(r.keepMost(&Target{Record: directory.Record{Service: service}}), qt.Equals, tt.most)
	}
}
