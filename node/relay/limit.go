package relay

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
	"almondseam.dev/core/targetlimit"
	"github.com/sourcegraph/conc"
)

// LimitStater tells the control group what targets say of their limits. It is safe for
// concurrent use.
type LimitStater interface {
	// StateLimit gives what the group goes by after the statement. It may be called again with
	// the same one. After an error the group may have heard it or not.
	StateLimit(ctx context.Context, l state.LimitStatement) (state.TargetLimit, error)
}

const (
	// stateWithin bounds one try to tell the group: its ages are those at the beginning.
	stateWithin = 400 * time.Millisecond
	// stateTries bounds the tries; the next answer of the target begins anew.
	stateTries = 20
)

// LimitReports tells the control group what targets say of their limits, so that entries know
// them that have no answer yet. It is safe for concurrent use.
type LimitReports struct {
	to   LimitStater
	obs  Observer
	work conc.WaitGroup
}

// NewLimitReports makes one; obs hears of statements that could not be made.
func NewLimitReports(to LimitStater, obs Observer) *LimitReports {
	return &LimitReports{to: to, obs: obs}
}

// Wait returns once all statements have been made or given up. Nothing is heard any more.
func (l *LimitReports) Wait() { l.work.Wait() }

// state tells the group what this entry takes for a target's limit, in the background.
func (l *LimitReports) state(t *Target) {
	if !t.stating.CompareAndSwap(false, true) {
		return
	}
	l.work.Go(func() {
		told, ok := l.tell(t)
		t.stating.Store(false)
		if ok && !t.limit().Same(told) {
			l.state(t) // heard while the last try was under way
		}
	})
}

// tell tries until the group has heard what this entry takes for the limit then, and gives
// that; false if it is given up.
func (l *LimitReports) tell(t *Target) (told targetlimit.Belief, ok bool) {
	var err error
	for range stateTries {
		b := t.limit()
		ctx, cancel := context.WithTimeout(context.Background(), stateWithin)
		var held state.TargetLimit
		held, err = l.to.StateLimit(ctx, statement(t, b, time.Now()))
		cancel()
		if err == nil {
			t.groupHolds(held.Limited, held.Rate)
			return b, true
		}
	}
	l.obs.LimitNotStated(t, err)
	return targetlimit.Belief{}, false
}

func statement(t *Target, b targetlimit.Belief, now time.Time) state.LimitStatement {
	return state.LimitStatement{
		Target: t.Target, Born: t.Born, Limited: b.Limited, Rate: b.Rate, SentAge: now.Sub(b.Sent), HeardAge: now.Sub(b.Heard),
	}
}

// limit is what this entry takes for the target's limit.
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
			if before.Limited && (!after.Limited || after.Rate > before.Rate) {
				t.heldBackTill.Store(0) // what the group refused was by the stricter limit
			}
			return before, after
		}
	}
}

// groupHolds notes what the group goes by.
func (t *Target) groupHolds(limited bool, rate float64) {
	t.held.Store(&targetlimit.Belief{Statement: targetlimit.Statement{Limited: limited, Rate: rate}})
	t.heldAt.Store(time.Now().UnixNano())
}

// stateDue tells whether the group goes by something else, as it could not tell which of two
// statements was made first, or may soon forget the limit that the target goes on naming.
func (t *Target) stateDue(now time.Time) bool {
	b, held := t.limit(), t.held.Load()
	if held == nil {
		return b.Limited
	}
	return !b.Same(*held) || b.Limited && now.UnixNano()-t.heldAt.Load() > state.LimitStatedEvery.Nanoseconds()
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
	now := time.Now()
	before, after := t.hear(targetlimit.Statement{Limited: reply.Limited, Rate: reply.Limit, Sent: sent, Heard: now})
	changed := !before.Same(after)
	if changed {
		r.obs.LimitChanged(req, t, before, after)
	}
	if changed || t.stateDue(now) {
		r.limitReports.state(t)
	}
}

// heardLimit is what the group said of the limit of one run of a target.
type heardLimit struct {
	born      int64
	statement targetlimit.Statement
}

// LimitChange is a belief that the group's list has changed.
type LimitChange struct {
	Target        *Target
	Before, After targetlimit.Belief
}

// HearLimits takes the limits that targets have named to any entry. It gives the beliefs that
// they change.
func (t *Targets) HearLimits(list state.TargetLimits) []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Index < t.limitsAt {
		return nil // of a member that lags
	}
	now := time.Now()
	t.limitsAt, t.limits = list.Index, make(map[api.TargetID]heardLimit, len(list.List))
	var out []LimitChange
	for _, l := range list.List {
		heard := heardLimit{born: l.Born, statement: list.Statement(l, now)}
		t.limits[l.Target] = heard
		target := t.byID[l.Target]
		if target == nil || target.Born != l.Born {
			continue
		}
		before, after := target.hear(heard.statement)
		target.groupHolds(l.Limited, l.Rate)
		if !before.Same(after) {
			out = append(out, LimitChange{Target: target, Before: before, After: after})
		}
	}
	return out
}

// remember gives a target that is announced after its limit what the group said of it. The
// lock is held.
func (t *Targets) remember(target *Target) {
	heard, ok := t.limits[target.Target]
	if ok && heard.born == target.Born {
		target.hear(heard.statement)
		target.groupHolds(heard.statement.Limited, heard.statement.Rate)
	}
}
