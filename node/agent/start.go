package agent

import (
	"context"
	"slices"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// startReady starts what the admitter lets start, and ends what has waited
// beyond its deadline.
func (a *Agent) startReady(now time.Time) {
	a.mu.Lock()
	late := a.sessionsOf(a.admit.Expired(now))
	starts := slices.Clone(a.admit.Next(now))
	ready := a.sessionsOf(starts)
	a.mu.Unlock()
	for i, s := range ready {
		a.launch(s, starts[i].Priority)
	}
	for _, s := range late {
		s.stop()
		a.end(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonDeadlineHopeless})
	}
}

// sessionsOf gives the sessions of what the admitter names. Both are changed
// under one lock, so each has one.
func (a *Agent) sessionsOf(starts []admission.Start) []*session {
	out := make([]*session, len(starts))
	for i, st := range starts {
		out[i] = a.sessions[wire.Key{Request: st.ID, Attempt: st.Attempt}]
	}
	return out
}

func (a *Agent) launch(s *session, priority int) {
	ctx, cancel := context.WithCancel(context.Background())
	switch s.begin(cancel, priority) {
	case beginStopped:
		cancel()
		a.close(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonCancelled})
	case beginBusy:
		cancel() // its last run has yet to return, and launches it then
	case beginNow:
		a.work.Go(func() {
			defer cancel()
			a.runOnce(ctx, s, priority)
		})
	}
}

// runOnce runs a session. One that gave way is not ended: it waits in the
// admitter's queue, or has been let start again already.
func (a *Agent) runOnce(ctx context.Context, s *session, priority int) {
	f := a.run(ctx, s, priority)
	yielded, again, next := s.afterRun()
	switch {
	case !yielded:
		a.close(s, f)
	case again:
		a.launch(s, next)
	}
}

// close ends a session that was launched and lets the next ones start. The room
// that it held is given up before its end is told: a caller that asks again at
// once must not find its own request still in the way.
func (a *Agent) close(s *session, f *wire.Final) {
	now := a.cfg.Clock()
	k := s.offer.Key
	a.mu.Lock()
	switch {
	case s.offer.Service != "":
		a.calls--
	case f.Outcome == api.OutcomeCompleted:
		a.admit.Done(k.Request, k.Attempt, s.produced(), now)
	default:
		a.admit.Failed(k.Request, k.Attempt)
		// One that was cancelled while it gave way is not running but queued.
		// Left there it would be started after its session has been forgotten.
		a.admit.Cancel(k.Request, k.Attempt, now)
	}
	a.mu.Unlock()
	a.end(s, f)
	a.startReady(now)
}

// observe takes a load report of the engine: preemptions make the admitter more
// careful, and when memory is nearly gone the sequence that has produced nothing
// gives way before the engine throws away the work of another.
func (a *Agent) observe(l TargetLoad) {
	now := a.cfg.Clock()
	a.mu.Lock()
	for n := a.preemptions; n < l.Preemptions; n++ {
		a.admit.Preempted("", 0, now)
	}
	a.preemptions = l.Preemptions
	a.yieldLocked(l.Free)
	a.mu.Unlock()
}

func (a *Agent) yieldLocked(free int) {
	id, ok := a.admit.Yield(free)
	if !ok {
		return
	}
	s := a.lookup(wire.Key{Request: id})
	if s == nil || !s.yield() {
		// Its first token arrived in between, so it keeps running. The admitter
		// would start it a second time: it forgets it, and counts one running
		// sequence too few until that ends.
		a.admit.Cancel(id, a.latest[id].Attempt, a.cfg.Clock())
	}
}

// poll asks the engine for its load, one report at a time, until ctx is done.
// An engine that does not report only loses the corrections.
func (a *Agent) poll(ctx context.Context) {
	t := time.NewTicker(a.cfg.LoadEvery)
	defer t.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		lctx, cancel := context.WithTimeout(ctx, a.cfg.LoadEvery)
		l, err := a.target.Load(lctx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			a.observe(l)
		}
		if err != nil && !failing {
			a.cfg.Observer.LoadFailed(err)
		}
		failing = err != nil
	}
}
