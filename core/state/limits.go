package state

import (
	"slices"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/targetlimit"
)

const (
	// maxTargetLimits bounds the number of targets whose limits are kept.
	maxTargetLimits = 8192
	// limitTTL is how long a limit is kept after it was last stated.
	limitTTL = time.Minute
	// LimitRestateInterval is the interval at which an entry instance states an unchanged limit
	// again while the target keeps naming it.
	LimitRestateInterval = limitTTL / 3
	// limitRefreshAfter is the time since the last statement from which an equal one extends
	// the limit's TTL; before that it has no effect and need not enter the log.
	limitRefreshAfter = LimitRestateInterval / 2
	// maxTargetName is the maximum length of a target ID in bytes.
	maxTargetName = 128
)

// LimitStatement reports the limit, or its absence, that a target stated in an answer. It may
// be proposed more than once.
type LimitStatement struct {
	Target api.TargetID `cbor:"1,keyasint"`
	// Born is the start time of the target's process in Unix milliseconds.
	Born    int64 `cbor:"2,keyasint,omitempty"`
	Limited bool  `cbor:"3,keyasint,omitempty"`
	// Rate is the limit in requests a second.
	Rate float64 `cbor:"4,keyasint,omitempty"`
	// Seen is the Index of the TargetLimit that the entry instance knew when it sent the
	// request that was answered.
	Seen uint64 `cbor:"5,keyasint,omitempty"`
}

// TargetLimit is the replicated limit of one target.
type TargetLimit struct {
	Target  api.TargetID `cbor:"1,keyasint"`
	Born    int64        `cbor:"2,keyasint,omitempty"`
	Limited bool         `cbor:"3,keyasint,omitempty"`
	Rate    float64      `cbor:"4,keyasint,omitempty"`
	// Index is the log index of the last change.
	Index uint64 `cbor:"5,keyasint"`
	// Stated is the replicated time in milliseconds of the last statement that changed or
	// refreshed the limit.
	Stated int64 `cbor:"6,keyasint"`
}

// TargetLimits is the list of the limits kept, sorted by target.
type TargetLimits struct {
	// Index is the log index of the last change, zero before the first.
	Index uint64        `cbor:"1,keyasint,omitempty"`
	List  []TargetLimit `cbor:"2,keyasint,omitempty"`
}

// Known returns the limit in the form that entry instances use.
func (t TargetLimit) Known() targetlimit.Known {
	return targetlimit.Known{Limit: targetlimit.Limit{Limited: t.Limited, Rate: t.Rate}, Index: t.Index}
}

func (l *LimitStatement) limit() targetlimit.Limit {
	return targetlimit.Limit{Limited: l.Limited, Rate: l.Rate}
}

func (l *LimitStatement) valid() bool {
	return l.Target != "" && len(l.Target) <= maxTargetName && l.Rate >= 0 && (l.Limited || l.Rate == 0)
}

// limit applies a statement.
func (s *State) limit(index uint64, l LimitStatement) Result {
	if !l.valid() {
		return Result{Reason: api.ReasonBadRequest, Message: "the statement names no target, or no limit"}
	}
	s.expireLimits()
	known, found := s.targetLimits[l.Target]
	switch {
	case s.changesLimit(l):
		if !found && len(s.targetLimits) >= maxTargetLimits {
			return Result{Reason: api.ReasonQueueFull, Message: "too many targets name limits"}
		}
		known = TargetLimit{Target: l.Target, Born: l.Born, Limited: l.Limited, Rate: l.Rate, Index: index, Stated: s.now}
		s.limitsIndex = index
	case s.refreshesLimit(s.now, l):
		known.Stated = s.now
	default:
		return Result{Limit: s.knownLimit(l)}
	}
	s.targetLimits[l.Target] = known
	return Result{Limit: &known}
}

// changesLimit reports whether a statement changes the target's limit, so that entry
// instances have to be notified.
func (s *State) changesLimit(l LimitStatement) bool {
	known, found := s.targetLimits[l.Target]
	switch {
	case !found || known.Born < l.Born:
		return l.Limited
	case known.Born > l.Born:
		return false
	}
	return known.Known().Accepts(l.limit(), l.Seen)
}

// refreshesLimit reports whether a statement repeats a limit that was last stated at least
// limitRefreshAfter ago.
func (s *State) refreshesLimit(now int64, l LimitStatement) bool {
	known, found := s.targetLimits[l.Target]
	return found && known.Born == l.Born && known.Known().Limit == l.limit() && now-known.Stated >= limitRefreshAfter.Milliseconds()
}

// LimitChanges reports whether a statement at a replicated time changes or refreshes the
// target's limit. If not, the statement need not be proposed, and the result holds the limit
// kept.
func (s *State) LimitChanges(now int64, l LimitStatement) (Result, bool) {
	if s.changesLimit(l) || s.refreshesLimit(now, l) {
		return Result{}, true
	}
	return Result{Limit: s.knownLimit(l)}, false
}

// knownLimit returns the limit kept for the target and the start time of l. If none is kept,
// it returns an absent limit with the log index of the last change to any limit.
func (s *State) knownLimit(l LimitStatement) *TargetLimit {
	known, found := s.targetLimits[l.Target]
	if !found || known.Born != l.Born {
		known = TargetLimit{Target: l.Target, Born: l.Born, Index: s.limitsIndex}
	}
	return &known
}

// expireLimits deletes the limits that were last stated more than limitTTL ago. Entry
// instances are not notified and keep the limit that they know.
func (s *State) expireLimits() {
	for id, t := range s.targetLimits {
		if s.now-t.Stated > limitTTL.Milliseconds() {
			delete(s.targetLimits, id)
		}
	}
}

// LimitsIndex returns TargetLimits().Index without building the list.
func (s *State) LimitsIndex() uint64 { return s.limitsIndex }

// TargetLimits returns the limits kept, sorted by target.
func (s *State) TargetLimits() TargetLimits {
	out := TargetLimits{Index: s.limitsIndex, List: make([]TargetLimit, 0, len(s.targetLimits))}
	for _, t := range s.targetLimits {
		out.List = append(out.List, t)
	}
	slices.SortFunc(out.List, func(a, b TargetLimit) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return out
}

// restoreLimits loads the limits of a snapshot.
func (s *State) restoreLimits(l TargetLimits) {
	s.limitsIndex = l.Index
	for _, t := range l.List {
		s.targetLimits[t.Target] = t
	}
}
