package rollout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/rollout"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

// The default interval and the timeout of a Hub.
const (
	// DefaultAnnounceInterval is the interval at which a Hub sends Latest.
	DefaultAnnounceInterval = time.Second
	// queryTimeout bounds one read from a majority. Agents repeat unanswered queries.
	queryTimeout = 5 * time.Second
)

// partBytes is the size of the parts of a whole document. It is small, so that a part
// delays the stream frames behind it on the link only briefly.
const partBytes = 64 << 10

// HubOptions are the options of a Hub. An AnnounceInterval of zero means
// DefaultAnnounceInterval. Observer may be nil.
type HubOptions struct {
	Source           Source
	AnnounceInterval time.Duration
	Observer         Observer
}

// Hub forwards the configurations that are in force at an entry to the agents that
// follow it.
type Hub struct {
	opt  HubOptions
	wake chan struct{}

	mu       sync.Mutex
	log      *rollout.Log
	encoded  []byte // encoded log.Current(), nil until an agent fetches it
	sessions map[*Session]struct{}
	queries  map[*Session]uint64 // queries that wait for the next read
}

// NewHub returns a Hub without a document. Run must be called to send announcements and
// answer queries.
func NewHub(opt HubOptions) *Hub {
	if opt.AnnounceInterval == 0 {
		opt.AnnounceInterval = DefaultAnnounceInterval
	}
	if opt.Observer == nil {
		opt.Observer = nopObserver{}
	}
	return &Hub{
		opt:      opt,
		wake:     make(chan struct{}, 1),
		log:      rollout.NewLog(0),
		sessions: map[*Session]struct{}{},
		queries:  map[*Session]uint64{},
	}
}

// Run sends periodic announcements and forwards the agents' queries to a majority, until
// ctx is done. The two run concurrently, because without a majority a query blocks for
// long, and agents would leave an entry that does not send its announcements.
func (h *Hub) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { h.announceLoop(ctx) })
	wg.Go(func() { h.queryLoop(ctx) })
	wg.Wait()
}

func (h *Hub) announceLoop(ctx context.Context) {
	t := time.NewTicker(h.opt.AnnounceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.announce()
		}
	}
}

func (h *Hub) queryLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
			h.answerQueries(ctx)
		}
	}
}

func (h *Hub) announce() {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := latest(h.log)
	for s := range h.sessions {
		if s.following {
			_ = s.conn.Send(m)
		}
	}
}

func latest(l *rollout.Log) *Latest {
	newest := l.Latest()
	return &Latest{Revision: newest.Revision, Digest: newest.Digest[:]}
}

// answerQueries answers all pending queries with one read from a majority. The read begins
// after the queries were received: a read that began earlier could miss a revision that
// a querying agent had served before it restarted.
func (h *Hub) answerQueries(ctx context.Context) {
	h.mu.Lock()
	queries := h.queries
	h.queries = map[*Session]uint64{}
	h.mu.Unlock()
	if len(queries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	rev, err := h.opt.Source.HighestRevision(ctx)
	if err != nil {
		return
	}
	for s, id := range queries {
		_ = s.conn.Send(&Confirmed{Ask: id, Revision: rev})
	}
}

// Publish sends a document to all following agents, as a delta where possible. The
// caller passes documents in ascending order of revision, each once it is in force at
// this entry. The first document has no delta, so it is only announced and the agents
// fetch it.
func (h *Hub) Publish(doc *fleetconfig.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := h.log.Current() == nil
	d := h.log.Append(doc)
	if d == nil && !first {
		return
	}
	h.encoded = nil
	var m wire.Message = latest(h.log)
	if d != nil {
		m = h.encodeDelta(d)
	}
	for s := range h.sessions {
		if s.following {
			h.sendChange(s, m)
		}
	}
}

func (h *Hub) encodeDelta(d *fleetconfig.Delta) wire.Message {
	b, err := fleetconfig.EncodeDelta(d)
	if err != nil {
		h.opt.Observer.Unusable(d.To, err)
		return latest(h.log)
	}
	return &Delta{Bytes: b}
}

func (h *Hub) sendChange(s *Session, m wire.Message) {
	if _, ok := m.(*Delta); ok {
		h.opt.Observer.Sent(SentDelta)
	}
	_ = s.conn.Send(m)
}

// Nodes returns the revisions that the agents following this entry have in force, for
// the entry's report to the control group.
func (h *Hub) Nodes() []rollout.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []rollout.Report
	for s := range h.sessions {
		if s.following {
			out = append(out, s.inForce)
		}
	}
	slices.SortFunc(out, func(a, b rollout.Report) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Session is the hub's state of the link to one agent.
type Session struct {
	hub  *Hub
	conn Sender

	// The fields below are guarded by the hub's lock.
	following bool
	inForce   rollout.Report
}

// Attach adds the link to the agent peer and returns its session.
func (h *Hub) Attach(peer api.InstanceID, conn Sender) *Session {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &Session{hub: h, conn: conn, inForce: rollout.Report{Instance: peer}}
	h.sessions[s] = struct{}{}
	return s
}

// Close removes the session from the hub. The caller calls it when the link has ended.
func (s *Session) Close() {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	delete(s.hub.sessions, s)
	delete(s.hub.queries, s)
	s.hub.countFollowers()
}

// Handle processes a message from the agent. It returns false if the message is not for
// the hub.
func (s *Session) Handle(m wire.Message) bool {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	switch m := m.(type) {
	case *Follow:
		s.follow(m)
	case *Unfollow:
		s.following = false
		s.hub.countFollowers()
	case *Ask:
		s.enqueueQuery(m)
	case *InForce:
		s.inForce.Site = m.Site
		s.inForce.Revision = m.Revision
	default:
		return false
	}
	return true
}

func (s *Session) follow(m *Follow) {
	if !s.following {
		s.following = true
		s.hub.countFollowers()
	}
	f := rollout.Fetch{Have: m.Have, Whole: m.Whole}
	copy(f.Digest[:], m.Digest)
	deltas, whole := s.hub.log.Answer(f)
	switch {
	case whole:
		s.sendWhole()
	case len(deltas) > 0:
		for _, d := range deltas {
			s.hub.sendChange(s, s.hub.encodeDelta(d))
		}
	default:
		_ = s.conn.Send(latest(s.hub.log))
	}
}

func (s *Session) sendWhole() {
	h := s.hub
	doc := h.log.Current()
	if h.encoded == nil {
		b, err := fleetconfig.EncodeDocument(doc)
		if err != nil {
			h.opt.Observer.Unusable(doc.Revision, err)
			return
		}
		h.encoded = b
	}
	h.opt.Observer.Sent(SentWhole)
	count := (len(h.encoded) + partBytes - 1) / partBytes
	for i := range count {
		piece := h.encoded[i*partBytes : min((i+1)*partBytes, len(h.encoded))]
		_ = s.conn.Send(&Part{Revision: doc.Revision, Index: i, Count: count, Bytes: piece})
	}
}

func (s *Session) enqueueQuery(m *Ask) {
	s.hub.queries[s] = m.Ask
	select {
	case s.hub.wake <- struct{}{}:
	default:
	}
}

func (h *Hub) countFollowers() {
	n := 0
	for s := range h.sessions {
		if s.following {
			n++
		}
	}
	h.opt.Observer.Followers(n)
}
