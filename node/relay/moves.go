package relay

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/routeconf"
)

// moveEstimates learns, for each service, how long engines work after they have announced that
// they drain, and how fast runs are copied between engines. It is safe for concurrent use.
type moveEstimates struct {
	mu        sync.Mutex
	byService map[api.ServiceID]*moveEstimate
	// departures holds, by service, what is known of the departures of engines. It is read for
	// each choice of an engine and replaced as a whole.
	departures atomic.Pointer[map[api.ServiceID]*departures]
}

// departures is what is known of the departures of the engines of a service. It is immutable.
type departures struct {
	// ages is what the ages of engines tell, nil if nothing; at is when they were looked at.
	ages *handoff.Ages
	at   time.Time
	// notice is what migrations rely on, perEvent the mean time between two events of a stream
	// in seconds.
	notice   time.Duration
	perEvent float64
}

type moveEstimate struct {
	notice handoff.NoticeEstimator
	rates  handoff.CopyRates
	ages   handoff.AgeEstimator
	// perEvent is the mean time between two events of a stream, in seconds; zero if unknown.
	perEvent float64
}

func newMoveEstimates() *moveEstimates {
	m := &moveEstimates{byService: make(map[api.ServiceID]*moveEstimate)}
	m.departures.Store(&map[api.ServiceID]*departures{})
	return m
}

// of returns the estimate of a service. The caller holds m.mu.
func (m *moveEstimates) of(s api.ServiceID) *moveEstimate {
	one := m.byService[s]
	if one == nil {
		one = &moveEstimate{}
		m.byService[s] = one
	}
	return one
}

func (m *moveEstimates) notice(s api.ServiceID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.of(s).notice.Notice()
}

func (m *moveEstimates) rate(s api.ServiceID, configured float64, sameZone bool) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.of(s).rates.Rate(configured, sameZone)
}

func (m *moveEstimates) copied(from, to *Target, tokens int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(from.Service).rates.Observe(tokens, took, from.Zone == to.Zone)
}

// ended records that a draining engine broke off a run. Only the first of its runs counts.
func (m *moveEstimates) ended(t *Target, now time.Time) {
	if !t.isDraining() || !t.endSeen.CompareAndSwap(false, true) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(t.Service).notice.Ended(now.Sub(t.state().DrainingSince))
}

// lasted records that a run came to its own end at an engine that may be draining.
func (m *moveEstimates) lasted(t *Target, now time.Time) {
	if !t.isDraining() || now.Before(t.state().DrainingSince.Add(m.notice(t.Service))) || !t.lastSeen.CompareAndSwap(false, true) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(t.Service).notice.Lasted(now.Sub(t.state().DrainingSince))
}

// perEventWeight is the weight of the last stream in the mean time between two events.
const perEventWeight = 0.05

// completed records the pace of a stream that has ended well.
func (m *moveEstimates) completed(req *Request, last time.Time) {
	st := &req.Stream
	if st.Events < 2 {
		return
	}
	perEvent := last.Sub(req.Arrived.Add(st.First)).Seconds() / float64(st.Events-1)
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.of(req.Service)
	if e.perEvent == 0 {
		e.perEvent = perEvent
	}
	e.perEvent += perEventWeight * (perEvent - e.perEvent)
}

// agesInterval is the interval at which the ages of the engines are looked at.
const agesInterval = time.Second

// departuresOf returns what is known of the departures of engines of a service. list holds all
// engines of the service.
func (m *moveEstimates) departuresOf(s api.ServiceID, list []*Target, now time.Time) *departures {
	known := (*m.departures.Load())[s]
	if known != nil && now.Sub(known.at) < agesInterval || !m.mu.TryLock() {
		return known
	}
	defer m.mu.Unlock()
	e := m.of(s)
	var alive []time.Duration
	for _, t := range list {
		switch {
		case t.since.IsZero() || t.ageSeen:
		case t.isDraining():
			t.ageSeen = true
			e.ages.Left(t.state().DrainingSince.Sub(t.since))
		default:
			alive = append(alive, now.Sub(t.since))
		}
	}
	known = &departures{ages: e.ages.Ages(alive), at: now, notice: e.notice.Notice(), perEvent: e.perEvent}
	next := maps.Clone(*m.departures.Load())
	next[s] = known
	m.departures.Store(&next)
	return known
}

