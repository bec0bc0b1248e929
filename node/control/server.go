package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/registry"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

// Server serves one member to other members and to entries, over links.
type Server struct {
	member         *Member
	links          *Links
	ctx            context.Context
	activeSessions sync.WaitGroup
	// sessionsMu guards stopped, which is set when no new session may begin.
	sessionsMu sync.Mutex
	stopped    bool
	// registry holds the targets that announce themselves, for links that subscribe to
	// them; nil in fleets whose targets have agents.
	registry *registry.Registry
	// origins keeps the origins of streams that entries report; nil in fleets whose targets have
	// agents.
	origins *origins.Keeper
	// mu guards lastUpdate, the update that was made last. Most clients need the same
	// one.
	mu         sync.Mutex
	lastUpdate *Update
}

// NewServer returns a server whose links end when ctx is done.
func NewServer(ctx context.Context, m *Member, links *Links) *Server {
	return &Server{member: m, links: links, ctx: ctx}
}

// Serve serves one accepted link until it ends. It is the handler to pass to
// link.NewAcceptor.
func (s *Server) Serve(conn *link.Conn) {
	if !s.beginSession() {
		conn.Close()
		return
	}
	defer s.activeSessions.Done()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	session := &session{server: s, conn: conn, ctx: ctx, wg: &wg}
	conn.Run(ctx, session.handle)
	cancel()
	s.links.RemoveIncoming(conn)
	if s.registry != nil {
		s.registry.Unsubscribe(conn)
	}
}

// subscribe subscribes a link to the targets that announce themselves here.
func (s *Server) subscribe(conn *link.Conn, m registry.Subscribe) {
	if s.registry != nil {
		s.registry.Subscribe(conn, m)
	}
}

// beginSession counts a new session. It returns false if the server has stopped.
//
// The HTTP server does not wait for hijacked connections. Because sessions are counted under
// the same lock as stopped, Wait either waits for a session or the session never begins.
func (s *Server) beginSession() bool {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	if s.stopped {
		return false
	}
	s.activeSessions.Add(1)
	return true
}

// Wait prevents new sessions and returns once all sessions have ended.
func (s *Server) Wait() {
	s.sessionsMu.Lock()
	s.stopped = true
	s.sessionsMu.Unlock()
	s.activeSessions.Wait()
}

// session is one accepted link.
type session struct {
	server    *Server
	conn      *link.Conn
	ctx       context.Context
	wg        *conc.WaitGroup
	watchOnce sync.Once
	peerID    consensus.MemberID
	// entries is the list sent last, used only by the goroutine that runs conn.
	entries []wire.EntryInfo
}

func (s *session) handle(m wire.Message) {
	switch m := m.(type) {
	case *Peer:
		s.peer(m)
	case *Part:
		if s.conn.Peer().Role == link.RoleControl {
			s.fromMember(m.Message.From)
			s.server.links.parts.receivePart(s.conn, m)
		}
	case *PartAck:
		if s.conn.Peer().Role == link.RoleControl {
			s.server.links.parts.receiveAck(s.conn, m)
		}
	case *Request:
		s.request(m)
	case *Watch:
		s.watchOnce.Do(func() { s.wg.Go(func() { s.sendUpdates(*m) }) })
	case *Report:
		s.report(m)
	case *registry.Subscribe:
		s.server.subscribe(s.conn, *m)
	case *registry.Loads:
		if s.server.registry != nil {
			s.server.registry.Load(m.List)
		}
	case *origins.Report:
		if s.server.origins != nil {
			s.server.origins.Store(m)
		}
	case *origins.Ask:
		if s.server.origins != nil {
			_ = s.conn.Send(s.server.origins.Answer(m)) // the entry asks again if the link has ended
		}
	}
}

// report records a report, and on the leader sends the list of entries if it has
// changed. Only the leader receives the reports of all entries; a list from another
// member would be incomplete.
func (s *session) report(m *Report) {
	now := time.Now()
	member := s.server.member
	member.reports.record(*m, now)
	if member.Status().Role != consensus.RoleLeader {
		return
	}
	list := member.reports.entries(now)
	if slices.Equal(list, s.entries) {
		return
	}
	s.entries = list
	_ = s.conn.Send(&Entries{List: list})
}

func (s *session) peer(m *Peer) {
	if s.conn.Peer().Role != link.RoleControl {
		return
	}
	s.fromMember(m.Message.From)
	s.server.member.Receive(m.Message)
}

// fromMember records which member uses this link.
func (s *session) fromMember(id consensus.MemberID) {
	if id != s.peerID {
		s.peerID = id
		s.server.links.AddIncoming(id, s.conn)
	}
}

// request starts a request. Requests that are reserved for operators are accepted only
// from control members, which have checked the operator's token, so that a
// compromised entry cannot change the configuration, the orders or the group.
func (s *session) request(req *Request) {
	member := s.server.member
	if s.conn.Peer().Role != link.RoleControl && operatorsOnly(req) {
		r := member.rejection(req, api.ReasonForbidden, "only for operators")
		r.ID = req.ID
		_ = s.conn.Send(r)
		return
	}
	member.Submit(req, func(r *Reply) { _ = s.conn.Send(r) })
}

