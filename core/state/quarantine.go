package state

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
)

// maxServed is the maximum number of requests in a report of runs that ended well.
const maxServed = 256

// quarantine applies a command about requests that crash targets.
func (s *State) quarantine(index uint64, c quarantine.Command) Result {
	if c.Crash != nil && (c.Crash.Target == "" || len(c.Crash.Target) > maxTargetName || len(c.Crash.Lost) > quarantine.MaxLost || len(c.Crash.Parts) > quarantine.MaxParts) || len(c.Served) > maxServed {
		return Result{Reason: api.ReasonBadRequest, Message: "the report names no target, or too much"}
	}
	s.quarantines.Apply(index, s.now, c)
	return Result{}
}

// ChangesQuarantine reports whether a command about requests that crash targets may have an
// effect. If not, it need not be proposed.
func (s *State) ChangesQuarantine(c quarantine.Command) bool {
	if c.Crash != nil {
		return true
	}
	if c.Lift != nil && s.quarantines.Knows(*c.Lift) {
		return true
	}
	for _, f := range c.Served {
		if s.quarantines.Knows(f) {
			return true
		}
	}
	return false
}

// QuarantineIndex returns Quarantine().Index without building the list.
func (s *State) QuarantineIndex() uint64 { return s.quarantines.Index() }

// Quarantine returns the requests that are refused because they crash targets, and those that may
// soon be.
func (s *State) Quarantine() quarantine.List {
	list := s.quarantines.List()
	list.Now = s.now
	return list
}
