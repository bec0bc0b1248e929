package relay

import (
	"context"
	"maps"
	"slices"
	"sync"

	"almondseam.dev/node/upstream"
)

// leftRuns holds the runs that were left and may be worked on. It is safe for concurrent use.
type leftRuns struct {
	mu   sync.Mutex
	runs map[*leftRun]struct{}
}

func (r *leftRuns) add(e *leftRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[*leftRun]struct{})
	}
	r.runs[e] = struct{}{}
}

func (r *leftRuns) remove(e *leftRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, e)
}

func (r *leftRuns) list() []*leftRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.runs))
}

// AwaitLeftRuns waits until the runs that were left are stopped, as far as their engines can be reached. It waits
// for maxResumePause at most, and until ctx ends.
func (r *Relay) AwaitLeftRuns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxResumePause)
	defer cancel()
	for _, e := range r.leftRuns.list() {
		e.awaitEnd(ctx)
	}
}

// reachability lets all runs that were left at a target share the connections which show whether it can
// be reached.
type reachability struct {
	mu      sync.Mutex
	probing chan struct{}
	result  upstream.Presence
}

// presence looks up whether a connection to a target can be opened.
func (r *Relay) presence(t *Target) upstream.Presence {
	p := &t.reach
	p.mu.Lock()
	if probing := p.probing; probing != nil {
		p.mu.Unlock()
		<-probing
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.result
	}
	p.probing = make(chan struct{})
	p.mu.Unlock()
	result := r.pool.Probe(context.Background(), t.Address, reachTimeout, r.maxIdleConns(t))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result = result
	close(p.probing)
	p.probing = nil
	return result
}