// leavesBeforeEnd returns the probability that a target leaves before a stream placed there ends,
// nil if ages tell nothing or the stream is expected to end within the notice of any engine.
func (r *Relay) leavesBeforeEnd(req *Request, service *routeconf.Service, now time.Time) func(*Target) float64 {
	e := service.Engine
	if e == nil || !e.Moves || e.TokensPerEvent <= 0 || req.Ask.LikelyTokens <= 0 {
		return nil
	}
	known := r.moves.departuresOf(service.Name, r.targets.Of(service.Name), now)
	if known == nil || known.ages == nil {
		return nil
	}
	events := req.Ask.LikelyTokens / e.TokensPerEvent
	length := time.Duration(float64(events)*known.perEvent*float64(time.Second)) + req.Route.Objective
	if length <= known.notice {
		return nil
	}
	return func(t *Target) float64 {
		if t.since.IsZero() {
			return 0
		}
		return known.ages.LeavesWithin(now.Sub(t.since), length)
	}
}

// noticeEnd returns until when an engine can be relied on to work: the end of the notice of one
// that drains, else a notice from now.
func (r *Relay) noticeEnd(t *Target) time.Time {
	since := t.state().DrainingSince
	if since.IsZero() {
		since = time.Now()
	}
	return since.Add(r.moves.notice(t.Service))
}

// moveRate returns the rate, in tokens a second, on which copies of runs of the service can
// rely; zero if unknown.
func (r *Relay) moveRate(s api.ServiceID, sameZone bool) float64 {
	configured := 0.0
	if e := r.engine(s); e != nil {
		configured = e.MoveRate()
	}
	return r.moves.rate(s, configured, sameZone)
}

// MigrationTimes holds what a migration spent its time on.
type MigrationTimes struct {
	// Turn is the wait for runs of the same engine, Room the time until an engine accepted the
	// run, Whole the first copy, Retry the wait for the retry budget, and Rounds the copies of
	// what was added. The run continued until then. Last is the copy for which it was stopped.
	Turn, Room, Whole, Retry, Rounds, Last time.Duration
}

// MigrationPause describes a stream that paused over its bound in a migration.
type MigrationPause struct {
	// Pause is the time between the last event before the migration and the first one after it.
	Pause time.Duration
	// NoticeLeft is what was left of the engine's notice when the run was stopped; negative
	// after its end.
	NoticeLeft time.Duration
	// Tokens is the memory of the run, Bytes the number of bytes that were copied for it, zero
	// if unknown, and Rate the observed rate of copies in tokens a second.
	Tokens int
	Bytes  int
	Rate   float64
	Times  MigrationTimes
}

// WaitedFor returns what took most of the pause.
func (p *MigrationPause) WaitedFor() string {
	if p.Times.Last > p.Pause/2 {
		return "last_copy"
	}
	return "continuation"
}

// migrationRecord is a migration whose first event has not arrived yet.
type migrationRecord struct {
	MigrationPause
	from, to *Target
}

// notePause keeps what is known of a migration until the next event.
func (s *streamRun) notePause(l *leg, to *Target, p MigrationPause) {
	s.paused = &migrationRecord{MigrationPause: p, from: l.target, to: to}
}

// reportPause reports a pause over the stream's bound if it is due to a migration.
func (s *streamRun) reportPause(pause time.Duration) {
	p := s.paused
	s.paused = nil
	bound := s.req.Route.MaxPause
	if p == nil || bound == 0 || pause <= bound {
		return
	}
	p.Pause = pause
	p.Rate = s.relay.moveRate(s.req.Service, p.from.Zone == p.to.Zone)
	if e := s.engine(); e != nil {
		p.Bytes = p.Tokens * e.BytesPerToken
	}
	s.relay.obs.MigrationPaused(s.req, p.from, p.to, p.MigrationPause)
}

// turn describes what the run waits for.
func (s *streamRun) turn(l *leg) handoff.Turn {
	ahead, since := l.target.backlog(), l.target.state().DrainingSince
	if ahead.since.After(since) {
		since = ahead.since
	}
	// The runs ahead may be copied to another availability zone.
	rate := s.relay.moveRate(s.req.Service, false)
	return handoff.Turn{Ahead: handoff.MoveTime(ahead.Tokens, ahead.Runs, rate), Since: since, Runs: ahead.Runs}
}

// refusedFor is how long an engine that has refused a copy of a run is not tried again for it: a
// stream ends at an engine every few hundred milliseconds.
const refusedFor = 200 * time.Millisecond

// refusedTarget is an engine that has refused a copy of a run.
type refusedTarget struct {
	target *Target
	until  time.Time
}
