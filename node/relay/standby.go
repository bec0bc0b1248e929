package relay

import (
	"math/rand/v2"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/routeconf"
)

// longStream is from how many tokens on a stream's memory may be copied to a second
// engine as it grows. A shorter one is over before its engine's notice runs out.
const longStream = 100

func (s *streamRun) engine() *routeconf.Engine { return s.relay.engine(s.req.Service) }

// canMove tells whether the stream's engines copy runs on demand.
func (s *streamRun) canMove() bool {
	e := s.engine()
	return e != nil && e.Moves
}

// standbyFor chooses the engine that gets a copy of the run's memory, nil for none.
func (s *streamRun) standbyFor(t *Target) *Target {
	e := s.engine()
	if e == nil || !e.Backups || s.req.Ask.MaxTokens < longStream {
		return nil
	}
	list := s.relay.targets.Of(s.req.Service)
	candidates := s.relay.copyCandidates(s.req, list, []*Target{t}, time.Now())
	fill := handoff.StandbyFill(e.Moves, placement.MemoryUse(candidates))
	if fill == 0 {
		return nil
	}
	choice := placement.Pick(candidates, placement.Need{Zone: t.Zone, Tokens: s.tokens(), Fill: fill}, rand.Float64)
	if choice < 0 {
		return nil
	}
	return list[choice]
}
