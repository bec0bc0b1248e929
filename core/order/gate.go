package order

import (
	"time"

	"almondseam.dev/core/api"
)

// Gate is the agent's check of the orders it passes to its target. It lives as
// long as the agent's incarnation; nothing of it is kept over a restart, which
// the incarnation in each order makes up for.
//
// An order may arrive after its successor. Where the target checks the fence it refuses by
// itself. Where it doesn't, the agent is the only way to it, so a check here suffices, but for
// one window: an agent stopped between MaySend and the write to the target. The table's lease
// does not close it, for the target takes the late write. It is as long as the target's
// connection stays open across the stop.
type Gate struct {
	incarnation api.Incarnation
	highest     api.Fence
	running     bool
	until       time.Time
}

// NewGate makes the gate of one incarnation.
func NewGate(incarnation api.Incarnation) *Gate {
	return &Gate{incarnation: incarnation}
}

// Begin admits an order. asked is the agent's monotonic clock from before it
// asked for the order, so that its count of the lease ends before the table's.
func (g *Gate) Begin(o Order, asked time.Time, lease time.Duration) error {
	switch {
	case o.Incarnation != g.incarnation:
		return refuse(api.ReasonIncarnation, o.Spec.Target, 0, ErrStale)
	case o.Fence <= g.highest:
		return refuse(api.ReasonStaleFence, o.Spec.Target, 0, ErrStale)
	case g.running && asked.Before(g.until):
		return refuse(api.ReasonStaleFence, o.Spec.Target, 0, ErrBusy)
	}
	g.highest = o.Fence
	g.running = true
	g.until = asked.Add(lease)
	return nil
}

// MaySend tells, right before a write to the target, whether the order with
// this fence may still go on.
func (g *Gate) MaySend(fence api.Fence, now time.Time) bool {
	return g.running && fence == g.highest && now.Before(g.until)
}

// Renewed extends the lease; asked as for Begin.
func (g *Gate) Renewed(fence api.Fence, asked time.Time, lease time.Duration) {
	if g.running && fence == g.highest {
		g.until = asked.Add(lease)
	}
}

// End tells that the target has ended the order with this fence.
func (g *Gate) End(fence api.Fence) {
	if fence == g.highest {
		g.running = false
	}
}
