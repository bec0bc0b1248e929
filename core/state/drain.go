package state

import (
	"sort"

	"almondseam.dev/core/api"
)

// maxDrains bounds the targets being drained at one time.
const maxDrains = 10_000

// Drain asks that a target get no new work. With an Incarnation the drain ends
// when the target comes back; with 0 it lasts until it is undone.
type Drain struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint,omitempty"`
	Undo        bool            `cbor:"3,keyasint,omitempty"`
	Author      string          `cbor:"4,keyasint,omitempty"`
}

func (s *State) drain(index uint64, d Drain) Result {
	if d.Target == "" {
		return Result{Reason: api.ReasonBadRequest, Message: "target is empty"}
	}
	s.drained = index
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

// Drained is the log index of the last change to Drains, or a later one.
func (s *State) Drained() uint64 { return s.drained }

// Drains gives the targets being drained, by ID.
func (s *State) Drains() []Drain {
	out := make([]Drain, 0, len(s.drains))
	for _, d := range s.drains {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}
