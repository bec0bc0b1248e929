package relay

import (
	"time"

	"almondseam.dev/core/targetlimit"
)

// limit is what this entry believes of the target's limit.
func (t *Target) limit() targetlimit.Belief {
	if b := t.limited.Load(); b != nil {
		return *b
	}
	return targetlimit.Belief{}
}

// hear takes a statement of the target. It gives the beliefs before and after it.
func (t *Target) hear(s targetlimit.Statement) (before, after targetlimit.Belief) {
	for {
		held := t.limited.Load()
		before = targetlimit.Belief{}
		if held != nil {
			before = *held
		}
		after = before.Hear(s)
		if t.limited.CompareAndSwap(held, &after) {
			return before, after
		}
	}
}

// learnLimit takes what a target's answer says of its limit. An answer that can't be read
// leaves the limit as it is, and one that states that the request was not run may come from
// something before the target: it may name a limit, but not end one.
func (r *Relay) learnLimit(req *Request, t *Target, reply Reply, sent time.Time) {
	if reply.LimitErr != nil {
		if t.limitUnreadable.CompareAndSwap(false, true) {
			r.obs.LimitUnreadable(req, t, reply.LimitErr)
		}
		return
	}
	t.limitUnreadable.Store(false)
	if reply.NotRun && !reply.Limited {
		return
	}
	before, after := t.hear(targetlimit.Statement{Limited: reply.Limited, Rate: reply.Limit, Sent: sent, Heard: time.Now()})
	if !before.Same(after) {
		r.obs.LimitChanged(req, t, before, after)
	}
}
