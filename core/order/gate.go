package order

import (
	"time"

	"almondseam.dev/core/api"
)

// Gate is the agent's check of the orders that it forwards to its target. It lasts for
// one incarnation of the agent. Nothing is kept across a restart, because each order
// names the incarnation for which it was issued.
//
// An order may arrive after its successor. A target that checks fences rejects such an order
// itself. Any other target is reachable only through its agent, so this check suffices, with one
// exception: if the agent is suspended between MaySend and the write to the target, the target
// accepts the late write even after the order's lease in the table has expired. This is possible
// for as long as the target's connection stays open during the suspension.
type Gate struct {
	incarnation api.Incarnation
	highest     api.Fence
	running     bool
	leaseEnd    time.Time
}

// NewGate returns the gate of one incarnation.
func NewGate(incarnation api.Incarnation) *Gate {
	return &Gate{incarnation: incarnation}
}

// Begin admits an order, or returns an error if the order is stale or another one
// is running. asked is the agent's monotonic time before it requested the order,
// so that the lease ends earlier for the agent than for the table.
func (g *Gate) Begin(o Order, asked time.Time, lease time.Duration) error {
	switch {
	case o.Incarnation != g.incarnation:
		return refuse(api.ReasonIncarnation, o.Spec.Target, 0, ErrStale)
	case o.Fence <= g.highest:
		return refuse(api.ReasonStaleFence, o.Spec.Target, 0, ErrStale)
	case g.running && asked.Before(g.leaseEnd):
		return refuse(api.ReasonStaleFence, o.Spec.Target, 0, ErrBusy)
	}
	g.highest = o.Fence
	g.running = true
	g.leaseEnd = asked.Add(lease)
	return nil
}

// MaySend reports whether the order with this fence is still running and its lease
// valid. It must be called immediately before each write to the target.
func (g *Gate) MaySend(fence api.Fence, now time.Time) bool {
	return g.running && fence == g.highest && now.Before(g.leaseEnd)
}

// RenewLease extends the lease of the running order. asked is the agent's monotonic
// time before it requested the renewal.
func (g *Gate) RenewLease(fence api.Fence, asked time.Time, lease time.Duration) {
	if g.running && fence == g.highest {
		g.leaseEnd = asked.Add(lease)
	}
}

// End records that the target has finished the order with this fence.
func (g *Gate) End(fence api.Fence) {
	if fence == g.highest {
		g.running = false
	}
}
