package relay

import (
	"errors"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/state"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/core/targetstate"
)

// sendStart holds when something was sent, and the log index of the target's limit that this
// entry process knew at that time.
type sendStart struct {
	at   time.Time
	seen uint64
	// call is set if a call of Engines was sent, not a caller's request.
	call bool
}

func (t *Target) newSendStart(call bool) sendStart {
	return sendStart{at: time.Now(), seen: t.view().Group.Index, call: call}
}

// applyStatements updates the target's status by what its response states of the target, and
// reports the changes. A statement that cannot be parsed changes nothing.
func (r *Relay) applyStatements(req *Request, t *Target, reply Reply, start sendStart) {
	r.reportUnreadable(req, t, reply)
	if reply.WrongTarget {
		return // the response is from another target at this address
	}
	now := time.Now()
	st := targetstate.Statement{Backoff: reply.Backoff, Leaving: reply.Leaving, Limit: limitStatement(reply, start, now)}
	before, after := t.update(func(s targetstate.Status) targetstate.Status { return s.Apply(st, now, rand.Float64()) })
	r.reportBackoff(req, t, reply, before, after)
	for next := t.successor.Load(); next != nil; next = next.successor.Load() {
		b, a := next.inherit(&after, now)
		r.reportBackoff(req, next, reply, b, a)
	}
	if !before.IsDraining() && after.IsDraining() {
		r.obs.LeavingStated(req, t)
	}
	changed := before.Limit.Current.Limit != after.Limit.Current.Limit
	if changed {
		r.obs.LimitChanged(req, t, before.Limit.Current, after.Limit.Current)
	}
	if st.Limit != nil && (changed || after.Limit.ReportDue(now, state.LimitRestateInterval)) {
		r.limitReports.state(t)
	}
}

// reportBackoff reports to the observer that a response has changed the end of the target's
// backoff.
func (r *Relay) reportBackoff(req *Request, t *Target, reply Reply, before, after targetstate.Status) {
	if before.BackoffUntil != after.BackoffUntil {
		r.obs.BackoffAsked(req, t, reply.Backoff, before.BackoffUntil, after.BackoffUntil)
	}
}

// limitStatement returns what a response states of the rate limit, nil if that is unknown. A
// response which states that the request was not run may come from an intermediary in front of
// the target, and the response to a call need not state what responses to requests do: either may
// set a limit but not remove one.
func limitStatement(reply Reply, start sendStart, now time.Time) *targetlimit.Statement {
	if reply.LimitErr != nil || !reply.Limited && (reply.NotRun || start.call) {
		return nil
	}
	return &targetlimit.Statement{
		Limit: targetlimit.Limit{Limited: reply.Limited, Rate: reply.Limit}, Sent: start.at, Received: now, Seen: start.seen,
	}
}

// reportUnreadable reports to the observer that a response contains statements that cannot be
// parsed, once until a response without them arrives.
func (r *Relay) reportUnreadable(req *Request, t *Target, reply Reply) {
	if err := errors.Join(reply.LimitErr, reply.BackoffErr, reply.LeavingErr); err == nil {
		t.unreadable.Store(false)
	} else if t.unreadable.CompareAndSwap(false, true) {
		r.obs.StatementUnreadable(req, t, err)
	}
}
