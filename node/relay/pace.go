package relay

import (
	"cmp"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/pace"
	"almondseam.dev/core/placement"
)

// paces holds what this entry has learnt of the pace of engines, by service. Reading takes no
// lock. It is safe for concurrent use.
type paces struct {
	// mu is held while a service is added.
	mu       sync.Mutex
	services atomic.Pointer[map[api.ServiceID]*servicePace]
}

// servicePace is what this entry has learnt of the engines of one service.
type servicePace struct {
	// bound is the bound of the route of the last stream that was observed, in nanoseconds.
	bound  atomic.Int64
	model  atomic.Pointer[pace.Model]
	median atomic.Pointer[medianPace]

	// mu guards learner, and targetPace.learner of the service's targets.
	mu      sync.Mutex
	learner *pace.Service
}

// medianPace is the median pace of a service's engines at a time.
type medianPace struct {
	sum pace.Sum
	at  time.Time
}

// targetPace is what this entry has learnt of the pace of one run of an engine.
type targetPace struct {
	learner pace.Engine
	// holds is whether the engine was last reported to hold the bound; it is guarded like
	// learner.
	holds paceState
	// shared is the pace that this entry reports to the others, packed by packPace.
	shared atomic.Uint64
	// seenAt is when a gap was last observed, in nanoseconds since the table was created.
	seenAt atomic.Int64
	over   atomic.Pointer[pace.Over]
}

// paceState is whether an engine holds the bound.
type paceState uint8

const (
	paceUnknown paceState = iota
	paceHolds
	paceBreaks
)

func newPaces() *paces {
	p := &paces{}
	p.services.Store(&map[api.ServiceID]*servicePace{})
	return p
}

// of returns what is known of a service, nil if no stream of it was observed.
func (p *paces) of(s api.ServiceID) *servicePace { return (*p.services.Load())[s] }

// add returns what is known of a service, of which nothing was observed before if it is new.
func (p *paces) add(s api.ServiceID) *servicePace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.of(s); known != nil {
		return known
	}
	added := &servicePace{learner: pace.NewService()}
	added.model.Store(added.learner.Model())
	services := maps.Clone(*p.services.Load())
	services[s] = added
	p.services.Store(&services)
	return added
}

// boundFor returns the longest pause with which streams like the request are on time, zero for none.
// A request whose own route has none shares its engines with streams that have one.
func (p *servicePace) boundFor(req *Request) time.Duration {
	return cmp.Or(req.Route.MaxPause, time.Duration(p.bound.Load()))
}

// medianLifetime is how long the median pace of a service is used. It changes slowly, and its
// computation sorts all engines.
const medianLifetime = 250 * time.Millisecond

// medianOf returns the median pace of the engines of a service.
func (p *servicePace) medianOf(list []*Target, now time.Time) pace.Sum {
	known := p.median.Load()
	if known != nil && now.Sub(known.at) < medianLifetime {
		return known.sum
	}
	sums := make([]pace.Sum, len(list))
	for i, t := range list {
		sums[i] = paceOf(t.Load())
	}
	next := &medianPace{pace.Median(sums), now}
	p.median.Store(next)
	return next.sum
}

// pauseAt returns the longest pause to expect of a stream on a target with the given load; zero
// if nothing is known.
func (p *servicePace) pauseAt(t *Target, load fleetload.Load, median pace.Sum, now time.Time) time.Duration {
	pause := p.model.Load().Pause(paceOf(load).Or(median))
	if over := t.pace.over.Load(); over != nil {
		return over.AtLeast(pause, now)
	}
	return pause
}

// predictPauses sets the pause of each candidate, which describe the targets in list, if the
// request needs it.
func (r *Relay) predictPauses(req *Request, list []*Target, candidates []placement.Candidate, now time.Time) {
	p := r.paces.of(req.Service)
	if p == nil || p.boundFor(req) == 0 {
		return
	}
	median := p.medianOf(list, now)
	for i, t := range list {
		candidates[i].Pause = p.pauseAt(t, t.Load(), median, now)
	}
}

// paceNeed describes a stream that is still expected to have a number of events to the placement.
func (r *Relay) paceNeed(req *Request, events int) placement.Pace {
	p := r.paces.of(req.Service)
	if p == nil {
		return placement.Pace{}
	}
	m := p.model.Load()
	return placement.Pace{
		Bound: p.boundFor(req), Duration: m.Duration(events), Typical: m.Typical(), Interval: m.Interval, ReadInterval: m.ReadInterval,
	}
}

// newPaceNeed describes a stream that has not begun to the placement. speed is the number of
// prompt tokens that an engine processes a second, zero if unknown.
func (r *Relay) newPaceNeed(req *Request, speed float64) placement.Pace {
	need := r.paceNeed(req, r.expectedEvents(req))
	need.Prompt = req.Ask.PromptTokens
	if speed > 0 {
		need.Read = time.Duration(float64(need.Prompt) / speed * float64(time.Second))
	}
	return need
}

// expectedEvents returns the number of events that a stream is expected to have, zero if it is
// not known.
func (r *Relay) expectedEvents(req *Request) int {
	e := r.engine(req.Service)
	if e == nil || e.TokensPerEvent <= 0 {
		return 0
	}
	tokens := req.Ask.LikelyTokens
	if most := req.Ask.MaxTokens; tokens == 0 || most > 0 && most < tokens {
		tokens = most
	}
	return (tokens + e.TokensPerEvent - 1) / e.TokensPerEvent
}

