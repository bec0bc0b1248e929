package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/rollout"
	"almondseam.dev/node/wire"
)

// maxMissedAnnouncements is the number of announcement intervals for which the followed
// entry may be silent before an agent with another link switches to it. The link layer
// may need longer to detect a stalled link, and changes would be delayed as long.
const maxMissedAnnouncements = 3

// maxParts bounds the number of parts of one document.
const maxParts = fleetconfig.MaxDocumentBytes/partBytes + 1

// inboxSize bounds the messages that wait to be applied. Messages beyond it are
// dropped; the next announcement reveals the gap and the agent fetches what is missing.
const inboxSize = 1024

// AgentOptions are the options of an Agent. AnnounceInterval is the interval at which
// entries send Latest; zero means DefaultAnnounceInterval. Observer may be nil.
type AgentOptions struct {
	Zone             api.Zone
	Live             *fleetconfig.Live
	AnnounceInterval time.Duration
	Observer         Observer
}

// Agent receives the configuration from one of its linked entries and puts it in force.
type Agent struct {
	opt   AgentOptions
	inbox chan inbound

	mu           sync.Mutex
	app          applier
	links        []Sender
	followed     Sender // link to the entry that is followed, nil for none
	lastReceived time.Time
	parts        partialDocument
}

// inbound is a message with the link on which it was received.
type inbound struct {
	conn Sender
	m    wire.Message
}

// partialDocument collects the parts of a whole document.
type partialDocument struct {
	revision  api.Revision
	nextIndex int
	bytes     []byte
}

// NewAgent returns an Agent that holds no configuration. Run must be called to process
// messages.
func NewAgent(opt AgentOptions) *Agent {
	if opt.AnnounceInterval == 0 {
		opt.AnnounceInterval = DefaultAnnounceInterval
	}
	if opt.Observer == nil {
		opt.Observer = nopObserver{}
	}
	return &Agent{
		opt:   opt,
		inbox: make(chan inbound, inboxSize),
		app:   applier{node: rollout.NewNode(newQueryID(), 0), zone: opt.Zone, live: opt.Live, obs: opt.Observer},
	}
}

// Run applies received messages, repeats unanswered requests and switches away from a
// silent entry, until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	t := time.NewTicker(a.opt.AnnounceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-a.inbox:
			a.apply(in)
		case <-t.C:
			a.tick(time.Now())
		}
	}
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.followed == nil {
		return
	}
	if now.Sub(a.lastReceived) > maxMissedAnnouncements*a.opt.AnnounceInterval && len(a.links) > 1 {
		a.opt.Observer.Switched(SwitchedSilence)
		_ = a.followed.Send(&Unfollow{})
		a.followAnother(now)
		return
	}
	a.sendRequests(a.app.node.Tick(now))
}

// Attach adds a link to an entry, which the agent follows if it follows none yet. The
// caller must call the returned function when the link has ended.
func (a *Agent) Attach(conn Sender) (detach func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links = append(a.links, conn)
	if a.followed == nil {
		a.follow(conn, time.Now())
	}
	return func() { a.detach(conn) }
}

func (a *Agent) detach(conn Sender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links = slices.DeleteFunc(a.links, func(s Sender) bool { return s == conn })
	if a.followed != conn {
		return
	}
	if len(a.links) > 0 {
		a.opt.Observer.Switched(SwitchedLink)
	}
	a.followAnother(time.Now())
}

// followAnother follows one of the other links. It chooses at random, so that the agents
// of a failed entry spread over the remaining entries.
func (a *Agent) followAnother(now time.Time) {
	others := slices.DeleteFunc(slices.Clone(a.links), func(s Sender) bool { return s == a.followed })
	if len(others) == 0 {
		a.followed = nil
		return
	}
	a.follow(others[rand.IntN(len(others))], now)
}

func (a *Agent) follow(conn Sender, now time.Time) {
	a.followed = conn
	a.lastReceived = now
	a.parts = partialDocument{}
	a.sendRequests(a.app.node.Connect(now))
	a.report()
}

// sendRequests sends the fetch and the query of r, if any, to the followed entry.
func (a *Agent) sendRequests(r rollout.Ready) {
	if r.Fetch != nil {
		_ = a.followed.Send(&Follow{Have: r.Fetch.Have, Digest: r.Fetch.Digest[:], Whole: r.Fetch.Whole})
	}
	if r.Ask != 0 {
		_ = a.followed.Send(&Ask{Ask: r.Ask})
	}
}

func (a *Agent) report() {
	rev, site := a.app.inForce()
	_ = a.followed.Send(&InForce{Site: site, Revision: rev})
}

// Handle queues a message from an entry and returns true, or returns false if it is not
// a configuration message. It does not wait until the message is applied: compiling the
// configuration of a large fleet takes tens of milliseconds, which would delay the
// tokens and acknowledgements on the same link.
func (a *Agent) Handle(conn Sender, m wire.Message) bool {
	switch m.(type) {
	case *Delta, *Part, *Latest, *Confirmed:
	default:
		return false
	}
	select {
	case a.inbox <- inbound{conn: conn, m: m}:
	default:
		a.opt.Observer.Stepped(EventDropped)
	}
	return true
}

// apply processes a message from the followed entry. It ignores messages from other
// entries.
func (a *Agent) apply(in inbound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.conn != a.followed {
		return
	}
	a.lastReceived = time.Now()
	m := a.decode(in.m)
	if m == nil {
		return
	}
	r := a.app.step(m)
	if r.Applied != 0 {
		a.report()
	}
	a.sendRequests(r)
}

// decode returns the message for the node. It returns nil if the message cannot be
// decoded or does not complete a document.
func (a *Agent) decode(m wire.Message) rollout.Message {
	switch m := m.(type) {
	case *Delta:
		return a.decodeDelta(m)
	case *Part:
		return a.assemble(m)
	case *Latest:
		l := &rollout.Latest{Revision: m.Revision}
		copy(l.Digest[:], m.Digest)
		return l
	case *Confirmed:
		return &rollout.Confirmed{Ask: m.Ask, Revision: m.Revision}
	default:
		return nil
	}
}

func (a *Agent) decodeDelta(m *Delta) rollout.Message {
	d, err := fleetconfig.DecodeDelta(m.Bytes)
	if err != nil {
		a.opt.Observer.Unusable(0, err)
		return nil
	}
	return &rollout.Change{Delta: d}
}

// assemble adds a part to the document and returns the document once it is complete. An
// oversized part or one out of order discards the parts collected so far; the fetch then
// stays unanswered and is repeated.
func (a *Agent) assemble(m *Part) rollout.Message {
	p := &a.parts
	if m.Index == 0 {
		*p = partialDocument{revision: m.Revision}
	}
	if m.Revision != p.revision || m.Index != p.nextIndex || m.Count > maxParts || len(m.Bytes) > partBytes {
		*p = partialDocument{}
		return nil
	}
	p.nextIndex++
	p.bytes = append(p.bytes, m.Bytes...)
	if p.nextIndex < m.Count {
		return nil
	}
	doc, err := fleetconfig.ReadDocument(p.bytes)
	*p = partialDocument{}
	if err != nil {
		a.opt.Observer.Unusable(m.Revision, err)
		return nil
	}
	return &rollout.Whole{Document: doc}
}

// InForce returns the revision in force and the site, zero values before the first.
func (a *Agent) InForce() (api.Revision, api.Site) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.app.inForce()
}
