// Package rollout holds the rules by which an accepted configuration comes in
// force on every process and never goes back.
//
// Three parts, all pure: Node decides what one process does with what it is
// sent, Log what a sender answers a process that asks, and View what the fleet
// is known to have applied. A value is used from one goroutine at a time; time
// comes in as an argument.
//
// The same rules hold at both hops, control to entry and entry to agent.
package rollout

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

// Event names what a Node did with a message; each is a label of the metric
// almondseam_config_events_total.
type Event string

// The events.
const (
	// EventApplied: the message put a higher revision in the node's hands.
	EventApplied Event = "applied"
	// EventStale: the message told of nothing newer, as a duplicate does.
	EventStale Event = "stale"
	// EventGap: revisions between the one held and the message are missing.
	EventGap Event = "gap"
	// EventDigest: the delta does not fit the content held.
	EventDigest Event = "digest"
	// EventConflict: another content came under the revision held.
	EventConflict Event = "conflict"
	// EventConfirmed: a majority told the lowest revision that may be served.
	EventConfirmed Event = "confirmed"
	// EventIgnored: the message answers a question that is no longer open.
	EventIgnored Event = "ignored"
)

// Message is what a sender tells a Node: *Whole, *Change, *Latest or *Confirmed.
type Message interface{ isMessage() }

// Whole is a whole document.
type Whole struct{ Document *fleetconfig.Document }

// Change is a delta.
type Change struct{ Delta *fleetconfig.Delta }

// Latest tells the revision that the sender holds. It is repeated, so that a
// change whose message was lost is missed for one interval at most.
type Latest struct {
	Revision api.Revision
	Digest   fleetconfig.Digest
}

// Confirmed answers question Ask: when a majority was asked, later than the
// question, no revision above Revision had been accepted.
type Confirmed struct {
	Ask      uint64
	Revision api.Revision
}

func (*Whole) isMessage()     {}
func (*Change) isMessage()    {}
func (*Latest) isMessage()    {}
func (*Confirmed) isMessage() {}

// Fetch asks the sender for what is missing above the revision held. Whole
// refuses deltas: the content held fits none.
type Fetch struct {
	Have   api.Revision
	Digest fleetconfig.Digest
	Whole  bool
}

// Ready is what the caller does after a Step or a Tick, in this order: it puts
// Publish in force, reports Applied, and sends Fetch and Ask.
type Ready struct {
	Event Event
	// Publish is a document to put in force; nil for none.
	Publish *fleetconfig.Document
	// Applied is the revision to report as in force; zero for no report.
	Applied api.Revision
	// Fetch is a request to send; nil for none.
	Fetch *Fetch
	// Ask is a question to send to a majority; zero for none.
	Ask uint64
}

// Node is the configuration state of one process that takes deltas. What may be
// put in force is its Gate's to say.
type Node struct {
	gate      Gate[*fleetconfig.Document]
	ask       uint64 // number of this life's question
	retry     time.Duration
	fetchedAt time.Time
	fetching  bool
	whole     bool
	askedAt   time.Time
}

// DefaultRetry is the time after which an unanswered fetch or question is sent
// again.
const DefaultRetry = 2 * time.Second

// NewNode makes the state of a process that has just started. Its question to
// a majority carries a number drawn at random, never zero, so that a late
// answer to the process's last life does not pass for one to this life; sent
// again, the question keeps its number, since an answer to either will do. A
// retry of zero means DefaultRetry.
func NewNode(ask uint64, retry time.Duration) *Node {
	if retry <= 0 {
		retry = DefaultRetry
	}
	return &Node{ask: ask, retry: retry}
}

// Serving gives the document in force; nil until there is one.
func (n *Node) Serving() *fleetconfig.Document {
	if n.gate.Served() == 0 {
		return nil
	}
	return n.held()
}

func (n *Node) held() *fleetconfig.Document {
	doc, _ := n.gate.Held()
	return doc
}

// Held gives the revision held, in force or not.
func (n *Node) Held() api.Revision {
	_, rev := n.gate.Held()
	return rev
}

