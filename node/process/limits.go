package process

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
)

// EntryPeer is another entry that shares the customers' limits.
type EntryPeer struct {
	Instance api.InstanceID
	// Addr is the address at which it accepts links, HOST:PORT.
	Addr string
}

// peerLinks maintains a link to each other entry. An entry sends only on the links
// that it has dialled and receives only on those that other entries have dialled.
type peerLinks struct {
	set   EntrySettings
	ports EntryPorts
	mu    sync.RWMutex
	conns map[api.InstanceID]*link.Conn
}

var _ entry.LimitPeers = (*peerLinks)(nil)

// Send implements entry.LimitPeers. A message to an entry without a link is lost; the
// next limit request to that entry makes up for it.
func (p *peerLinks) Send(to api.InstanceID, m wire.Message) {
	p.mu.RLock()
	c := p.conns[to]
	p.mu.RUnlock()
	if c != nil {
		_ = c.Send(m)
	}
}

func (p *peerLinks) setConn(to api.InstanceID, c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[to] = c
}

// maintain keeps a link to one entry open until ctx is done.
func (p *peerLinks) maintain(ctx context.Context, to EntryPeer) {
	redial(ctx, func() { p.run(ctx, to) })
}

func (p *peerLinks) run(ctx context.Context, to EntryPeer) {
	conn, err := link.Dial(ctx, to.Addr, link.Options{
		Key:      p.set.Key,
		Self:     link.Peer{Instance: p.set.Instance, Zone: p.set.Zone, Role: link.RoleEntry},
		Codec:    pathCodec,
		Observer: p.ports.Metrics,
	})
	if err != nil {
		if ctx.Err() == nil {
			p.ports.Metrics.DialFailed(to.Addr, err)
		}
		return
	}
	p.setConn(to.Instance, conn)
	defer p.setConn(to.Instance, nil)
	conn.Run(ctx, func(wire.Message) {})
}

// newLimits creates the customers' limits that this entry shares with its peers.
func newLimits(set EntrySettings, ports EntryPorts, peers *peerLinks) *entry.Limits {
	roster := entry.FixedRoster{Entries: []api.InstanceID{set.Instance}, Clock: time.Now}
	for _, p := range set.Peers {
		roster.Entries = append(roster.Entries, p.Instance)
	}
	return entry.NewLimits(entry.LimitsConfig{
		Self:        set.Instance,
		Incarnation: api.Incarnation(time.Now().UnixMilli()),
		Live:        ports.Live,
		Roster:      roster,
		Peers:       peers,
	})
}

// servePeer runs a link that another entry has dialled. It drops a limit request whose
// holder is not the instance that the link has authenticated.
func (e *Entry) servePeer(c *link.Conn) {
	c.Run(e.ctx, func(m wire.Message) {
		if r, ok := m.(*wire.LimitRequest); ok && r.Holder != c.Peer().Instance {
			return
		}
		e.limits.Handle(m)
	})
}