// countPaced counts a stream that has ended, if streams of its service have a bound.
func (r *Relay) countPaced(req *Request) {
	if p := r.paces.of(req.Service); p != nil {
		events := r.expectedEvents(req)
		p.mu.Lock()
		p.learner.ObserveStream(events)
		p.mu.Unlock()
	}
}

// reportPlaced reports the pause that was predicted for the engine of a stream with a bound.
func (r *Relay) reportPlaced(req *Request, t *Target) {
	if req.Route.MaxPause == 0 {
		return
	}
	pause := time.Duration(0)
	if p := r.paces.of(req.Service); p != nil {
		now := time.Now()
		pause = p.pauseAt(t, t.Load(), p.medianOf(r.targets.Of(req.Service), now), now)
	}
	r.obs.Placed(req, t, pause)
}

// gapTracker measures the gaps between the events of one leg of a stream.
type gapTracker struct {
	// at is when the last event arrived, zero before the first one.
	at time.Time
	// reading is whether the engine then had prompts to read.
	reading bool
	// delayed is set if forwarding the last event took so long that the next one may have
	// waited at this entry.
	delayed bool
}

// delayShare is the part of the bound from which on the time to forward an event makes the next
// gap unusable: the gap then depends on the caller, not on the engine.
const delayShare = 1.0 / 16

// forwarded records that an event that arrived at the given time has been forwarded.
func (g *gapTracker) forwarded(arrived time.Time, bound time.Duration) {
	if bound > 0 {
		g.delayed = time.Since(arrived) > time.Duration(delayShare*float64(bound))
	}
}

// observeGap learns from the gap before an event of a leg, if the route bounds gaps.
func (s *streamRun) observeGap(l *leg, now time.Time) {
	bound := s.req.Route.MaxPause
	if bound == 0 {
		return
	}
	g := &l.gaps
	last := *g
	load := l.target.Load()
	*g = gapTracker{at: now, reading: load.Unread > 0}
	if last.at.IsZero() || last.delayed {
		return
	}
	gap := pace.Gap{Length: now.Sub(last.at), End: now, Late: s.req.Stream.LongestGap > bound}
	switch {
	case g.reading && last.reading:
		gap.Condition = pace.Reading
	case !g.reading && !last.reading:
		gap.Condition = pace.Quiet
	}
	s.relay.observeGap(l.target, gap, bound, load)
}

// observeGap learns from one gap. load is the load of the target.
func (r *Relay) observeGap(t *Target, gap pace.Gap, bound time.Duration, load fleetload.Load) {
	service := r.paces.of(t.Service)
	if service == nil {
		service = r.paces.add(t.Service)
	}
	if service.bound.Load() != int64(bound) {
		service.bound.Store(int64(bound))
	}
	fleet := paceOf(load)
	service.mu.Lock()
	learner := &t.pace.learner
	learner.Observe(service.learner, gap, bound, fleet)
	model, over := service.learner.Model(), learner.Over()
	sum := learner.Sum(model)
	pause := over.AtLeast(model.Pause(fleet), gap.End)
	changed := t.pace.changed(pause, bound)
	service.mu.Unlock()

	if service.model.Load() != model {
		service.model.Store(model)
	}
	if gap.Length > bound {
		t.pace.over.Store(&over)
	}
	t.sharePace(sum, gap.End)
	if changed {
		r.obs.PaceChanged(t, pause, bound, pause <= bound)
	}
}

// changed reports whether the engine does not hold the bound any more, or holds it again. A
// prediction must be below the bound by a tenth to count as holding it again, so that one near
// the bound is not reported at each gap.
func (p *targetPace) changed(pause, bound time.Duration) bool {
	if pause == 0 {
		return false
	}
	const margin = 10
	before := p.holds
	switch {
	case pause > bound:
		p.holds = paceBreaks
	case before != paceBreaks || pause < bound-bound/margin:
		p.holds = paceHolds
	}
	return p.holds != before && (before != paceUnknown || p.holds == paceBreaks)
}

// sharePace reports the pace to the other entries, with the next report of the target's load, if
// it differs from what was reported.
func (t *Target) sharePace(sum pace.Sum, now time.Time) {
	t.pace.seenAt.Store(int64(now.Sub(t.table.created)))
	if unpackPace(t.pace.shared.Load()).Differs(sum) {
		t.pace.shared.Store(packPace(sum))
		t.markDirty(false)
	}
}

// packPace packs a sum, whose numbers are not negative and small, into one number.
func packPace(s pace.Sum) uint64 { return uint64(s.Weight)<<32 | uint64(uint32(s.Milliseconds)) }

func unpackPace(v uint64) pace.Sum {
	return pace.Sum{Weight: int(v >> 32), Milliseconds: int(uint32(v))}
}

func paceOf(l fleetload.Load) pace.Sum {
	return pace.Sum{Weight: l.PaceWeight, Milliseconds: l.PaceSum}
}

// maxIdlePaces bounds the targets that a whole report lists for their pace alone, and so its
// size: some 30 bytes each.
const maxIdlePaces = 100

// expirePaces stops reporting the paces that are too old, and those of idle targets beyond
// maxIdlePaces. The caller holds t.mu.
func (t *Targets) expirePaces(now time.Time) {
	idle := 0
	for _, target := range t.byID {
		p := &target.pace
		if p.shared.Load() == 0 {
			continue
		}
		if target.running.Load() == 0 {
			idle++
		}
		if idle > maxIdlePaces || now.Sub(t.created)-time.Duration(p.seenAt.Load()) > pace.Lifetime {
			p.shared.Store(0)
		}
	}
}
