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

// beatsMissed is how many beats an entry may miss before an agent that has
// another link follows that one instead. The link itself may take longer to be
// found stalled, and a change would wait as long.
const beatsMissed = 3

// maxParts bounds the pieces of one document.
const maxParts = fleetconfig.MaxDocumentBytes/partBytes + 1

// inboxSize bounds what waits to be applied. What comes beyond is dropped, and
// fetched again after the next beat.
const inboxSize = 1024

// AgentOptions of an Agent. Observer may be nil, Beat zero.
type AgentOptions struct {
	Zone     api.Zone
	Live     *fleetconfig.Live
	Beat     time.Duration
	Observer Observer
}

// Agent puts in force what one of its linked entries has in force.
type Agent struct {
	opt   AgentOptions
	inbox chan inbound

	mu    sync.Mutex
	app   applier
	links []Sender
	from  Sender // the entry that is followed, nil for none
	heard time.Time
	parts partial
}

// inbound is a message with the link it came on.
type inbound struct {
	conn Sender
	m    wire.Message
}

// partial gathers the pieces of a whole document.
type partial struct {
	revision api.Revision
	next     int
	bytes    []byte
}

// NewAgent makes an agent's part; Run drives it.
func NewAgent(opt AgentOptions) *Agent {
	if opt.Beat == 0 {
		opt.Beat = DefaultBeat
	}
	if opt.Observer == nil {
		opt.Observer = noObserver{}
	}
	return &Agent{
		opt:   opt,
		inbox: make(chan inbound, inboxSize),
		app:   applier{node: rollout.NewNode(newAsk(), 0), zone: opt.Zone, live: opt.Live, obs: opt.Observer},
	}
}

// Run applies what has come, repeats what was not answered and leaves a silent
// entry, until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	t := time.NewTicker(a.opt.Beat)
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
	if a.from == nil {
		return
	}
	if now.Sub(a.heard) > beatsMissed*a.opt.Beat && len(a.links) > 1 {
		a.opt.Observer.Switched(SwitchedSilence)
		_ = a.from.Send(&Unfollow{})
		a.followOther(now)
		return
	}
	a.send(a.app.node.Tick(now))
}

// Attach takes a link to an entry. The function it gives is called once the
// link has ended.
func (a *Agent) Attach(conn Sender) (detach func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links = append(a.links, conn)
	if a.from == nil {
		a.follow(conn, time.Now())
	}
	return func() { a.detach(conn) }
}

func (a *Agent) detach(conn Sender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links = slices.DeleteFunc(a.links, func(s Sender) bool { return s == conn })
	if a.from != conn {
		return
	}
	if len(a.links) > 0 {
		a.opt.Observer.Switched(SwitchedLink)
	}
	a.followOther(time.Now())
}

// followOther follows any other link: by chance, so that the agents of an entry
// that is gone spread over the rest.
func (a *Agent) followOther(now time.Time) {
	others := slices.DeleteFunc(slices.Clone(a.links), func(s Sender) bool { return s == a.from })
	if len(others) == 0 {
		a.from = nil
		return
	}
	a.follow(others[rand.IntN(len(others))], now)
}

func (a *Agent) follow(conn Sender, now time.Time) {
	a.from = conn
	a.heard = now
	a.parts = partial{}
	a.send(a.app.node.Connect(now))
	a.report()
}

// send carries out what the rules say to ask for.
func (a *Agent) send(r rollout.Ready) {
	if r.Fetch != nil {
		_ = a.from.Send(&Follow{Have: r.Fetch.Have, Digest: r.Fetch.Digest[:], Whole: r.Fetch.Whole})
	}
	if r.Ask != 0 {
		_ = a.from.Send(&Ask{Ask: r.Ask})
	}
}

func (a *Agent) report() {
	rev, site := a.app.inForce()
	_ = a.from.Send(&InForce{Site: site, Revision: rev})
}

// Handle takes a message from an entry and tells whether it was of the
// configuration. It does not wait for it to be applied: compiling a large
// fleet takes tens of milliseconds, and the tokens and acknowledgements of the
// same link would stand still as long.
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

// apply gives a message to the rules. What other entries than the followed one
// send is passed over.
func (a *Agent) apply(in inbound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.conn != a.from {
		return
	}
	a.heard = time.Now()
	m := a.convert(in.m)
	if m == nil {
		return
	}
	r := a.app.step(m)
	if r.Applied != 0 {
		a.report()
	}
	a.send(r)
}

// convert gives what a message means to the rules, nil for nothing yet.
func (a *Agent) convert(m wire.Message) rollout.Message {
	switch m := m.(type) {
	case *Delta:
		return a.delta(m)
	case *Part:
		return a.part(m)
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

func (a *Agent) delta(m *Delta) rollout.Message {
	d, err := fleetconfig.DecodeDelta(m.Bytes)
	if err != nil {
		a.opt.Observer.Unusable(0, err)
		return nil
	}
	return &rollout.Change{Delta: d}
}

// part gathers the pieces. A piece out of its order drops what was gathered;
// the open fetch is asked again in time.
func (a *Agent) part(m *Part) rollout.Message {
	p := &a.parts
	if m.Index == 0 {
		*p = partial{revision: m.Revision}
	}
	if m.Revision != p.revision || m.Index != p.next || m.Count > maxParts || len(m.Bytes) > partBytes {
		*p = partial{}
		return nil
	}
	p.next++
	p.bytes = append(p.bytes, m.Bytes...)
	if p.next < m.Count {
		return nil
	}
	doc, err := fleetconfig.ReadDocument(p.bytes)
	*p = partial{}
	if err != nil {
		a.opt.Observer.Unusable(m.Revision, err)
		return nil
	}
	return &rollout.Whole{Document: doc}
}

// InForce gives the revision in force and the site, zero before the first.
func (a *Agent) InForce() (api.Revision, api.Site) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.app.inForce()
}
