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
	"almondseam.dev/node/registry"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

// Server serves one member to other members and to entries, over links.
type Server struct {
	member *Member
	links  *Links
	ctx    context.Context
	active sync.WaitGroup
	// gate guards stopped, after which no session may begin.
	gate    sync.Mutex
	stopped bool
	// registry is told to subscribers; nil where targets have agents.
	registry *registry.Registry
	// last is the newest update made; most clients need the same one.
	mu   sync.Mutex
	last *Update
}

// NewServer makes a server whose links end with ctx.
func NewServer(ctx context.Context, m *Member, links *Links) *Server {
	return &Server{member: m, links: links, ctx: ctx}
}

// Serve runs one accepted link until it ends. It is what link.NewAcceptor calls.
func (s *Server) Serve(conn *link.Conn) {
	if !s.enter() {
		conn.Close()
		return
	}
	defer s.active.Done()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	session := &session{server: s, conn: conn, ctx: ctx, wg: &wg}
	conn.Run(ctx, session.handle)
	cancel()
	s.links.Gone(conn)
	if s.registry != nil {
		s.registry.Unsubscribe(conn)
	}
}

// subscribe lets a link follow the targets that announce themselves here.
func (s *Server) subscribe(conn *link.Conn, m registry.Subscribe) {
	if s.registry != nil {
		s.registry.Subscribe(conn, m)
	}
}

// enter counts a session in, unless the server has stopped.
//
// The HTTP server does not wait for connections that it has handed over. Counted under the same
// lock as the stop, a session is either waited for or never begins.
func (s *Server) enter() bool {
	s.gate.Lock()
	defer s.gate.Unlock()
	if s.stopped {
		return false
	}
	s.active.Add(1)
	return true
}

// Wait lets no more sessions begin and returns once all have ended.
func (s *Server) Wait() {
	s.gate.Lock()
	s.stopped = true
	s.gate.Unlock()
	s.active.Wait()
}

// session is one accepted link.
type session struct {
	server *Server
	conn   *link.Conn
	ctx    context.Context
	wg     *conc.WaitGroup
	watch  sync.Once
	from   consensus.MemberID
	// entries is the list last told, used by the reading goroutine alone.
	entries []wire.EntryInfo
}

func (s *session) handle(m wire.Message) {
	switch m := m.(type) {
	case *Peer:
		s.peer(m)
	case *Request:
		s.request(m)
	case *Watch:
		s.watch.Do(func() { s.wg.Go(func() { s.push(*m) }) })
	case *Report:
		s.report(m)
	case *registry.Subscribe:
		s.server.subscribe(s.conn, *m)
	case *registry.Loads:
		if s.server.registry != nil {
			s.server.registry.Load(m.List)
		}
	}
}

// report takes a report and tells the entry of a change among the entries. Only
// the leader hears all of them; a member that hears some would shorten the list.
func (s *session) report(m *Report) {
	now := time.Now()
	member := s.server.member
	member.reports.put(*m, now)
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
	if from := m.Message.From; from != s.from {
		s.from = from
		s.server.links.Came(from, s.conn)
	}
	s.server.member.Receive(m.Message)
}

// request carries out a request. Only control members, which have checked an
// operator's token, may change the configuration, the orders' queue or the group:
// an entry that was taken over must not be able to rewrite the fleet.
func (s *session) request(req *Request) {
	member := s.server.member
	if s.conn.Peer().Role != link.RoleControl && forOperators(req) {
		r := member.refused(req, api.ReasonForbidden, "only for operators")
		r.ID = req.ID
		_ = s.conn.Send(r)
		return
	}
	member.Submit(req, func(r *Reply) { _ = s.conn.Send(r) })
}

func forOperators(req *Request) bool {
	if req.Change != nil {
		return true
	}
	c := req.Command
	return c != nil && (c.Config != nil || c.Drain != nil || c.Evacuation != nil || c.Member != nil || c.Order != nil && c.Order.ForOperators())
}

// push sends the configuration and the leader's address, now and whenever one
// of them changes. A revision at or below one that was sent is never sent, so
// what the client sees never goes back, also when this member was just reset to
// an older snapshot.
func (s *session) push(w Watch) {
	sent := w.From
	base := s.base(w)
	var told *Leader
	drained := noDrains
	var evacuated, limits uint64
	var ready []api.TargetID
	for {
		view, changed := s.server.member.watchView()
		if told == nil || !told.equal(view.leader) {
			leader := view.leader
			told = &leader
			_ = s.conn.Send(told)
		}
		if view.drained != drained {
			drained = view.drained
			_ = s.conn.Send(&Drains{Index: drained, Targets: view.drains})
		}
		if view.evacuated.Index != evacuated {
			evacuated = view.evacuated.Index
			_ = s.conn.Send(&Evacuated{view.evacuated})
		}
		if view.limits != limits {
			list := s.server.member.TargetLimits()
			limits = list.Index
			_ = s.conn.Send(&Limits{list})
		}
		if !slices.Equal(ready, view.ready) {
			ready = view.ready
			_ = s.conn.Send(&Orders{Ready: ready})
		}
		if view.config.Revision > sent {
			_ = s.conn.Send(s.server.update(base, view.config))
			base, sent = view.config, view.config.Revision
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

// base gives the client's own revision if this member still has its document.
func (s *session) base(w Watch) state.Config {
	if w.Whole || w.From == 0 {
		return state.Config{}
	}
	c, _ := s.server.member.revision(w.From)
	return c
}

// noDrains is no log index: the first list is always sent.
const noDrains = ^uint64(0)

// update gives the update between two revisions and keeps the newest one, for
// a change goes to hundreds of clients that all hold the revision before.
func (s *Server) update(base, next state.Config) *Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.last
	if known != nil && known.Revision == next.Revision && known.Base == base.Revision && base.Document != nil {
		return known
	}
	s.last = makeUpdate(base, next)
	return s.last
}

// makeUpdate makes a patch where the client's document is known, else it sends
// the whole.
func makeUpdate(base, next state.Config) *Update {
	if base.Document == nil {
		return &Update{Revision: next.Revision, Document: next.Document}
	}
	patch := state.MakePatch(base.Document, next.Document)
	return &Update{Revision: next.Revision, Base: base.Revision, Patch: &patch}
}

type watchView struct {
	config  state.Config
	leader  Leader
	drained uint64
	drains  []state.Drain
	ready   []api.TargetID
	// evacuated are the zones whose targets get no new work.
	evacuated state.Evacuated
	// limits is the log index of the limits that targets name.
	limits uint64
}

// watchView gives what watchers are told and a channel that is closed at the
// next change.
func (m *Member) watchView() (watchView, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	st := m.Status()
	v := watchView{
		config:  m.state.Current(),
		leader:  Leader{Self: st.Role == consensus.RoleLeader, Addr: addressOf(st.Membership, st.Leader), Members: addresses(st.Membership), Groupless: len(st.Membership.Voters) == 0},
		drained: m.state.DrainIndex(),
		drains:  m.state.Drains(),
		ready:   m.state.Orders().Ready(),

		evacuated: m.state.Evacuated(),
		limits:    m.state.LimitsIndex(),
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
