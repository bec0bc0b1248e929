// Package rollout implements the rules by which an accepted configuration is put
// in force on every process and never replaced by an older one.
//
// Node decides what a process does with the messages that it receives, Log what a
// sender answers to a fetch, and View which revisions are known to be in force in
// the fleet. These types do no I/O, take the time as an argument and are not safe
// for concurrent use.
//
// The same rules apply to both hops, from control members to entry instances and
// from entry instances to agents.
package rollout

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

// Event is how a Node handled a message. The events are label values of the metric
// almondseam_config_events_total.
type Event string

// The events.
const (
	// EventApplied: the node now holds a higher revision.
	EventApplied Event = "applied"
	// EventStale: the message contained nothing newer, as with a duplicate.
	EventStale Event = "stale"
	// EventGap: revisions between the one held and the message are missing.
	EventGap Event = "gap"
	// EventDigest: the delta does not apply to the content held.
	EventDigest Event = "digest"
	// EventConflict: the message has different content for the revision held.
	EventConflict Event = "conflict"
	// EventConfirmed: a majority reported the lowest revision that may be served.
	EventConfirmed Event = "confirmed"
	// EventIgnored: the message is of unknown type or answers no open query.
	EventIgnored Event = "ignored"
)

// Message is a message from a sender to a Node: *Whole, *Change, *Latest or
// *Confirmed.
type Message interface{ isMessage() }

// Whole carries a whole document.
type Whole struct{ Document *fleetconfig.Document }

// Change carries a delta.
type Change struct{ Delta *fleetconfig.Delta }

// Latest announces the revision that the sender holds. It is sent periodically, so
// that the loss of a change is noticed within about one interval.
type Latest struct {
	Revision api.Revision
	Digest   fleetconfig.Digest
}

// Confirmed answers the query numbered Ask: a majority, queried after the Node sent
// the query, had accepted no revision above Revision.
type Confirmed struct {
	Ask      uint64
	Revision api.Revision
}

func (*Whole) isMessage()     {}
func (*Change) isMessage()    {}
func (*Latest) isMessage()    {}
func (*Confirmed) isMessage() {}

// Fetch requests what is missing above the revision held. If Whole is set, the
// sender must answer with a whole document, because no delta applies to the
// content held.
type Fetch struct {
	Have   api.Revision
	Digest fleetconfig.Digest
	Whole  bool
}

// Ready lists what the caller has to do after Connect, Step or Tick, in this order:
// put Publish in force, report Applied, send Fetch, and send the query Ask.
type Ready struct {
	Event Event
	// Publish is the document to put in force, nil for none.
	Publish *fleetconfig.Document
	// Applied is the revision to report as in force, zero for no report.
	Applied api.Revision
	// Fetch is the request to send, nil for none.
	Fetch *Fetch
	// Ask is the number of the query to send to a majority, zero for none.
	Ask uint64
}

// Node is the configuration state of one process that receives deltas. Its Gate
// decides what may be put in force.
type Node struct {
	gate      Gate[*fleetconfig.Document]
	queryID   uint64 // number of the query of this process
	retry     time.Duration
	fetchedAt time.Time
	fetching  bool
	needWhole bool
	queriedAt time.Time
}

// DefaultRetry is the time after which an unanswered fetch or query is repeated.
const DefaultRetry = 2 * time.Second

// NewNode returns the state of a process that has just started. queryID is the
// number of its query to a majority. It must be random and not zero, so that a late
// answer to a query from before a restart is not taken for the answer to this one.
// A repeated query keeps its number, because the answer to either copy is valid. A
// retry of zero means DefaultRetry.
func NewNode(queryID uint64, retry time.Duration) *Node {
	if retry <= 0 {
		retry = DefaultRetry
	}
	return &Node{queryID: queryID, retry: retry}
}

// Serving returns the document in force, nil until there is one.
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

// Held returns the revision held, whether in force or not.
func (n *Node) Held() api.Revision {
	_, rev := n.gate.Held()
	return rev
}

// Connect handles the connection to a new sender: requests to the previous sender
// are repeated. It returns the first fetch, and the query if it is unanswered.
func (n *Node) Connect(now time.Time) Ready {
	n.fetching = false
	r := Ready{Fetch: n.fetch(now, n.needWhole)}
	if !n.gate.Confirmed() {
		r.Ask = n.query(now)
	}
	return r
}

// Tick repeats a fetch or a query that has been unanswered for the retry time.
func (n *Node) Tick(now time.Time) Ready {
	var r Ready
	if n.fetching && now.Sub(n.fetchedAt) >= n.retry {
		n.fetching = false
		r.Fetch = n.fetch(now, n.needWhole)
	}
	if !n.gate.Confirmed() && !n.queriedAt.IsZero() && now.Sub(n.queriedAt) >= n.retry {
		r.Ask = n.query(now)
	}
	return r
}

// Step handles one message.
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
	n.needWhole = false
	if doc.Revision <= n.Held() {
		return Ready{Event: EventStale}
	}
	return n.accept(doc)
}

func (n *Node) stepChange(now time.Time, d *fleetconfig.Delta) Ready {
	if d.To <= n.Held() {
		return Ready{Event: EventStale}
	}
	held := n.held()
	if held == nil || d.From != held.Revision {
		return Ready{Event: EventGap, Fetch: n.fetch(now, n.needWhole)}
	}
	next, err := fleetconfig.ApplyDelta(held, d)
	if err != nil {
		n.fetching = n.fetching && n.needWhole
		n.needWhole = true
		return Ready{Event: EventDigest, Fetch: n.fetch(now, true)}
	}
	n.fetching = false
	return n.accept(next)
}

func (n *Node) stepLatest(now time.Time, m *Latest) Ready {
	switch {
	case m.Revision > n.Held():
		return Ready{Event: EventGap, Fetch: n.fetch(now, n.needWhole)}
	case n.Held() != 0 && m.Revision == n.Held() && m.Digest != n.held().Digest():
		return Ready{Event: EventConflict}
	default:
		n.fetching = n.fetching && n.needWhole // the sender has nothing newer
		return Ready{Event: EventStale}
	}
}

// stepConfirmed accepts only the answer to the query of this process. An answer to a
// query from before a restart may predate changes that the process served at that
// time.
func (n *Node) stepConfirmed(now time.Time, m *Confirmed) Ready {
	if n.gate.Confirmed() || m.Ask != n.queryID {
		return Ready{Event: EventIgnored}
	}
	r := Ready{Event: EventConfirmed}
	r.publish(n.gate.Confirm(m.Revision))
	if n.Held() < m.Revision {
		r.Fetch = n.fetch(now, n.needWhole)
	}
	return r
}

// accept stores a higher revision and publishes it if it may be served.
func (n *Node) accept(doc *fleetconfig.Document) Ready {
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

// fetch returns a request, or nil if one is outstanding. Otherwise each delta of a
// burst behind a gap would request the whole document.
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

// query returns the number of the query and records the time at which it is sent.
func (n *Node) query(now time.Time) uint64 {
	n.queriedAt = now
	return n.queryID
}
