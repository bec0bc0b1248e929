package entry

import (
	"sync"
	"sync/atomic"

	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/routing"
)

// policyFollower applies the policy of the configuration in force before it is used.
// The usual case costs two atomic loads. The zero value follows nothing.
type policyFollower struct {
	live    *fleetconfig.Live
	apply   func(*fleetconfig.Policy)
	applied atomic.Pointer[fleetconfig.Snapshot]
	mu      sync.Mutex
}

// refresh applies a configuration that has come since the last call. The
// snapshot is loaded again under the lock: a goroutine that waited there with an
// older one would otherwise put that in force last.
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

// Follow makes the choices go by the policy in force. Call it before use.
func (p *TablePlacer) Follow(live *fleetconfig.Live) {
	p.policy.live = live
	p.policy.apply = func(c *fleetconfig.Policy) { p.router.Set(routingOptions(c)) }
}

// Follow makes the decisions go by the policy in force. Call it before use.
func (r *Retries) Follow(live *fleetconfig.Live) {
	r.policy.live = live
	r.policy.apply = func(c *fleetconfig.Policy) { r.Policy.Set(c.RetryAttempts, c.RetryBudget) }
}

func routingOptions(c *fleetconfig.Policy) routing.Options {
	o := routing.Options{
		Ask:      c.BidFanOut,
		Bound:    c.AffinityBound,
		AnyZone:  !c.PreferZone,
		ZoneWait: c.ZoneSlack,
	}
	// The standard samples hold no more targets than two bids need; a wider
	// fan-out that drew from them would often ask fewer than it says.
	if c.BidFanOut > 2 {
		o.Local, o.Foreign = 2*c.BidFanOut, c.BidFanOut
	}
	if c.ZoneSlack == 0 {
		o.ZoneWait = -1
	}
	return o
}