func operatorsOnly(req *Request) bool {
	if req.Change != nil {
		return true
	}
	c := req.Command
	if c == nil {
		return false
	}
	return c.Config != nil || c.Drain != nil || c.Evacuation != nil || c.Member != nil ||
		c.Quarantine != nil && c.Quarantine.Lift != nil || c.Order != nil && c.Order.ForOperators()
}

// sendUpdates sends everything that the client watches, at once and whenever it
// changes: the leader, the drains, the evacuated availability zones, the limits of
// targets, the quarantined requests, the ready orders and the configuration. It never sends a revision at or
// below one that was sent, so the client never gets an older configuration, even if
// this member has just been reset to an older snapshot.
func (s *session) sendUpdates(w Watch) {
	sentRevision := w.From
	baseConfig := s.baseConfig(w)
	var sentLeader *Leader
	// These are the versions that were sent last.
	drainsIndex := noDrainsSent
	var evacuated, limitsIndex, quarantineIndex uint64
	var ready []api.TargetID
	for {
		view, changed := s.server.member.watcherView()
		if sentLeader == nil || !sentLeader.equal(view.leader) {
			leader := view.leader
			sentLeader = &leader
			_ = s.conn.Send(sentLeader)
		}
		if view.drainsIndex != drainsIndex {
			drainsIndex = view.drainsIndex
			_ = s.conn.Send(&Drains{Index: drainsIndex, Targets: view.drains})
		}
		if view.evacuated.Index != evacuated {
			evacuated = view.evacuated.Index
			_ = s.conn.Send(&Evacuated{view.evacuated})
		}
		if view.limitsIndex != limitsIndex {
			list := s.server.member.TargetLimits()
			limitsIndex = list.Index
			_ = s.conn.Send(&Limits{list})
		}
		if view.quarantineIndex != quarantineIndex {
			list := s.server.member.Quarantine()
			quarantineIndex = list.Index
			_ = s.conn.Send(&Quarantine{list})
		}
		if !slices.Equal(ready, view.ready) {
			ready = view.ready
			_ = s.conn.Send(&Orders{Ready: ready})
		}
		if view.config.Revision > sentRevision {
			_ = s.conn.Send(s.server.updateBetween(baseConfig, view.config))
			baseConfig, sentRevision = view.config, view.config.Revision
		}
		select {
		case <-changed:
		case <-s.conn.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// baseConfig returns the configuration at the client's revision if this member still
// has its document, and the zero value otherwise.
func (s *session) baseConfig(w Watch) state.Config {
	if w.Whole || w.From == 0 {
		return state.Config{}
	}
	c, _ := s.server.member.revision(w.From)
	return c
}

// noDrainsSent is not a valid log index, so that the first list of drains is always
// sent.
const noDrainsSent = ^uint64(0)

// updateBetween returns the update from one configuration to the next. It caches the
// last update, because a change goes to hundreds of clients that all have the previous
// revision.
func (s *Server) updateBetween(base, next state.Config) *Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.lastUpdate
	if known != nil && known.Revision == next.Revision && known.Base == base.Revision && base.Document != nil {
		return known
	}
	s.lastUpdate = makeUpdate(base, next)
	return s.lastUpdate
}

// makeUpdate returns a patch if the client's document is known, and the whole
// document otherwise.
func makeUpdate(base, next state.Config) *Update {
	if base.Document == nil {
		return &Update{Revision: next.Revision, Document: next.Document}
	}
	patch := state.MakePatch(base.Document, next.Document)
	return &Update{Revision: next.Revision, Base: base.Revision, Patch: &patch}
}

type watcherView struct {
	config      state.Config
	leader      Leader
	drainsIndex uint64
	drains      []state.Drain
	ready       []api.TargetID
	// evacuated are the availability zones whose targets get no new work.
	evacuated state.Evacuated
	// limitsIndex is the log index of the last change to the limits of targets.
	limitsIndex uint64
	// quarantineIndex is the log index of the last change to the quarantined requests.
	quarantineIndex uint64
}

// watcherView returns what watchers are sent, and a channel that is closed at the
// next change.
func (m *Member) watcherView() (watcherView, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	st := m.Status()
	v := watcherView{
		config: m.state.Current(),
		leader: Leader{
			Self: st.Role == consensus.RoleLeader, Addr: addressOf(st.Membership, st.Leader),
			Members: addresses(st.Committed), Index: st.CommittedIndex, Groupless: len(st.Membership.Voters) == 0,
		},
		drainsIndex: m.state.DrainIndex(),
		drains:      m.state.Drains(),
		ready:       m.state.Orders().Ready(),

		evacuated:   m.state.Evacuated(),
		limitsIndex: m.state.LimitsIndex(),

		quarantineIndex: m.state.QuarantineIndex(),
	}
	return v, m.changed
}

func addresses(g consensus.Membership) []string {
	out := make([]string, 0, len(g.Voters)+len(g.Learners))
	for _, list := range [][]consensus.Member{g.Voters, g.Learners} {
		for _, m := range list {
			out = append(out, m.Addr)
		}
	}
	return out
}

func (m *Member) revision(r api.Revision) (state.Config, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Revision(r)
}
