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
)

// LimitStatement tells what one answer of a target says of its limit. It may be made again:
// the ages are those at the time of sending.
type LimitStatement struct {
	Target api.TargetID `cbor:"1,keyasint"`
	// Born is the start of the target's run, Unix milliseconds.
	Born    int64 `cbor:"2,keyasint,omitempty"`
	Limited bool  `cbor:"3,keyasint,omitempty"`
	// Rate is the limit in requests a second.
	Rate float64 `cbor:"4,keyasint,omitempty"`
	// SentAge and HeardAge are how long ago the request was sent and its answer heard.
	SentAge  time.Duration `cbor:"5,keyasint,omitempty"`
	HeardAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// TargetLimit is what is known of the limit of one target. Sent and Heard are replicated
// times in milliseconds.
type TargetLimit struct {
	Target  api.TargetID `cbor:"1,keyasint"`
	Born    int64        `cbor:"2,keyasint,omitempty"`
	Limited bool         `cbor:"3,keyasint,omitempty"`
	Rate    float64      `cbor:"4,keyasint,omitempty"`
	Sent    int64        `cbor:"5,keyasint"`
	Heard   int64        `cbor:"6,keyasint"`
}

// TargetLimits are the limits that targets name, by target. A list with a lower Index than
// one seen before is out of date.
type TargetLimits struct {
	// Index is the log index of the last change, zero before the first.
	Index uint64 `cbor:"1,keyasint,omitempty"`
	// Now is the replicated time of the list in milliseconds.
	Now  int64         `cbor:"2,keyasint,omitempty"`
	List []TargetLimit `cbor:"3,keyasint,omitempty"`
}

// Statement gives what is known of a target's limit as a statement by the clock of an
// instance that gets the list at a time.
func (l TargetLimits) Statement(t TargetLimit, received time.Time) targetlimit.Statement {
	ago := func(at int64) time.Time { return received.Add(-time.Duration(l.Now-at) * time.Millisecond) }
	return targetlimit.Statement{Limited: t.Limited, Rate: t.Rate, Sent: ago(t.Sent), Heard: ago(t.Heard)}
}

func (t TargetLimit) belief() targetlimit.Belief {
	return targetlimit.Belief{Statement: targetlimit.Statement{
		Limited: t.Limited, Rate: t.Rate, Sent: time.UnixMilli(t.Sent), Heard: time.UnixMilli(t.Heard),
	}}
}

// at gives the statement at a replicated time.
func (l *LimitStatement) at(now int64) targetlimit.Statement {
	return targetlimit.Statement{
		Limited: l.Limited, Rate: l.Rate,
		Sent: time.UnixMilli(now).Add(-l.SentAge), Heard: time.UnixMilli(now).Add(-l.HeardAge),
	}
}

func (l *LimitStatement) valid() bool {
	return l.Target != "" && len(l.Target) <= maxTargetName && l.Rate >= 0 && l.HeardAge >= 0 && l.SentAge >= l.HeardAge
}

// maxTargetName bounds the name of a target, in bytes.
const maxTargetName = 128

// limit carries out a statement.
func (s *State) limit(index uint64, l LimitStatement) Result {
	if !l.valid() {
		return Result{Reason: api.ReasonBadRequest, Message: "the statement names no target, or no limit"}
	}
	s.expireLimits()
	next, changes := s.hearLimit(s.now, &l)
	if !changes {
		return Result{Limit: s.known(l.Target)}
	}
	if _, known := s.targetLimits[l.Target]; !known && len(s.targetLimits) >= maxTargetLimits {
		return Result{Reason: api.ReasonQueueFull, Message: "too many targets name limits"}
	}
	s.targetLimits[l.Target] = next
	s.limitsAt = index
	return Result{Limit: &next}
}

// known gives what is known of a target's limit, nil for nothing.
func (s *State) known(t api.TargetID) *TargetLimit {
	if limit, ok := s.targetLimits[t]; ok {
		return &limit
	}
	return nil
}

// hearLimit gives what is known of a target's limit after a statement at a replicated time,
// and whether entries have to be told.
func (s *State) hearLimit(now int64, l *LimitStatement) (TargetLimit, bool) {
	known, found := s.targetLimits[l.Target]
	if found && known.Born > l.Born {
		return known, false
	}
	if !found || known.Born < l.Born {
		known = TargetLimit{Target: l.Target, Born: l.Born}
		found = false
	}
	before := known.belief()
	after := before.Hear(l.at(now))
	if found && after.Same(before) && after.Heard.Sub(before.Heard) < limitFresh {
		return known, false
	}
	if !found && !after.Limited {
		return known, false // nobody takes the target for limited
	}
	known.Limited, known.Rate = after.Limited, after.Rate
	known.Sent, known.Heard = after.Sent.UnixMilli(), after.Heard.UnixMilli()
	return known, true
}

// LimitChanges tells whether a statement at a replicated time would change anything, and what
// is known if it would not.
func (s *State) LimitChanges(now int64, l LimitStatement) (Result, bool) {
	if _, changes := s.hearLimit(now, &l); changes {
		return Result{}, true
	}
	return Result{Limit: s.known(l.Target)}, false
}

// expireLimits forgets what nobody has stated for long. Entries keep what they have heard.
func (s *State) expireLimits() {
	for id, t := range s.targetLimits {
		if s.now-t.Heard > limitKept.Milliseconds() {
			delete(s.targetLimits, id)
		}
	}
}

// LimitsAt is TargetLimits().Index.
func (s *State) LimitsAt() uint64 { return s.limitsAt }

// TargetLimits gives the limits that targets name.
func (s *State) TargetLimits() TargetLimits {
	out := TargetLimits{Index: s.limitsAt, Now: s.now, List: make([]TargetLimit, 0, len(s.targetLimits))}
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
