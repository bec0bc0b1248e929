// Package targetlimit tracks the limits that targets state: how many requests per second a
// target takes from all instances together. It does no I/O and holds no global state.
package targetlimit

import "time"

// Limit is the limit that a target states. The zero value is no limit.
type Limit struct {
	// Limited is set if the target states a limit.
	Limited bool
	// Rate is the limit in requests per second.
	Rate float64
}

// Stricter reports whether the limit allows less than another.
func (l Limit) Stricter(than Limit) bool {
	return l.Limited && (!than.Limited || l.Rate < than.Rate)
}

// Statement is what one answer of a target says about its limit. The target made it after the
// request was sent and before the header of the answer arrived.
type Statement struct {
	Limit
	// Sent is when the request was sent, and Received when the header of its answer arrived,
	// both by the clock of the instance that sent the request.
	Sent, Received time.Time
	// Seen is the index of the latest limit record of the control group that the instance
	// had received when it sent the request.
	Seen uint64
}

// Known is the limit that the control group has recorded for a target. Index increases with each
// change.
type Known struct {
	Limit
	Index uint64
}

// View is what one instance knows about a target's limit. The zero value is no limit.
type View struct {
	// Current is the statement whose limit the instance applies.
	Current Statement
	// Group is the latest limit received from the control group, and GroupAt when the instance
	// last received it.
	Group   Known
	GroupAt time.Time
}

// ApplyStatement returns the view after a statement of the target. Answers on different
// connections may arrive out of order: of two statements that may have been made in either order,
// the stricter one counts.
func (v View) ApplyStatement(s Statement) View {
	b := v.Current
	switch {
	case s.Received.Before(b.Sent):
	case s.Sent.After(b.Received), s.Stricter(b.Limit):
		v.Current = s
	case s.Limit == b.Limit && s.Sent.After(b.Sent):
		v.Current = s
	}
	return v
}

// ApplyGroup returns the view after k was received from the control group. An instance that applies
// the group's previous limit adopts the new one. An instance that has received a different limit
// from the target itself adopts the group's new limit only if that is stricter.
func (v View) ApplyGroup(k Known, now time.Time) View {
	if k.Index < v.Group.Index {
		return v // from a group member that lags behind
	}
	changed := k.Index > v.Group.Index
	if changed && (v.Group.Limit == v.Current.Limit || k.Stricter(v.Current.Limit)) {
		v.Current = Statement{Limit: k.Limit, Sent: now, Received: now, Seen: k.Index}
	}
	v.Group, v.GroupAt = k, now
	return v
}

// ReportDue reports whether the instance must report the limit that it applies to the control
// group: either the group has recorded another one, or the instance applies a limit and received
// the group's record longer than every ago.
func (v View) ReportDue(now time.Time, every time.Duration) bool {
	return v.Current.Limit != v.Group.Limit || v.Current.Limited && now.Sub(v.GroupAt) > every
}

// Accepts reports whether the group, which has recorded k, adopts the limit of a statement. seen is
// the statement's Seen. A less strict limit is adopted only if the instance knew k when it sent the
// request; otherwise the answer may have been delayed and be older than k.
func (k Known) Accepts(l Limit, seen uint64) bool {
	return l != k.Limit && (l.Stricter(k.Limit) || seen >= k.Index)
}
