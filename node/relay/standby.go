package relay

import (
	"math/rand/v2"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/routeconf"
)

// minStandbyTokens is the maximum output length, in tokens, from which on a stream's KV cache
// is copied to a standby as it grows. A shorter stream ends before its engine's drain notice
// does.
const minStandbyTokens = 100

func (s *streamRun) engine() *routeconf.Engine { return s.relay.engine(s.req.Service) }

// canMove reports whether the stream's engines copy runs on demand.
func (s *streamRun) canMove() bool {
	e := s.engine()
	return e != nil && e.Moves
}

// standbyFor selects the engine that receives a copy of the run's KV cache, nil if there is
// none.
func (s *streamRun) standbyFor(t *Target) *Target {
	e := s.engine()
	if e == nil || !e.Backups || s.req.Ask.MaxTokens < minStandbyTokens {
		return nil
	}
	now := time.Now()
	return choose(s.relay.targets.Of(s.req.Service), false, func(part []*Target) int {
		candidates := s.relay.copyCandidates(s.req, t, part, []*Target{t}, now)
		fill := handoff.StandbyFill(e.Moves, placement.MemoryUse(candidates))
		if fill == 0 {
			return -1
		}
		return placement.Pick(candidates, placement.Need{Zone: t.Zone, Tokens: s.tokens(), Fill: fill}, rand.Float64)
	})
}

// standbyCopy returns the standby copy of a leg's run.
func (s *streamRun) standbyCopy(l *leg) Copy {
	return Copy{Address: l.standby.Address, ID: string(s.req.Ask.Request)}
}

// standbyDirective returns the directive for a request that continues a leg from its standby copy.
func (s *streamRun) standbyDirective(l *leg) Directive {
	return s.resumeDirective(s.standbyCopy(l))
}
