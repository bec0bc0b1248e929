package entry

import (
	"sync"
	"sync/atomic"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// sender is the end of a link that an entry writes to.
type sender interface {
	Send(m wire.Message) error
	Done() <-chan struct{}
}

// peer is one linked agent.
type peer struct {
	target api.TargetID
	inc    api.Incarnation
	to     sender
	zone   api.Zone
	links  int // entries that the agent wants to link to
	// told is the list of entries that the agent was last told.
	told atomic.Pointer[[]wire.EntryInfo]
	// leaving and clock are from the newest announcement or report.
	leaving atomic.Bool
	// clock is the newest reading of the agent's monotonic clock.
	clock atomic.Int64
}

func (p *peer) view() TargetView {
	return TargetView{Target: p.target, Incarnation: p.inc, Zone: p.zone, Leaving: p.leaving.Load()}
}

// peers is the table of linked agents: read without a lock, copied on change,
// which happens when a link comes or goes. waiters learn of changes.
type peers struct {
	table atomic.Pointer[map[api.TargetID]*peer]

	mu     sync.Mutex
	change chan struct{} // closed and replaced at each change
}

func newPeers() *peers {
	p := &peers{change: make(chan struct{})}
	p.table.Store(&map[api.TargetID]*peer{})
	return p
}

func (p *peers) get(id api.TargetID) *peer { return (*p.table.Load())[id] }

// all gives the present table; it must not be changed.
func (p *peers) all() map[api.TargetID]*peer { return *p.table.Load() }

// put replaces a target's link. It gives the one before, or nil.
func (p *peers) put(n *peer) *peer {
	var old *peer
	p.update(func(m map[api.TargetID]*peer) {
		old = m[n.target]
		m[n.target] = n
	})
	return old
}

// drop forgets a target's link if it still is to; it tells whether it was.
func (p *peers) drop(id api.TargetID, to sender) bool {
	dropped := false
	p.update(func(m map[api.TargetID]*peer) {
		if cur := m[id]; cur != nil && cur.to == to {
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

// changed gives a channel that is closed at the next change.
func (p *peers) changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.change
}
