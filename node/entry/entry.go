package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

// Config of an entry. Zero values take the defaults below.
type Config struct {
	// Bid bounds the wait for bids, and Offer the wait for an agent's answer to
	// an offer and to a tombstone.
	Bid   time.Duration
	Offer time.Duration
	// Relink is how long a request waits for its agent to come back after a
	// link was lost.
	Relink time.Duration
	Clock  func() time.Time
}

// Defaults of Config.
const (
	DefaultBid    = 250 * time.Millisecond
	DefaultOffer  = 2 * time.Second
	DefaultRelink = 10 * time.Second
)

// Entry places requests and follows them. Make it with New.
type Entry struct {
	cfg     Config
	placer  Placer
	retrier Retrier
	obs     Observer
	peers   *peers
	legs    *legs
	bids    *bids
	work    conc.WaitGroup
	drains  atomic.Pointer[map[api.TargetID]api.Incarnation]
	// evacuated are the availability zones whose targets get nothing new; nil for none.
	evacuated atomic.Pointer[[]api.Zone]
	fleet     atomic.Pointer[fleetEntries]
	ready     atomic.Pointer[map[api.TargetID]bool]
	orderer   Orderer
	// fetching ends the fetching of orders.
	fetching context.Context
	lease    time.Duration
	pace     atomic.Int64 // interval of load reports last told, in nanoseconds
}

// New makes an entry. obs may be nil.
func New(cfg Config, placer Placer, retrier Retrier, obs Observer) *Entry {
	cfg.Bid = cmp.Or(cfg.Bid, DefaultBid)
	cfg.Offer = cmp.Or(cfg.Offer, DefaultOffer)
	cfg.Relink = cmp.Or(cfg.Relink, DefaultRelink)
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if obs == nil {
		obs = noObserver{}
	}
	return &Entry{
		cfg:     cfg,
		placer:  placer,
		retrier: retrier,
		obs:     obs,
		peers:   newPeers(),
		legs:    newLegs(),
		bids:    newBids(),
	}
}

// Wait returns when no request is in progress.
func (e *Entry) Wait() { e.work.Wait() }

// Targets counts the linked agents.
func (e *Entry) Targets() int { return len(e.peers.all()) }

// TargetView is one linked target as this entry sees it.
type TargetView struct {
	Target      api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	Leaving     bool
}

// View lists the linked targets by name.
func (e *Entry) View() []TargetView {
	all := e.peers.all()
	out := make([]TargetView, 0, len(all))
	for _, p := range all {
		out = append(out, p.view())
	}
	slices.SortFunc(out, func(a, b TargetView) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// Reasons for the end of a request from the caller's side.
var errCallerGone = errors.New("caller has gone")

// callerHeld ends the entry's part and leaves the generation running for hold.
type callerHeld struct{ hold time.Duration }

func (callerHeld) Error() string { return "caller has gone and may come back" }

// Start places a request and gives its answer. ctx ends the request when the
// process stops hard.
func (e *Entry) Start(ctx context.Context, r *Request) *Answer {
	a := newAnswer()
	ctx, a.cancel = context.WithCancelCause(ctx)
	e.work.Go(func() {
		defer a.cancel(nil)
		end := e.drive(ctx, a, r)
		e.obs.Ended(r, end)
		a.finish(end)
	})
	return a
}

// AgentLink is what the link layer calls for one agent's link: Handle for each
// message, in order, on one goroutine, then Closed.
type AgentLink struct {
	e    *Entry
	to   sender
	self *peer
}

// Attach makes a link known; its agent is not used before it has announced.
func (e *Entry) Attach(to sender) *AgentLink { return &AgentLink{e: e, to: to} }

// Closed forgets the link. Requests on it wait for the agent to come back.
func (t *AgentLink) Closed() {
	if t.self == nil {
		return
	}
	if t.e.peers.drop(t.self.target, t.to) {
		t.e.placer.Remove(t.self.target, t.self.inc)
		t.e.repace(nil)
		t.e.obs.TargetGone(t.self.view())
	}
}

// Handle takes one message.
func (t *AgentLink) Handle(m wire.Message) {
	switch m := m.(type) {
	case *wire.Announce:
		t.onAnnounce(m)
	case *wire.Load:
		t.onLoad(m)
	case *wire.OrderState:
		t.onOrderState(m)
	case *wire.Bid:
		t.e.bids.answer(t.target(), m)
	case *wire.Data:
		if g := t.e.leg(m.Key); g != nil {
			g.onData(m)
		}
	case *wire.Head:
		if g := t.e.leg(m.Key); g != nil {
			g.answer.setHead(m)
		}
	case *wire.State:
		if g := t.e.leg(m.Key); g != nil {
			g.answer.setPhase(m.Phase, m.Position)
		}
	case *wire.Accepted:
		t.onAccepted(m)
	case *wire.Refused:
		t.e.tell(m.Key, m)
	case *wire.Final:
		t.e.tell(m.Key, m)
	case *wire.Tombstoned:
		t.e.tell(m.Key, m)
	case *wire.Returned:
		t.e.tell(m.Key, m)
	}
}

// onAccepted sets the phase here, in the order of the link, and not where the
// driver hears of it: "started" may be right behind, and a caller must not be
// told "queued" after it.
func (t *AgentLink) onAccepted(m *wire.Accepted) {
	g := t.e.leg(m.Key)
	if g == nil {
		return
	}
	g.heard.Store(true)
	if g.key.Attempt == 0 {
		g.answer.setPhase(wire.PhaseStarted, 0)
	} else {
		g.answer.setPhase(wire.PhaseQueued, m.Position)
	}
	g.tell(m)
}

func (e *Entry) leg(k wire.Key) *leg {
	g := e.legs.find(k)
	if g == nil {
		e.obs.Dropped("late")
	}
	return g
}

func (e *Entry) tell(k wire.Key, m wire.Message) {
	if g := e.leg(k); g != nil {
		g.tell(m)
	}
}

func (t *AgentLink) target() api.TargetID {
	if t.self == nil {
		return ""
	}
	return t.self.target
}

func (t *AgentLink) onAnnounce(m *wire.Announce) {
	fresh := t.self == nil || t.self.inc != m.Incarnation || t.self.target != m.Target
	if fresh {
		t.self = &peer{target: m.Target, inc: m.Incarnation, to: t.to, zone: m.Zone, links: m.Links}
		t.e.peers.put(t.self)
		t.e.repace(t.to)
		t.e.obs.TargetAnnounced(t.self.view())
	}
	if !t.self.leaving.Swap(m.Leaving) && m.Leaving {
		t.e.obs.TargetLeaving(t.self.view())
	}
	t.self.clock.Store(int64(m.Clock))
	t.e.placer.Announce(routing.Target{
		ID:          m.Target,
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		Models:      m.Models,
		Services:    m.Services,
		Leaving:     m.Leaving,
		Capacity:    m.Capacity,
	})
	t.e.drain(t.self)
	t.e.tellEntries(t.self)
	if p := t.self; t.e.orderReady(p.target) {
		t.e.work.Go(func() { t.e.fetchOrder(t.e.fetching, p) })
	}
}

func (t *AgentLink) onLoad(m *wire.Load) {
	if t.self == nil {
		return
	}
	t.self.clock.Store(int64(m.Clock))
	t.e.placer.Report(t.self.target, t.self.inc, routing.Load{
		Running:  m.Running,
		Waiting:  m.Waiting,
		Free:     m.Free,
		Capacity: m.Capacity,
		Reported: t.e.cfg.Clock(),
	})
}
