package control

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/consensus"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

const (
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
	// dialLeast and dialMost bound one attempt, see link.Patience.
	dialLeast = 200 * time.Millisecond
	dialMost  = 2 * time.Second
)

// Links is the Transport over links: one outgoing link to each other member. It
// answers a member whose address it hasn't learnt yet on the link that the
// member came in by.
type Links struct {
	self consensus.MemberID
	opt  link.Options
	// receive takes the messages that come back on outgoing links.
	receive func(consensus.Message)

	mu    sync.Mutex
	ctx   context.Context
	wg    conc.WaitGroup
	peers map[consensus.MemberID]*peer
	// incoming is the newest link by which each member came in.
	incoming map[consensus.MemberID]*link.Conn
}

// peer is one other member. conn is nil while no link is up.
type peer struct {
	addr   string
	cancel context.CancelFunc
	conn   *link.Conn
}

// NewLinks makes a transport. receive is called from several goroutines and must
// not block.
func NewLinks(ctx context.Context, self consensus.MemberID, opt link.Options, receive func(consensus.Message)) *Links {
	return &Links{
		self:     self,
		opt:      opt,
		receive:  receive,
		ctx:      ctx,
		peers:    make(map[consensus.MemberID]*peer),
		incoming: make(map[consensus.MemberID]*link.Conn),
	}
}

// Send implements Transport.
func (l *Links) Send(m consensus.Message) {
	if conn := l.route(m.To); conn != nil {
		_ = conn.Send(&Peer{Message: m})
	}
}

func (l *Links) route(to consensus.MemberID) *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[to]; p != nil && p.conn != nil {
		return p.conn
	}
	return l.incoming[to]
}

// Came notes by which link a member sends.
func (l *Links) Came(from consensus.MemberID, conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incoming[from] = conn
}

// Gone forgets a link that has ended.
func (l *Links) Gone(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.incoming {
		if c == conn {
			delete(l.incoming, id)
		}
	}
}

// Members implements Transport: it dials new members and drops removed ones.
func (l *Links) Members(g consensus.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want := make(map[consensus.MemberID]string)
	for _, list := range [][]consensus.Member{g.Voters, g.Learners} {
		for _, m := range list {
			want[m.ID] = m.Addr
		}
	}
	for id, p := range l.peers {
		if want[id] != p.addr {
			p.cancel()
			delete(l.peers, id)
		}
	}
	for id, addr := range want {
		if id != l.self && l.peers[id] == nil && l.ctx.Err() == nil {
			l.start(id, addr)
		}
	}
}

func (l *Links) start(id consensus.MemberID, addr string) {
	ctx, cancel := context.WithCancel(l.ctx)
	p := &peer{addr: addr, cancel: cancel}
	l.peers[id] = p
	patience := link.NewPatience(dialLeast, dialMost)
	l.wg.Go(func() { link.Keep(ctx, redialMin, redialMax, func() bool { return l.serve(ctx, p, patience) }) })
}

// serve dials the peer once and stays until the link ends.
func (l *Links) serve(ctx context.Context, p *peer, patience *link.Patience) bool {
	conn, err := patience.Dial(ctx, p.addr, l.opt)
	if err != nil {
		return false
	}
	l.set(p, conn)
	conn.Run(ctx, func(m wire.Message) {
		if peer, ok := m.(*Peer); ok {
			l.receive(peer.Message)
		}
	})
	l.set(p, nil)
	return true
}

func (l *Links) set(p *peer, conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.conn = conn
}

// Wait returns once all links have ended; its context must be done.
func (l *Links) Wait() { l.wg.Wait() }
