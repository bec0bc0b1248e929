package process

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/rollout"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/control"
)

// newestReadTimeout bounds one read of the newest revision: an election takes about as long.
const newestReadTimeout = time.Second

// newestTable implements relay.Newest. It asks the control group only when a request needs it, and
// requests that wait together share a read.
type newestTable struct {
	confirm func(context.Context) (control.Confirmed, error)

	mu    sync.Mutex
	fresh rollout.Freshness
	table *routeconf.Table // in force
	// changed is closed and replaced when a read has ended or a table has come in force.
	changed chan struct{}
	// wanted holds a token if a read is wanted.
	wanted chan struct{}
}

func newNewestTable(confirm func(context.Context) (control.Confirmed, error)) *newestTable {
	return &newestTable{confirm: confirm, changed: make(chan struct{}), wanted: make(chan struct{}, 1)}
}

// putInForce records the table in force.
func (n *newestTable) putInForce(rev api.Revision, table *routeconf.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fresh.PutInForce(rev)
	n.table = table
	n.notify()
}

// notify wakes the requests that wait. n.mu must be held.
func (n *newestTable) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Newest implements relay.Newest.
func (n *newestTable) Newest(ctx context.Context, since time.Time) (*routeconf.Table, bool) {
	for {
		n.mu.Lock()
		table, changed := n.table, n.changed
		newest, asked := n.fresh.NewestSince(since), n.fresh.AskedSince(since)
		n.mu.Unlock()
		if newest {
			return table, true
		}
		if !asked {
			n.requestRead()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (n *newestTable) requestRead() {
	select {
	case n.wanted <- struct{}{}:
	default:
	}
}

// run reads the newest revision whenever that is wanted, one read at a time, until ctx is done.
func (n *newestTable) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wanted:
		}
		n.read(ctx)
	}
}

// read asks a majority once. The Observer of the control client logs attempts that fail.
func (n *newestTable) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, newestReadTimeout)
	defer cancel()
	asked := time.Now()
	confirmed, err := n.confirm(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.fresh.Confirm(asked, confirmed.Revision)
	}
	n.notify()
}
