package agent

import (
	"context"
	"slices"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// startReady starts the sequences that the Admitter returns, and ends the queued
// requests whose deadline has passed. During a backoff of the target, queued requests
// wait; the first tick after it starts them.
func (a *Agent) startReady(now time.Time) {
	a.mu.Lock()
	expired := a.sessionsOf(a.admitter.Expired(now))
	var starts []admission.Start
	if a.target.Backoff() == 0 {
		starts = slices.Clone(a.admitter.Next(now))
	}
	ready := a.sessionsOf(starts)
	a.mu.Unlock()
	for i, s := range ready {
		a.launch(s, starts[i].Priority)
	}
	for _, s := range expired {
		s.stop()
		a.endSession(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonDeadlineHopeless})
	}
}

// sessionsOf returns the sessions that the Admitter names. Each of them exists,
// because sessions and Admitter change under the same lock, which the caller must
// hold.
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
		a.closeRun(s, &wire.Final{Outcome: api.OutcomeNotRun, Reason: api.ReasonCancelled})
	case beginDeferred:
		cancel() // runOnce launches it again when the previous run returns
	case beginNow:
		a.tasks.Go(func() {
			defer cancel()
			a.runOnce(ctx, s, priority)
		})
	}
}

// runOnce runs a session. A session that was yielded does not end: it waits in the
// Admitter's queue or, if the Admitter has already returned it again, is launched
// again here.
func (a *Agent) runOnce(ctx context.Context, s *session, priority int) {
	f := a.run(ctx, s, priority)
	yielded, restart, nextPriority := s.afterRun()
	switch {
	case !yielded:
		a.closeRun(s, f)
	case restart:
		a.launch(s, nextPriority)
	}
}

// closeRun ends a session that was launched and starts the next ones. It releases
// the capacity that the session used before it sends the Final message. Otherwise
// a caller that sends its next request at once could be refused on account of the
// previous one.
func (a *Agent) closeRun(s *session, f *wire.Final) {
	now := a.cfg.Clock()
	k := s.offer.Key
	a.mu.Lock()
	switch {
	case s.offer.Service != "":
		a.calls--
	case f.Outcome == api.OutcomeCompleted:
		a.admitter.Done(k.Request, k.Attempt, s.produced(), now)
	default:
		a.admitter.Failed(k.Request, k.Attempt)
		// A session that was stopped after it had been yielded may be queued
		// again. If it stayed in the queue, it would be started after its
		// session has been removed.
		a.admitter.Cancel(k.Request, k.Attempt, now)
	}
	a.mu.Unlock()
	a.endSession(s, f)
	a.startReady(now)
}

// observeLoad processes a load report of the engine. It reports new preemptions to
// the Admitter, which then keeps more memory free. If memory is nearly exhausted,
// a sequence that has produced nothing is withdrawn before the engine discards the
// work of another one.
func (a *Agent) observeLoad(l TargetLoad) {
	now := a.cfg.Clock()
	a.mu.Lock()
	for n := a.preemptions; n < l.Preemptions; n++ {
		a.admitter.Preempted("", 0, now)
	}
	a.preemptions = l.Preemptions
	a.yieldLocked(l.Free)
	a.mu.Unlock()
}

func (a *Agent) yieldLocked(free int) {
	id, ok := a.admitter.Yield(free)
	if !ok {
		return
	}
	s := a.lookup(wire.Key{Request: id})
	if s == nil || !s.yield() {
		// Its first token has arrived in the meantime, so the sequence keeps
		// running. The Admitter has queued it and would start it a second time, so
		// it is removed there. The Admitter therefore counts one running sequence
		// too few until this one ends.
		a.admitter.Cancel(id, a.latestKey[id].Attempt, a.cfg.Clock())
	}
}

// pollLoad requests the load of the engine, one report at a time, until ctx is
// done. If the engine reports no load, only the corrections by observeLoad are
// missing.
func (a *Agent) pollLoad(ctx context.Context) {
	t := time.NewTicker(a.cfg.LoadInterval)
	defer t.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if a.target.Backoff() > 0 {
			continue // a load report is a request too
		}
		lctx, cancel := context.WithTimeout(ctx, a.cfg.LoadInterval)
		l, err := a.target.Load(lctx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			a.observeLoad(l)
		}
		if err != nil && !failing {
			a.cfg.Observer.LoadFailed(err)
		}
		failing = err != nil
	}
}
