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
	"almondseam.dev/node/crash"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

// Config configures an Entry. Zero fields take the defaults below.
type Config struct {
	// Bid is the maximum wait for bids. Offer is the maximum wait for an agent's
	// answer to an offer, and then for its answer to a tombstone.
	Bid   time.Duration
	Offer time.Duration
	// Relink is how long a request whose link was lost waits for the agent to
	// connect again.
	Relink time.Duration
	Clock  func() time.Time
}

// The default values of Config.
const (
	DefaultBid    = 250 * time.Millisecond
	DefaultOffer  = 2 * time.Second
	DefaultRelink = 10 * time.Second
)

// Entry places requests on targets and follows each one to its end. New returns
// one.
type Entry struct {
	cfg        Config
	placer     Placer
	retrier    Retrier
	obs        Observer
	peers      *peers
	dispatches *dispatches
	bids       *bids
	left       *leftRuns
	work       conc.WaitGroup
	// drains holds the targets that operators drain, with the incarnation to drain,
	// 0 for any; nil before the first SetDrains.
	drains atomic.Pointer[map[api.TargetID]api.Incarnation]
	// evacuated holds the availability zones whose targets get no new requests; nil
	// before the first SetEvacuated.
	evacuated atomic.Pointer[[]api.Zone]
	// entries holds the entries of the fleet; nil before the first SetEntries.
	entries atomic.Pointer[fleetEntries]
	// ready holds the targets with a waiting order and none in flight; nil
	// before the first SetOrders.
	ready   atomic.Pointer[map[api.TargetID]bool]
	orderer Orderer
	// quarantine holds the requests that are refused because they crash targets.
	quarantine *crash.Quarantine
	// orderCtx ends the fetching of orders when it is done.
	orderCtx context.Context
	// lease is the lease that agents get for an order.
	lease time.Duration
	pace  atomic.Int64 // interval of load reports last sent to the agents, in nanoseconds
}

// New returns an entry. obs may be nil.
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
		cfg:        cfg,
		placer:     placer,
		retrier:    retrier,
		obs:        obs,
		peers:      newPeers(),
		dispatches: newDispatches(),
		bids:       newBids(),
		left:       newLeftRuns(),
		quarantine: crash.NewQuarantine(nil, nil),
	}
}

// Wait returns when no request is in progress and no order is being fetched or
// reported.
func (e *Entry) Wait() { e.work.Wait() }

// Targets returns the number of linked agents.
func (e *Entry) Targets() int { return len(e.peers.all()) }

// TargetView describes one linked target as this entry sees it.
type TargetView struct {
	Target      api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	Leaving     bool
}

