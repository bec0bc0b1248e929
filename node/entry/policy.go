package entry

import (
	"sync"
	"sync/atomic"

	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/routing"
)

// policyFollower applies the policy of the configuration in force before each use.
// If the configuration has not changed, this costs two atomic loads. The zero value
// follows no configuration.
type policyFollower struct {
	live    *fleetconfig.Live
	apply   func(*fleetconfig.Policy)
	applied atomic.Pointer[fleetconfig.Snapshot]
	mu      sync.Mutex
}

// refresh applies a configuration that came into force since the last call. It
// loads the snapshot again under the lock: otherwise a goroutine that waited for
// the lock with an older snapshot would apply that one last.
func (f *policyFollower) refresh() {
	if f.live == nil || f.live.Load() == f.applied.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	conf := f.live.Load()
	if conf == f.applied.Load() {
		return
	}
	f.apply(conf.Policy())
	f.applied.Store(conf)
}

// Follow makes Choose use the routing policy that is in force in live. It must be
// called before the placer is used.
func (p *TablePlacer) Follow(live *fleetconfig.Live) {
	p.policy.live = live
	p.policy.apply = func(c *fleetconfig.Policy) { p.router.Set(routingOptions(c)) }
}

// Follow makes the retry decisions use the policy that is in force in live. It must
// be called before r is used.
func (r *Retries) Follow(live *fleetconfig.Live) {
	r.policy.live = live
	r.policy.apply = func(c *fleetconfig.Policy) { r.Policy.Set(c.RetryAttempts, c.RetryBudget) }
}

// routingOptions returns the routing options that a policy stands for.
func routingOptions(c *fleetconfig.Policy) routing.Options {
	o := routing.Options{
		Ask:      c.BidFanOut,
		Bound:    c.AffinityBound,
		AnyZone:  !c.PreferZone,
		ZoneWait: c.ZoneSlack,
	}
	// The default samples are sized for a fan-out of two. A larger fan-out that
	// drew from them would often ask fewer targets than configured.
	if c.BidFanOut > 2 {
		o.Local, o.Foreign = 2*c.BidFanOut, c.BidFanOut
	}
	if c.ZoneSlack == 0 {
		o.ZoneWait = -1
	}
	return o
}