// Connect starts anew with a sender: what was asked of the last one is asked
// again. It gives the first fetch, and the question if one is still open.
func (n *Node) Connect(now time.Time) Ready {
	n.fetching = false
	r := Ready{Fetch: n.fetch(now, n.whole)}
	if !n.gate.Confirmed() {
		r.Ask = n.question(now)
	}
	return r
}

// Tick repeats a fetch or a question that has waited too long.
func (n *Node) Tick(now time.Time) Ready {
	var r Ready
	if n.fetching && now.Sub(n.fetchedAt) >= n.retry {
		n.fetching = false
		r.Fetch = n.fetch(now, n.whole)
	}
	if !n.gate.Confirmed() && !n.askedAt.IsZero() && now.Sub(n.askedAt) >= n.retry {
		r.Ask = n.question(now)
	}
	return r
}

// Step takes one message.
func (n *Node) Step(now time.Time, m Message) Ready {
	switch m := m.(type) {
	case *Whole:
		return n.stepWhole(m.Document)
	case *Change:
		return n.stepChange(now, m.Delta)
	case *Latest:
		return n.stepLatest(now, m)
	case *Confirmed:
		return n.stepConfirmed(now, m)
	default:
		return Ready{Event: EventIgnored}
	}
}

func (n *Node) stepWhole(doc *fleetconfig.Document) Ready {
	if held := n.held(); held != nil && doc.Revision == held.Revision && doc.Digest() != held.Digest() {
		return Ready{Event: EventConflict}
	}
	n.fetching = false
	n.whole = false
	if doc.Revision <= n.Held() {
		return Ready{Event: EventStale}
	}
	return n.take(doc)
}

func (n *Node) stepChange(now time.Time, d *fleetconfig.Delta) Ready {
	if d.To <= n.Held() {
		return Ready{Event: EventStale}
	}
	held := n.held()
	if held == nil || d.From != held.Revision {
		return Ready{Event: EventGap, Fetch: n.fetch(now, n.whole)}
	}
	next, err := fleetconfig.ApplyDelta(held, d)
	if err != nil {
		n.fetching = n.fetching && n.whole
		n.whole = true
		return Ready{Event: EventDigest, Fetch: n.fetch(now, true)}
	}
	n.fetching = false
	return n.take(next)
}

func (n *Node) stepLatest(now time.Time, m *Latest) Ready {
	switch {
	case m.Revision > n.Held():
		return Ready{Event: EventGap, Fetch: n.fetch(now, n.whole)}
	case n.Held() != 0 && m.Revision == n.Held() && m.Digest != n.held().Digest():
		return Ready{Event: EventConflict}
	default:
		n.fetching = n.fetching && n.whole // the sender has nothing newer
		return Ready{Event: EventStale}
	}
}

// stepConfirmed takes the answer to this life's question alone. One to an
// earlier life's may stem from before changes that the process served then.
func (n *Node) stepConfirmed(now time.Time, m *Confirmed) Ready {
	if n.gate.Confirmed() || m.Ask != n.ask {
		return Ready{Event: EventIgnored}
	}
	r := Ready{Event: EventConfirmed}
	r.publish(n.gate.Confirm(m.Revision))
	if n.Held() < m.Revision {
		r.Fetch = n.fetch(now, n.whole)
	}
	return r
}

// take holds a higher revision and puts it in force if it may be served.
func (n *Node) take(doc *fleetconfig.Document) Ready {
	r := Ready{Event: EventApplied}
	r.publish(n.gate.Take(doc.Revision, doc))
	return r
}

func (r *Ready) publish(doc *fleetconfig.Document, ok bool) {
	if !ok {
		return
	}
	r.Publish = doc
	r.Applied = doc.Revision
}

// fetch gives a request unless one is open: a burst of deltas behind a gap
// would otherwise ask for the whole document once each.
func (n *Node) fetch(now time.Time, whole bool) *Fetch {
	if n.fetching {
		return nil
	}
	n.fetching = true
	n.fetchedAt = now
	f := &Fetch{Have: n.Held(), Whole: whole || n.held() == nil}
	if held := n.held(); held != nil {
		f.Digest = held.Digest()
	}
	return f
}

func (n *Node) question(now time.Time) uint64 {
	n.askedAt = now
	return n.ask
}
