package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
)

// TablePlacer is the Placer that uses core/routing.
type TablePlacer struct {
	*routing.Table
	router *routing.Router
	rngs   sync.Pool
	policy policyFollower
}

var _ Placer = (*TablePlacer)(nil)

// NewTablePlacer returns a placer that knows no targets.
func NewTablePlacer(o routing.Options) *TablePlacer {
	t := routing.NewTable()
	return &TablePlacer{
		Table:  t,
		router: routing.NewRouter(t, o),
		rngs:   newRands(),
	}
}

// Announce implements Placer.
func (p *TablePlacer) Announce(t routing.Target) { p.Table.Announce(t) }

// Report implements Placer.
func (p *TablePlacer) Report(id api.TargetID, inc api.Incarnation, l routing.Load) {
	p.Table.Report(id, inc, l)
}

// Remove implements Placer.
func (p *TablePlacer) Remove(id api.TargetID, inc api.Incarnation) { p.Table.Remove(id, inc) }

// Choose implements Placer.
func (p *TablePlacer) Choose(q routing.Query, now time.Time) []routing.Candidate {
	p.policy.refresh()
	rng := p.rngs.Get().(*rand.Rand)
	defer p.rngs.Put(rng)
	return p.router.Choose(nil, q, now, rng)
}

// Size implements Placer.
func (p *TablePlacer) Size(q routing.Query) int { return p.View().Size(q) }

// Failed implements Placer.
func (p *TablePlacer) Failed(id api.TargetID, retryAfter time.Duration, now time.Time) {
	rng := p.rngs.Get().(*rand.Rand)
	defer p.rngs.Put(rng)
	p.Table.Failed(id, retryAfter, now, rng)
}
