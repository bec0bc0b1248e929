package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/rollout"
)

// Source queries a majority of the control group.
type Source interface {
	// HighestRevision returns the highest accepted revision, read from a majority
	// after the call began. It blocks until there is an answer or ctx is done.
	HighestRevision(ctx context.Context) (api.Revision, error)
}

// EntryOptions are the options of an Entry. Newest and Observer may be nil.
type EntryOptions struct {
	Zone   api.Zone
	Live   *fleetconfig.Live
	Source Source
	Hub    *Hub
	// Newest is notified of the revisions in force.
	Newest   *Newest
	Observer Observer
}

// Entry puts the configurations from the control group in force and then forwards them
// through its Hub.
type Entry struct {
	opt     EntryOptions
	mu      sync.Mutex
	app     applier
	queryID uint64
}

// NewEntry returns an Entry that holds no configuration. Nothing is put in force before
// Run has queried a majority.
func NewEntry(opt EntryOptions) *Entry {
	if opt.Observer == nil {
		opt.Observer = nopObserver{}
	}
	e := &Entry{opt: opt}
	e.app = applier{node: rollout.NewNode(newQueryID(), 0), zone: opt.Zone, live: opt.Live, obs: opt.Observer}
	e.queryID = e.app.node.Connect(time.Now()).Ask
	return e
}

// newQueryID returns a random number for the query of one process lifetime. It is never
// zero, because zero means no query.
func newQueryID() uint64 { return rand.Uint64() | 1 }

// Deliver accepts an encoded document and its revision. The client of the control group
// calls it with each newer revision.
func (e *Entry) Deliver(rev api.Revision, document []byte) {
	doc, err := fleetconfig.ReadDocument(document)
	if err != nil {
		e.opt.Observer.Unusable(rev, err)
		return
	}
	e.handle(&rollout.Whole{Document: doc.At(rev)})
}

// handle passes a message to the node and forwards a document that was put in force.
func (e *Entry) handle(m rollout.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.app.step(m)
	if r.Publish == nil {
		return
	}
	if e.opt.Newest != nil {
		e.opt.Newest.PutInForce(r.Publish.Revision)
	}
	e.opt.Hub.Publish(r.Publish)
}

// queryRetryDelay is the delay after a query that failed.
const queryRetryDelay = 200 * time.Millisecond

// Run queries a majority for the lowest revision that may be served, until it gets an
// answer or ctx is done. Before that, nothing is put in force: the control member that
// this process reaches may hold an older revision than the process served before its
// restart.
func (e *Entry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := e.opt.Source.HighestRevision(ctx)
		if err == nil {
			e.handle(&rollout.Confirmed{Ask: e.queryID, Revision: rev})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(queryRetryDelay):
		}
	}
}

// InForce returns the revision in force and the site, zero values before the first.
func (e *Entry) InForce() (api.Revision, api.Site) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.app.inForce()
}
