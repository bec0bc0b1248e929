package rollout

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/rollout"
)

// Newest determines whether the configuration in force is the newest accepted one. It asks the control group only when a
// request needs it, and requests that wait together share a read. Run drives it.
type Newest struct {
	highest func(context.Context) (api.Revision, error)

	mu    sync.Mutex
	fresh rollout.Freshness
	// changed is closed and replaced when a read has ended or a revision has come in force.
	changed chan struct{}
	// wanted holds a token if a read is wanted.
	wanted chan struct{}
}

// NewNewest returns a Newest for a process that has no configuration in force. highest is
// Source.HighestRevision.
func NewNewest(highest func(context.Context) (api.Revision, error)) *Newest {
	return &Newest{highest: highest, changed: make(chan struct{}), wanted: make(chan struct{}, 1)}
}

// PutInForce records that a revision is in force.
func (n *Newest) PutInForce(rev api.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fresh.PutInForce(rev)
	n.notify()
}

// notify wakes the requests that wait. n.mu must be held.
func (n *Newest) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Await waits until every configuration that was accepted before since is in force, or replaced by one
// that is, and a majority of the control group has confirmed that. It returns false if ctx ends first.
func (n *Newest) Await(ctx context.Context, since time.Time) bool {
	for {
		n.mu.Lock()
		changed := n.changed
		newest, asked := n.fresh.NewestSince(since), n.fresh.AskedSince(since)
		n.mu.Unlock()
		if newest {
			return true
		}
		if !asked {
			n.requestRead()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (n *Newest) requestRead() {
	select {
	case n.wanted <- struct{}{}:
	default:
	}
}

// Run reads the newest revision whenever that is wanted, one read at a time, until ctx is done.
func (n *Newest) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wanted:
		}
		n.read(ctx)
	}
}

// read asks a majority once. It is not cut short: the control client leaves a member that does not answer
// only if the call outlasts an attempt. The observer of the client logs attempts that fail.
func (n *Newest) read(ctx context.Context) {
	asked := time.Now()
	rev, err := n.highest(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.fresh.Confirm(asked, rev)
	}
	n.notify()
}
