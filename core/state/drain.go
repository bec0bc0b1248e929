package state

import (
	"sort"

	"almondseam.dev/core/api"
)

// maxDrains bounds the number of targets that are being drained.
const maxDrains = 10_000

// Drain stops new work from being sent to a target. A drain with an Incarnation
// ends when the target comes back under another one; a drain with 0 lasts until
// a Drain with Undo is applied.
type Drain struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint,omitempty"`
	Undo        bool            `cbor:"3,keyasint,omitempty"`
	Author      string          `cbor:"4,keyasint,omitempty"`
}

// drain applies a Drain.
func (s *State) drain(index uint64, d Drain) Result {
	if d.Target == "" {
		return Result{Reason: api.ReasonBadRequest, Message: "target is empty"}
	}
	s.drainIndex = index
	if d.Undo {
		delete(s.drains, d.Target)
		return Result{}
	}
	if _, known := s.drains[d.Target]; !known && len(s.drains) >= maxDrains {
		return Result{Reason: api.ReasonQueueFull, Message: "too many targets are being drained"}
	}
	s.drains[d.Target] = d
	return Result{}
}

// DrainIndex returns the log index of the last change to Drains. After a restore it
// is the index of the snapshot, which may be higher.
func (s *State) DrainIndex() uint64 { return s.drainIndex }

// Drains returns the drains in force, sorted by target ID.
func (s *State) Drains() []Drain {
	out := make([]Drain, 0, len(s.drains))
	for _, d := range s.drains {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}
