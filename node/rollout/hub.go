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

// Times of a Hub.
const (
	// DefaultBeat is the interval of Latest.
	DefaultBeat = time.Second
	// askWithin bounds one read from a majority; agents ask again.
	askWithin = 5 * time.Second
)

// partBytes is the size of the pieces of a whole document: one piece holds the
// stream frames behind it up for a short time only.
const partBytes = 64 << 10

// HubOptions of a Hub. Observer may be nil, Beat zero.
type HubOptions struct {
	Source   Source
	Beat     time.Duration
	Observer Observer
}

// Hub passes on to the agents what is in force at their entry.
type Hub struct {
	opt  HubOptions
	wake chan struct{}

	mu       sync.Mutex
	log      *rollout.Log
	whole    []byte // encoded log.Current(), nil until it is asked for
	sessions map[*Session]struct{}
	asks     map[*Session]uint64 // the open question of each
}

// NewHub makes a hub; Run drives it.
func NewHub(opt HubOptions) *Hub {
	if opt.Beat == 0 {
		opt.Beat = DefaultBeat
	}
	if opt.Observer == nil {
		opt.Observer = noObserver{}
	}
	return &Hub{
		opt:      opt,
		wake:     make(chan struct{}, 1),
		log:      rollout.NewLog(0),
		sessions: map[*Session]struct{}{},
		asks:     map[*Session]uint64{},
	}
}

// Run sends the beats and puts agents' questions to a majority, until ctx is
// done. The two don't wait for each other: without a majority a question stays
// open for long, and an entry that missed its beats would lose its agents.
func (h *Hub) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { h.beatLoop(ctx) })
	wg.Go(func() { h.askLoop(ctx) })
	wg.Wait()
}

func (h *Hub) beatLoop(ctx context.Context) {
	t := time.NewTicker(h.opt.Beat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.beat()
		}
	}
}

func (h *Hub) askLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
			h.answerAsks(ctx)
		}
	}
}

func (h *Hub) beat() {
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
	at := l.Latest()
	return &Latest{Revision: at.Revision, Digest: at.Digest[:]}
}

// answerAsks answers all questions at hand by one read. The read begins after
// the questions were taken: one that had begun before could miss a revision
// that an asking agent had served before it restarted.
func (h *Hub) answerAsks(ctx context.Context) {
	h.mu.Lock()
	asks := h.asks
	h.asks = map[*Session]uint64{}
	h.mu.Unlock()
	if len(asks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	rev, err := h.opt.Source.HighestRevision(ctx)
	if err != nil {
		return
	}
	for s, ask := range asks {
		_ = s.conn.Send(&Confirmed{Ask: ask, Revision: rev})
	}
}

// Publish passes a document on to all who follow. It is called with rising
// revisions, once the document is in force here.
func (h *Hub) Publish(doc *fleetconfig.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := h.log.Current() == nil
	d := h.log.Append(doc)
	if d == nil && !first {
		return
	}
	h.whole = nil
	var m wire.Message = latest(h.log)
	if d != nil {
		m = h.encodeDelta(d)
	}
	for s := range h.sessions {
		if s.following {
			h.push(s, m)
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

func (h *Hub) push(s *Session, m wire.Message) {
	if _, ok := m.(*Delta); ok {
		h.opt.Observer.Sent(SentDelta)
	}
	_ = s.conn.Send(m)
}

// Nodes lists what the agents that follow this entry have in force, for the
// entry's report to the control group.
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

// Session is one agent's link at the hub.
type Session struct {
	hub  *Hub
	conn Sender

	// Guarded by the hub's lock.
	following bool
	inForce   rollout.Report
}

// Attach takes a link to an agent.
func (h *Hub) Attach(peer api.InstanceID, conn Sender) *Session {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &Session{hub: h, conn: conn, inForce: rollout.Report{Instance: peer}}
	h.sessions[s] = struct{}{}
	return s
}

// Close tells that the link has ended.
func (s *Session) Close() {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	delete(s.hub.sessions, s)
	delete(s.hub.asks, s)
	s.hub.countFollowers()
}

// Handle takes a message from the agent and tells whether it was for the hub.
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
		s.question(m)
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
			s.hub.push(s, s.hub.encodeDelta(d))
		}
	default:
		_ = s.conn.Send(latest(s.hub.log))
	}
}

func (s *Session) sendWhole() {
	h := s.hub
	doc := h.log.Current()
	if h.whole == nil {
		b, err := fleetconfig.EncodeDocument(doc)
		if err != nil {
			h.opt.Observer.Unusable(doc.Revision, err)
			return
		}
		h.whole = b
	}
	h.opt.Observer.Sent(SentWhole)
	count := (len(h.whole) + partBytes - 1) / partBytes
	for i := range count {
		piece := h.whole[i*partBytes : min((i+1)*partBytes, len(h.whole))]
		_ = s.conn.Send(&Part{Revision: doc.Revision, Index: i, Count: count, Bytes: piece})
	}
}

func (s *Session) question(m *Ask) {
	s.hub.asks[s] = m.Ask
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
