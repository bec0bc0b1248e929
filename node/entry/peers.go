package entry

import (
	"sync"
	"sync/atomic"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// sender is a link that the entry sends on. Done is closed when the link has ended.
type sender interface {
	Send(m wire.Message) error
	Done() <-chan struct{}
}

// peer is one linked agent.
type peer struct {
	target api.TargetID
	inc    api.Incarnation
	link   sender
	zone   api.Zone
	links  int // number of entries that the agent wants to link to; 0 for all
	// sentEntries is the list of entries last sent to the agent; nil before the
	// first.
	sentEntries atomic.Pointer[[]wire.EntryInfo]
	// leaving is taken from the latest announcement.
	leaving atomic.Bool
	// clock is the latest reading of the agent's monotonic clock, from an
	// announcement or a load report.
	clock atomic.Int64
}

func (p *peer) view() TargetView {
	return TargetView{Target: p.target, Incarnation: p.inc, Zone: p.zone, Leaving: p.leaving.Load()}
}

// peers is the table of linked agents. It is read without a lock and copied on each
// change, that is, when an agent announces itself on a new link or a link closes.
// changed lets a request wait for the next change.
type peers struct {
	table atomic.Pointer[map[api.TargetID]*peer]

	mu     sync.Mutex
	change chan struct{} // closed and replaced on each change
}

func newPeers() *peers {
	p := &peers{change: make(chan struct{})}
	p.table.Store(&map[api.TargetID]*peer{})
	return p
}

func (p *peers) get(id api.TargetID) *peer { return (*p.table.Load())[id] }

// all returns the current table, which must not be modified.
func (p *peers) all() map[api.TargetID]*peer { return *p.table.Load() }

// put sets the link of n's target. It returns the peer that it replaced, or nil.
func (p *peers) put(n *peer) *peer {
	var old *peer
	p.update(func(m map[api.TargetID]*peer) {
		old = m[n.target]
		m[n.target] = n
	})
	return old
}

// removeLink removes a target if its current link is still the given one, and
// reports whether it did.
func (p *peers) removeLink(id api.TargetID, link sender) bool {
	dropped := false
	p.update(func(m map[api.TargetID]*peer) {
		if cur := m[id]; cur != nil && cur.link == link {
			delete(m, id)
			dropped = true
		}
	})
	return dropped
}

func (p *peers) update(change func(map[api.TargetID]*peer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.table.Load()
	next := make(map[api.TargetID]*peer, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	change(next)
	p.table.Store(&next)
	close(p.change)
	p.change = make(chan struct{})
}

// changed returns a channel that is closed on the next change of the table.
func (p *peers) changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.change
}
