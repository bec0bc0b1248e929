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

// Source is an entry's road to a majority of the control group.
type Source interface {
	// HighestRevision gives the highest revision accepted, read from a majority
	// after the call began. It blocks until there is an answer or ctx is done.
	HighestRevision(ctx context.Context) (api.Revision, error)
}

// EntryOptions of an Entry. Observer may be nil.
type EntryOptions struct {
	Zone     api.Zone
	Live     *fleetconfig.Live
	Source   Source
	Hub      *Hub
	Observer Observer
}

// Entry puts what the control group sends in force, and then passes it on.
type Entry struct {
	opt EntryOptions
	mu  sync.Mutex
	app applier
	ask uint64
}

// NewEntry makes an entry's part; Run drives it.
func NewEntry(opt EntryOptions) *Entry {
	if opt.Observer == nil {
		opt.Observer = noObserver{}
	}
	e := &Entry{opt: opt}
	e.app = applier{node: rollout.NewNode(newAsk(), 0), zone: opt.Zone, live: opt.Live, obs: opt.Observer}
	e.ask = e.app.node.Connect(time.Now()).Ask
	return e
}

// newAsk draws the number of a life's question; zero means none.
func newAsk() uint64 { return rand.Uint64() | 1 }

// Deliver takes a revision with its document. It is what the client of the
// control group calls with each newer revision.
func (e *Entry) Deliver(rev api.Revision, document []byte) {
	doc, err := fleetconfig.ReadDocument(document)
	if err != nil {
		e.opt.Observer.Unusable(rev, err)
		return
	}
	e.take(&rollout.Whole{Document: doc.At(rev)})
}

func (e *Entry) take(m rollout.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.app.step(m); r.Publish != nil {
		e.opt.Hub.Publish(r.Publish)
	}
}

// askPause is the wait after a question that got no answer.
const askPause = 200 * time.Millisecond

// Run asks a majority which revision may be served, until it is told. Until
// then nothing is in force here after a start: what the control member at hand
// holds may be older than what this process served before.
func (e *Entry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := e.opt.Source.HighestRevision(ctx)
		if err == nil {
			e.take(&rollout.Confirmed{Ask: e.ask, Revision: rev})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(askPause):
		}
	}
}

// InForce gives the revision in force and the site, zero before the first.
func (e *Entry) InForce() (api.Revision, api.Site) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.app.inForce()
}
