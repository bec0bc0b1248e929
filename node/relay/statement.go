package relay

import "errors"

// reportStatements reports to the observer what a target's response states about the target.
func (r *Relay) reportStatements(req *Request, t *Target, reply Reply) {
	if err := errors.Join(reply.LimitErr, reply.BackoffErr, reply.LeavingErr); err == nil {
		t.unreadable.Store(false)
	} else if t.unreadable.CompareAndSwap(false, true) {
		r.obs.StatementUnreadable(req, t, err)
	}
	if reply.Backoff > 0 {
		r.obs.BackoffAsked(req, t, reply.Backoff)
	}
	if reply.Leaving {
		r.obs.LeavingStated(req, t)
	}
}
