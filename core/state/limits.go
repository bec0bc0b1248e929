package state

import (
	"slices"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/targetlimit"
)

const (
	// maxTargetLimits bounds the targets whose limits are remembered.
	maxTargetLimits = 8192
	// limitKept is for how long a limit is remembered that nobody states again.
	limitKept = time.Minute
	// LimitStatedEvery is after how long an entry that goes on hearing the same states it
	// again.
	LimitStatedEvery = limitKept / 3
	// limitFresh is for how long after a statement the same one changes nothing.
	limitFresh = LimitStatedEvery / 2
	// maxTargetName bounds the name of a target, in bytes.
	maxTargetName = 128
)

// LimitStatement tells what one answer of a target says of its limit. It may be made again.
type LimitStatement struct {
	Target api.TargetID `cbor:"1,keyasint"`
	// Born is the start of the target's run, Unix milliseconds.
	Born    int64 `cbor:"2,keyasint,omitempty"`
	Limited bool  `cbor:"3,keyasint,omitempty"`
	// Rate is the limit in requests a second.
	Rate float64 `cbor:"4,keyasint,omitempty"`
	// Seen is the Index of the target's limit that the sender of the request knew then.
	Seen uint64 `cbor:"5,keyasint,omitempty"`
}

// TargetLimit is what is known of the limit of one target.
type TargetLimit struct {
	Target  api.TargetID `cbor:"1,keyasint"`
	Born    int64        `cbor:"2,keyasint,omitempty"`
	Limited bool         `cbor:"3,keyasint,omitempty"`
	Rate    float64      `cbor:"4,keyasint,omitempty"`
	// Index is the log index of the last change.
	Index uint64 `cbor:"5,keyasint"`
	// Stated is when it was last stated, replicated milliseconds.
	Stated int64 `cbor:"6,keyasint"`
}

// TargetLimits are the limits that targets name, by target.
type TargetLimits struct {
	// Index is the log index of the last change, zero before the first.
	Index uint64        `cbor:"1,keyasint,omitempty"`
	List  []TargetLimit `cbor:"2,keyasint,omitempty"`
}

// Known gives the limit as entries are told of it.
func (t TargetLimit) Known() targetlimit.Known {
	return targetlimit.Known{Limit: targetlimit.Limit{Limited: t.Limited, Rate: t.Rate}, Index: t.Index}
}

func (l *LimitStatement) limit() targetlimit.Limit {
	return targetlimit.Limit{Limited: l.Limited, Rate: l.Rate}
}

func (l *LimitStatement) valid() bool {
	return l.Target != "" && len(l.Target) <= maxTargetName && l.Rate >= 0 && (l.Limited || l.Rate == 0)
}

// limit carries out a statement.
func (s *State) limit(index uint64, l LimitStatement) Result {
	if !l.valid() {
		return Result{Reason: api.ReasonBadRequest, Message: "the statement names no target, or no limit"}
	}
	s.expireLimits()
	known, found := s.targetLimits[l.Target]
	switch {
	case s.limitIsNews(l):
		if !found && len(s.targetLimits) >= maxTargetLimits {
			return Result{Reason: api.ReasonQueueFull, Message: "too many targets name limits"}
		}
		known = TargetLimit{Target: l.Target, Born: l.Born, Limited: l.Limited, Rate: l.Rate, Index: index, Stated: s.now}
		s.limitsAt = index
	case s.limitIsStale(s.now, l):
		known.Stated = s.now
	default:
		return Result{Limit: s.knownLimit(l)}
	}
	s.targetLimits[l.Target] = known
	return Result{Limit: &known}
}

// limitIsNews tells whether entries have to be told of a statement.
func (s *State) limitIsNews(l LimitStatement) bool {
	known, found := s.targetLimits[l.Target]
	switch {
	case !found || known.Born < l.Born:
		return l.Limited
	case known.Born > l.Born:
		return false
	}
	return known.Known().Accepts(l.limit(), l.Seen)
}

// limitIsStale tells whether a statement repeats what was stated long ago.
func (s *State) limitIsStale(now int64, l LimitStatement) bool {
	known, found := s.targetLimits[l.Target]
	return found && known.Born == l.Born && known.Known().Limit == l.limit() && now-known.Stated >= limitFresh.Milliseconds()
}

// LimitChanges tells whether a statement at a replicated time would change anything, and what
// is known if it would not.
func (s *State) LimitChanges(now int64, l LimitStatement) (Result, bool) {
	if s.limitIsNews(l) || s.limitIsStale(now, l) {
		return Result{}, true
	}
	return Result{Limit: s.knownLimit(l)}, false
}

// knownLimit gives what is known of the limit of a target's run; where that is nothing, as of
// the last change of any limit.
func (s *State) knownLimit(l LimitStatement) *TargetLimit {
	known, found := s.targetLimits[l.Target]
	if !found || known.Born != l.Born {
		known = TargetLimit{Target: l.Target, Born: l.Born, Index: s.limitsAt}
	}
	return &known
}

// expireLimits forgets what nobody has stated for long. Entries keep what they have heard.
func (s *State) expireLimits() {
	for id, t := range s.targetLimits {
		if s.now-t.Stated > limitKept.Milliseconds() {
			delete(s.targetLimits, id)
		}
	}
}

// LimitsAt is TargetLimits().Index.
func (s *State) LimitsAt() uint64 { return s.limitsAt }

// TargetLimits gives the limits that targets name.
func (s *State) TargetLimits() TargetLimits {
	out := TargetLimits{Index: s.limitsAt, List: make([]TargetLimit, 0, len(s.targetLimits))}
	for _, t := range s.targetLimits {
		out.List = append(out.List, t)
	}
	slices.SortFunc(out.List, func(a, b TargetLimit) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return out
}

// restoreLimits takes the limits of a snapshot.
func (s *State) restoreLimits(l TargetLimits) {
	s.limitsAt = l.Index
	for _, t := range l.List {
		s.targetLimits[t.Target] = t
	}
}
