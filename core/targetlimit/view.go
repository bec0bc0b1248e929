// Package targetlimit keeps what is known of the limits that targets name: how many
// requests a second a target takes from all instances together. It is pure.
package targetlimit

import "time"

// Limit is what a target takes. The zero value is no limit.
type Limit struct {
	// Limited is set when the target names a limit.
	Limited bool
	// Rate is the limit in requests a second.
	Rate float64
}

// Stricter tells whether the limit allows less than another.
func (l Limit) Stricter(than Limit) bool {
	return l.Limited && (!than.Limited || l.Rate < than.Rate)
}

// Statement is what one answer of a target says of its limit. The target made it after the
// request was sent and before the answer's head arrived.
type Statement struct {
	Limit
	// Sent is when the request was sent, Received when its answer's head arrived, by the clock of
	// the instance that sent it.
	Sent, Received time.Time
	// Seen is the index of what the instance knew of the group when it sent the request.
	Seen uint64
}

// Known is what the control group goes by. Index rises with each change.
type Known struct {
	Limit
	Index uint64
}

// View is what one instance knows of a target's limit. The zero value is no limit.
type View struct {
	// Current is what the instance goes by.
	Current Statement
	// Group is what the control group goes by, as far as the instance knows since GroupAt.
	Group   Known
	GroupAt time.Time
}

// ApplyStatement gives the view after an answer of the target. Answers on different connections
// overtake each other: of two that may have been made in either order, the one that asks for
// less counts.
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

// ApplyGroup gives the view after the group has told what it goes by. An instance whose belief the
// group held follows it; one that has heard something else of the target itself only where
// the group asks for less.
func (v View) ApplyGroup(k Known, now time.Time) View {
	if k.Index < v.Group.Index {
		return v // from a member that lags
	}
	news := k.Index > v.Group.Index
	if news && (v.Group.Limit == v.Current.Limit || k.Stricter(v.Current.Limit)) {
		v.Current = Statement{Limit: k.Limit, Sent: now, Received: now, Seen: k.Index}
	}
	v.Group, v.GroupAt = k, now
	return v
}

// ReportDue tells whether the group is to be told of the belief: it goes by something else, or
// has not been told for a while of a limit that the target goes on naming.
func (v View) ReportDue(now time.Time, every time.Duration) bool {
	return v.Current.Limit != v.Group.Limit || v.Current.Limited && now.Sub(v.GroupAt) > every
}

// Accepts tells whether the group, which goes by k, takes a statement. One that asks for more
// counts only if its request was sent by an instance that knew k: an answer that was held up
// on its way may be older.
func (k Known) Accepts(l Limit, seen uint64) bool {
	return l != k.Limit && (l.Stricter(k.Limit) || seen >= k.Index)
}
