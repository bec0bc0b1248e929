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
	// stateWithin bounds one try to tell the group.
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

// state tells the group what this entry goes by for a target, in the background.
func (l *LimitReports) state(t *Target) {
	if !t.stating.CompareAndSwap(false, true) {
		return
	}
	l.work.Go(func() {
		told, ok := l.tell(t)
		t.stating.Store(false)
		if ok && t.limit() != told {
			l.state(t) // heard while the last try was under way
		}
	})
}

// tell tries until the group has heard what this entry goes by then, and gives that; false if
// it is given up.
func (l *LimitReports) tell(t *Target) (told targetlimit.Limit, ok bool) {
	var err error
	for range stateTries {
		b := t.view().Current
		ctx, cancel := context.WithTimeout(context.Background(), stateWithin)
		var known state.TargetLimit
		known, err = l.to.StateLimit(ctx, statement(t, b))
		cancel()
		if err == nil {
			l.followGroup(t, known)
			return b.Limit, true
		}
	}
	l.obs.LimitNotStated(t, err)
	return targetlimit.Limit{}, false
}

func (l *LimitReports) followGroup(t *Target, known state.TargetLimit) {
	if before, after := t.told(known); before.Limit != after.Limit {
		l.obs.LimitChanged(nil, t, before, after)
	}
}

func statement(t *Target, b targetlimit.Statement) state.LimitStatement {
	return state.LimitStatement{Target: t.Target, Born: t.Born, Limited: b.Limited, Rate: b.Rate, Seen: b.Seen}
}

// view is what this entry knows of the target's limit.
func (t *Target) view() targetlimit.View {
	if v := t.limited.Load(); v != nil {
		return *v
	}
	return targetlimit.View{}
}

// limit is what this entry goes by.
func (t *Target) limit() targetlimit.Limit { return t.view().Current.Limit }

// learn changes the view. It gives what this entry went by before, and goes by now.
func (t *Target) learn(change func(targetlimit.View) targetlimit.View) (before, after targetlimit.Statement) {
	for {
		held := t.limited.Load()
		view := targetlimit.View{}
		if held != nil {
			view = *held
		}
		next := change(view)
		if !t.limited.CompareAndSwap(held, &next) {
			continue
		}
		before, after = view.Current, next.Current
		if before.Stricter(after.Limit) {
			t.heldBackTill.Store(0) // what the group refused was by the stricter limit
		}
		return before, after
	}
}

// heard takes an answer of the target.
func (t *Target) heard(s targetlimit.Statement) (before, after targetlimit.Statement) {
	return t.learn(func(v targetlimit.View) targetlimit.View { return v.ApplyStatement(s) })
}

// told takes what the group goes by.
func (t *Target) told(known state.TargetLimit) (before, after targetlimit.Statement) {
	now := time.Now()
	return t.learn(func(v targetlimit.View) targetlimit.View { return v.ApplyGroup(known.Known(), now) })
}

// learnLimit takes what a target's answer says of its limit. An answer that can't be read
// leaves the limit as it is, and one that states that the request was not run may come from
// something before the target: it may name a limit, but not end one.
func (r *Relay) learnLimit(req *Request, t *Target, reply Reply, began sendBegan) {
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
	before, after := t.heard(targetlimit.Statement{
		Limit: targetlimit.Limit{Limited: reply.Limited, Rate: reply.Limit}, Sent: began.at, Received: now, Seen: began.seen,
	})
	changed := before.Limit != after.Limit
	if changed {
		r.obs.LimitChanged(req, t, before, after)
	}
	if changed || t.view().ReportDue(now, state.LimitStatedEvery) {
		r.limitReports.state(t)
	}
}

// sendBegan is when a request was sent, and what was known of the group then: the index of its
// target's limit.
type sendBegan struct {
	at   time.Time
	seen uint64
}

func (t *Target) sendBegins() sendBegan { return sendBegan{at: time.Now(), seen: t.view().Group.Index} }

// LimitChange is a limit that the group's list has changed at this entry.
type LimitChange struct {
	Target        *Target
	Before, After targetlimit.Statement
}

// HearLimits takes the limits that targets have named to any entry. It gives the changes.
func (t *Targets) HearLimits(list state.TargetLimits) []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Index < t.limitsAt {
		return nil // of a member that lags
	}
	t.limitsAt, t.limits = list.Index, make(map[api.TargetID]state.TargetLimit, len(list.List))
	var out []LimitChange
	for _, l := range list.List {
		t.limits[l.Target] = l
		target := t.byID[l.Target]
		if target == nil || target.Born != l.Born {
			continue
		}
		if before, after := target.told(l); before.Limit != after.Limit {
			out = append(out, LimitChange{Target: target, Before: before, After: after})
		}
	}
	return out
}

// remember gives a target that is announced after its limit what the group said of it. The
// lock is held.
func (t *Targets) remember(target *Target) {
	if l, ok := t.limits[target.Target]; ok && l.Born == target.Born {
		target.told(l)
	}
}