// View returns the linked targets, sorted by ID.
func (e *Entry) View() []TargetView {
	all := e.peers.all()
	out := make([]TargetView, 0, len(all))
	for _, p := range all {
		out = append(out, p.view())
	}
	slices.SortFunc(out, func(a, b TargetView) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// errCallerGone is the cancellation cause of a request whose caller has gone for
// good.
var errCallerGone = errors.New("caller has gone")

// callerDetached is the cancellation cause of a request whose caller has gone and
// may come back. It ends the work of the entry; the agent keeps the generation
// running for the duration hold.
type callerDetached struct{ hold time.Duration }

func (callerDetached) Error() string { return "caller has gone and may come back" }

// Start places a request in the background and returns its answer. Cancelling ctx
// ends the request; it is cancelled when the process stops without draining.
func (e *Entry) Start(ctx context.Context, r *Request) *Answer {
	a := newAnswer()
	ctx, a.cancel = context.WithCancelCause(ctx)
	r.identity = &crash.Identity{Customer: r.Size.Customer, Method: r.Method, URI: r.Path, Body: r.Body}
	e.work.Go(func() {
		defer a.cancel(nil)
		defer e.quarantine.Begin(r.identity, a.cancel)()
		end := e.drive(ctx, a, r)
		e.obs.Ended(r, end)
		a.finish(end)
	})
	return a
}

// AgentLink handles one agent's link. The link layer calls Handle for each message,
// in order and on one goroutine, then Closed.
type AgentLink struct {
	e    *Entry
	link sender
	// agent is nil until the agent has announced itself.
	agent *peer
}

// Attach returns the handler for a new link. The agent is not used before it has
// announced itself.
func (e *Entry) Attach(link sender) *AgentLink { return &AgentLink{e: e, link: link} }

// Closed removes the link, unless a newer link of the target has replaced it.
// Requests on it wait up to Config.Relink for the agent to connect again.
func (l *AgentLink) Closed() {
	if l.agent == nil {
		return
	}
	if l.e.peers.removeLink(l.agent.target, l.link) {
		l.e.placer.Remove(l.agent.target, l.agent.inc)
		l.e.updatePace(nil)
		l.e.obs.TargetGone(l.agent.view())
	}
}

// Handle processes one message.
func (l *AgentLink) Handle(m wire.Message) {
	switch m := m.(type) {
	case *wire.Announce:
		l.onAnnounce(m)
	case *wire.Load:
		l.onLoad(m)
	case *wire.OrderState:
		l.onOrderState(m)
	case *wire.Bid:
		l.e.bids.answer(l.target(), m)
	case *wire.Data:
		if d := l.e.dispatch(m.Key); d != nil {
			d.onData(m)
		}
	case *wire.Head:
		if d := l.e.dispatch(m.Key); d != nil {
			d.onHead(m)
		}
	case *wire.State:
		if d := l.e.dispatch(m.Key); d != nil {
			d.answer.setPhase(m.Phase, m.Position)
		}
	case *wire.Accepted:
		l.onAccepted(m)
	case *wire.Final:
		l.e.deliver(m.Key, m)
	case *wire.Refused:
		l.e.deliverReply(m.Key, m)
	case *wire.Tombstoned:
		l.e.deliverReply(m.Key, m)
	case *wire.ResumeRefused:
		l.e.deliverReply(m.Key, m)
	}
}

// onAccepted sets the phase on the link's reading goroutine, in the order of the
// messages, and not on the goroutine that drives the request. The agent's "started"
// may follow at once, and the caller must not be told "queued" after it.
func (l *AgentLink) onAccepted(m *wire.Accepted) {
	d := l.e.dispatches.exact(m.Key)
	if d == nil {
		l.e.obs.Dropped("late")
		return
	}
	d.acceptReceived.Store(true)
	if d.key.Attempt == 0 {
		d.answer.setPhase(wire.PhaseStarted, 0)
	} else {
		d.answer.setPhase(wire.PhaseQueued, m.Position)
	}
	d.deliver(m)
}

// dispatch returns the dispatch that a frame belongs to. If there is none, it
// counts the frame as late and returns nil.
func (e *Entry) dispatch(k wire.Key) *dispatch {
	d := e.dispatches.find(k)
	if d == nil {
		e.obs.Dropped("late")
	}
	return d
}

func (e *Entry) deliver(k wire.Key, m wire.Message) {
	if d := e.dispatch(k); d != nil {
		d.deliver(m)
	}
}

// deliverReply passes the agent's answer to a message of a dispatch to that dispatch, and not to a caller that resumes
// the same request.
func (e *Entry) deliverReply(k wire.Key, m wire.Message) {
	d := e.dispatches.exact(k)
	if d == nil {
		e.obs.Dropped("late")
		return
	}
	d.deliver(m)
}

// target returns the ID of the link's target, empty before the first announcement.
func (l *AgentLink) target() api.TargetID {
	if l.agent == nil {
		return ""
	}
	return l.agent.target
}

func (l *AgentLink) onAnnounce(m *wire.Announce) {
	fresh := l.agent == nil || l.agent.inc != m.Incarnation || l.agent.target != m.Target
	announced := routing.Target{
		ID:          m.Target,
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		Models:      m.Models,
		Services:    m.Services,
		Leaving:     m.Leaving,
		Capacity:    m.Capacity,
	}
	if fresh {
		// The link counts as a target from put on, so the placer must know the target before.
		l.e.placer.Announce(announced)
		l.agent = &peer{target: m.Target, inc: m.Incarnation, link: l.link, zone: m.Zone, links: m.Links}
		l.e.peers.put(l.agent)
		l.e.stopLeftRuns(l.agent)
		l.e.updatePace(l.link)
		l.e.obs.TargetAnnounced(l.agent.view())
	}
	if !l.agent.leaving.Swap(m.Leaving) && m.Leaving {
		l.e.obs.TargetLeaving(l.agent.view())
	}
	l.agent.clock.Store(int64(m.Clock))
	// The end of the target's last link may have removed it from the placer before put.
	l.e.placer.Announce(announced)
	l.e.sendDrain(l.agent)
	l.e.sendEntries(l.agent)
	if p := l.agent; l.e.orderReady(p.target) {
		l.e.work.Go(func() { l.e.fetchOrder(l.e.orderCtx, p) })
	}
}

func (l *AgentLink) onLoad(m *wire.Load) {
	if l.agent == nil {
		return
	}
	l.agent.clock.Store(int64(m.Clock))
	l.e.placer.Report(l.agent.target, l.agent.inc, routing.Load{
		Running:  m.Running,
		Waiting:  m.Waiting,
		Free:     m.Free,
		Capacity: m.Capacity,
		Reported: l.e.cfg.Clock(),
	})
}
