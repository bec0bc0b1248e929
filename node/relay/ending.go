package relay

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/upstream"
)

// BrokenOffError reports a response that ended with its connection, and for which that end does not
// count as its own.
type BrokenOffError struct {
	Peer api.TargetID
	End  handoff.ConnectionEnd
}

// Error implements error.
func (e *BrokenOffError) Error() string {
	return fmt.Sprintf("read from %s: the connection ended before the response (stop: %v, process: %v)", e.Peer, e.End.Stop, e.End.Process)
}

// confirmEnd returns an error unless the end of a connection is that of the response to the request
// which was sent on it at a time.
func (r *Relay) confirmEnd(ctx context.Context, req *Request, t *Target, sentAt time.Time) error {
	endedAt := time.Now()
	req.connectionEndedAt = endedAt
	end := handoff.ConnectionEnd{Stop: req.stops.await(ctx, t, sentAt)}
	if end.MayBeComplete() {
		end.Process = r.processAfter(ctx, req, t, endedAt)
	}
	r.obs.ConnectionEnded(req, t, end, time.Since(endedAt))
	if !end.IsComplete() {
		return &BrokenOffError{Peer: t.Target, End: end}
	}
	return nil
}

// processAfter returns what is known of a target's process after the end of a connection to it. A process
// that is ending may close its connections some time before its listener, and answers meanwhile, so
// one that is leaving must still run crashProbeInterval after the end.
func (r *Relay) processAfter(ctx context.Context, req *Request, t *Target, after time.Time) handoff.Process {
	if t.isDraining() {
		if r.acceptingProcess(ctx, t, after) == handoff.ProcessEnded {
			return handoff.ProcessEnded
		}
		sleep(ctx, time.Until(after.Add(crashProbeInterval)))
		after = time.Now()
	}
	if req.Route.Kind == routeconf.KindStream && t.statesRun() && r.check(t, targetstate.UseHeld) == nil {
		if p := r.askedProcess(ctx, req, t, after); p != handoff.ProcessUnchecked {
			return p
		}
	}
	if t.successor.Load() != nil {
		return handoff.ProcessEnded
	}
	return r.acceptingProcess(ctx, t, after)
}

// statesRun reports whether a target is asked for its run.
func (t *Target) statesRun() bool {
	t.runs.mu.Lock()
	defer t.runs.mu.Unlock()
	return t.Born != 0 && !t.runs.unstated && !t.runs.slow
}

// askedProcess asks a target for its run after a time. It returns ProcessUnchecked if the target does not
// state its run, or answers too late while it is not leaving.
func (r *Relay) askedProcess(ctx context.Context, req *Request, t *Target, after time.Time) handoff.Process {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !t.isDraining() {
		sleep(ctx, t.runs.untilNextQuestion(after)) // the next answer settles all ends up to then
	}
	for {
		covered, unstated := t.runs.covers(upstream.Opening{Began: after, Ended: after})
		switch {
		case covered:
			return handoff.ProcessRuns
		case unstated:
			return handoff.ProcessUnchecked
		case t.otherRun() != nil:
			return handoff.ProcessEnded
		}
		// The question uses the connection that is opened here. Its answer may be lost because the process has
		// closed its listener last.
		if r.pool.Probe(ctx, t.Address, reachTimeout, r.maxIdleConns(t)) == upstream.Refused {
			return handoff.ProcessEnded
		}
		answered := r.wantRun(req, t, after)
		if answered == nil {
			continue // the last answer has just been recorded
		}
		select {
		case <-answered:
		case <-ctx.Done():
		}
		if ctx.Err() != nil && t.isDraining() {
			return handoff.ProcessUnknown
		}
		if ctx.Err() != nil {
			return handoff.ProcessUnchecked
		}
	}
}

// untilNextQuestion returns the time after which the run may be asked for what has happened at a time.
func (p *runProof) untilNextQuestion(at time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered != nil {
		return 0 // another question follows the one in progress
	}
	return p.answeredAt.Add(runInterval).Sub(at)
}

// acceptingProcess returns what connections to a target show of its process after a time. If no new one
// is answered, one that is still open shows that the process runs: all of an ended one are closed by then.
func (r *Relay) acceptingProcess(ctx context.Context, t *Target, after time.Time) handoff.Process {
	for range reachTries {
		within, cancel := context.WithTimeout(ctx, reachTimeout)
		err := r.pool.ConfirmPresence(within, t.Address)
		cancel()
		switch {
		case err == nil:
			return handoff.ProcessRuns
		case errors.Is(err, syscall.ECONNREFUSED):
			return handoff.ProcessEnded
		}
	}
	if r.pool.HasOpenSince(t.Address, after) {
		return handoff.ProcessRuns
	}
	return handoff.ProcessUnknown
}
