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
	// minDialTimeout and maxDialTimeout bound the time of one dial, which grows with
	// each failure in a row; see link.Dialer.
	minDialTimeout = 200 * time.Millisecond
	maxDialTimeout = 2 * time.Second
)

// Links implements Transport with one outgoing link to each other member. While that
// link is not up, or if the address of a member is not known yet, messages to the
// member go over the newest incoming link from it.
type Links struct {
	self consensus.MemberID
	opt  link.Options
	// receive is called with the messages that arrive on outgoing links.
	receive func(consensus.Message)

	mu       sync.Mutex
	ctx      context.Context
	wg       conc.WaitGroup
	outgoing map[consensus.MemberID]*peer
	// incoming holds the newest incoming link from each member.
	incoming map[consensus.MemberID]*link.Conn

	parts *parts
}

// peer is another member. conn is nil while no outgoing link to it is up.
type peer struct {
	addr   string
	cancel context.CancelFunc
	conn   *link.Conn
}

// NewLinks returns a transport whose links end when ctx is done. receive is called
// from several goroutines and must not block.
func NewLinks(ctx context.Context, self consensus.MemberID, opt link.Options, receive func(consensus.Message)) *Links {
	return &Links{
		self:     self,
		opt:      opt,
		receive:  receive,
		ctx:      ctx,
		outgoing: make(map[consensus.MemberID]*peer),
		incoming: make(map[consensus.MemberID]*link.Conn),
		parts:    newParts(receive),
	}
}

// Send implements Transport.
func (l *Links) Send(m consensus.Message) {
	conn := l.route(m.To)
	switch {
	case conn == nil:
	case sentInParts(m):
		l.parts.start(conn, m)
	default:
		_ = conn.Send(&Peer{Message: m})
	}
}

func (l *Links) route(to consensus.MemberID) *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.outgoing[to]; p != nil && p.conn != nil {
		return p.conn
	}
	return l.incoming[to]
}

// AddIncoming records the link on which a member sends messages.
func (l *Links) AddIncoming(from consensus.MemberID, conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incoming[from] = conn
}

// RemoveIncoming removes a link that has ended.
func (l *Links) RemoveIncoming(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.incoming {
		if c == conn {
			delete(l.incoming, id)
		}
	}
	l.parts.forget(conn)
}

// Members implements Transport: it dials new members and closes the links to removed
// ones. A member with a changed address is dialled anew.
func (l *Links) Members(g consensus.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want := make(map[consensus.MemberID]string)
	for _, list := range [][]consensus.Member{g.Voters, g.Learners} {
		for _, m := range list {
			want[m.ID] = m.Addr
		}
	}
	for id, p := range l.outgoing {
		if want[id] != p.addr {
			p.cancel()
			delete(l.outgoing, id)
		}
	}
	for id, addr := range want {
		if id != l.self && l.outgoing[id] == nil && l.ctx.Err() == nil {
			l.startPeer(id, addr)
		}
	}
}

func (l *Links) startPeer(id consensus.MemberID, addr string) {
	ctx, cancel := context.WithCancel(l.ctx)
	p := &peer{addr: addr, cancel: cancel}
	l.outgoing[id] = p
	patience := link.NewDialer(minDialTimeout, maxDialTimeout)
	l.wg.Go(func() {
		link.RunWithBackoff(ctx, redialMin, redialMax, func() bool { return l.dialAndRun(ctx, p, patience) })
	})
}

// dialAndRun dials the peer once and runs the link until it ends. It reports whether
// the dial succeeded.
func (l *Links) dialAndRun(ctx context.Context, p *peer, patience *link.Dialer) bool {
	conn, err := patience.Dial(ctx, p.addr, l.opt)
	if err != nil {
		return false
	}
	l.setConn(p, conn)
	conn.Run(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *Peer:
			l.receive(m.Message)
		case *Part:
			l.parts.receivePart(conn, m)
		case *PartAck:
			l.parts.receiveAck(conn, m)
		}
	})
	l.setConn(p, nil)
	l.parts.forget(conn)
	return true
}

func (l *Links) setConn(p *peer, conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.conn = conn
}

// Wait returns once all outgoing links have ended. The context that was passed to
// NewLinks must be done.
func (l *Links) Wait() { l.wg.Wait() }
