package relay

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/core/targetstate"
	"github.com/sourcegraph/conc"
)

// LimitStater reports the rate limits of targets to the control group. It is safe for
// concurrent use.
type LimitStater interface {
	// StateLimit reports a statement of a target and returns the limit that the control group
	// applies afterwards. It may be called again with the same statement. After an error it is
	// unknown whether the control group has received the statement.
	StateLimit(ctx context.Context, l state.LimitStatement) (state.TargetLimit, error)
}

const (
	// reportTimeout bounds one attempt to report a limit.
	reportTimeout = 400 * time.Millisecond
	// maxReportAttempts bounds the attempts of one report; a later response of the target
	// starts a new report.
	maxReportAttempts = 20
)

// LimitReports reports the rate limits of targets to the control group, so that entries which
// have not had a response from a target know its limit too. It is safe for concurrent use.
type LimitReports struct {
	to   LimitStater
	obs  Observer
	work conc.WaitGroup
}

// NewLimitReports returns a LimitReports that sends to the given control group. The observer is
// notified of reports that failed, and of limits that changed because of the control group's
// answer to a report.
func NewLimitReports(to LimitStater, obs Observer) *LimitReports {
	return &LimitReports{to: to, obs: obs}
}

// Wait blocks until all reports have been delivered or given up. No response of a target may be
// processed in the meantime.
func (l *LimitReports) Wait() { l.work.Wait() }

// state reports the limit that this entry applies to a target to the control group, in the
// background. It does nothing if a report for the target is already in progress.
func (l *LimitReports) state(t *Target) {
	if !t.reportingLimit.CompareAndSwap(false, true) {
		return
	}
	l.work.Go(func() {
		sent, ok := l.send(t)
		t.reportingLimit.Store(false)
		if ok && t.limit() != sent {
			l.state(t) // the limit changed during the last attempt
		}
	})
}

// send repeats the report until the control group has received it. Each attempt sends the limit
// that this entry applies at that time. It returns the limit that was sent, and false if all
// attempts failed.
func (l *LimitReports) send(t *Target) (sent targetlimit.Limit, ok bool) {
	var err error
	for range maxReportAttempts {
		b := t.view().Current
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		var known state.TargetLimit
		known, err = l.to.StateLimit(ctx, statement(t, b))
		cancel()
		if err == nil {
			l.handleGroupLimit(t, known)
			return b.Limit, true
		}
	}
	l.obs.LimitNotStated(t, err)
	return targetlimit.Limit{}, false
}

func (l *LimitReports) handleGroupLimit(t *Target, known state.TargetLimit) {
	if before, after := t.applyGroupLimit(known); before.Limit != after.Limit {
		l.obs.LimitChanged(nil, t, before, after)
	}
}

func statement(t *Target, b targetlimit.Statement) state.LimitStatement {
	return state.LimitStatement{Target: t.Target, Born: t.Born, Limited: b.Limited, Rate: b.Rate, Seen: b.Seen}
}

// view returns what this entry knows of the target's rate limit.
func (t *Target) view() targetlimit.View { return t.state().Limit }

// limit returns the rate limit that this entry applies to the target.
func (t *Target) limit() targetlimit.Limit { return t.view().Current.Limit }

// applyGroupLimit updates the status by the limit that the control group applies. It returns the
// limits that this entry applied before and applies after that.
func (t *Target) applyGroupLimit(known state.TargetLimit) (before, after targetlimit.Statement) {
	now := time.Now()
	b, a := t.update(func(s targetstate.Status) targetstate.Status { return s.ApplyGroupLimit(known.Known(), now) })
	return b.Limit.Current, a.Limit.Current
}

// LimitChange is a change of the limit that this entry process applies to a target, caused by a
// list from the control group.
type LimitChange struct {
	Target        *Target
	Before, After targetlimit.Statement
}

// ApplyLimits applies the control group's list of the rate limits that targets have announced to
// any entry process. It returns the resulting changes.
func (t *Targets) ApplyLimits(list state.TargetLimits) []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Index < t.limitsIndex {
		return nil // the list is from a lagging control member
	}
	t.limitsIndex, t.limits = list.Index, make(map[api.TargetID]state.TargetLimit, len(list.List))
	var out []LimitChange
	for _, l := range list.List {
		t.limits[l.Target] = l
		target := t.byID[l.Target]
		if target == nil || target.Born != l.Born {
			continue
		}
		if before, after := target.applyGroupLimit(l); before.Limit != after.Limit {
			out = append(out, LimitChange{Target: target, Before: before, After: after})
		}
	}
	return out
}

// applyListedLimit applies the limit in the control group's latest list to a target that was
// announced after the list arrived. The caller holds t.mu.
func (t *Targets) applyListedLimit(target *Target) {
	if l, ok := t.limits[target.Target]; ok && l.Born == target.Born {
		target.applyGroupLimit(l)
	}
}
