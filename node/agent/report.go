package agent

import (
	"time"

	"almondseam.dev/node/wire"
)

// loadReporting is the state of the load reports on one link. The entry may change
// the interval.
type loadReporting struct {
	interval time.Duration
	lastSent time.Time
}

// reportLoad sends a load report on each link on which one is due.
func (a *Agent) reportLoad(now time.Time) {
	a.mu.Lock()
	due := a.dueLinks(now)
	if len(due) == 0 {
		a.mu.Unlock()
		return
	}
	snap := a.admitter.Snapshot(now)
	calls := a.calls
	a.mu.Unlock()
	m := &wire.Load{
		Running:  snap.Running + calls,
		Waiting:  snap.Waiting,
		Free:     snap.Free,
		Capacity: a.cfg.Capacity,
		Wait:     snap.WaitNote,
		Clock:    a.uptime(),
	}
	for _, l := range due {
		_ = l.Send(m)
	}
}

func (a *Agent) dueLinks(now time.Time) []sender {
	var due []sender
	for l, r := range a.links {
		if now.Sub(r.lastSent) >= r.interval {
			r.lastSent = now
			due = append(due, l)
		}
	}
	return due
}

// Bounds of the interval of load reports that an entry may request.
const (
	minLoadInterval = 50 * time.Millisecond
	maxLoadInterval = time.Minute
)

func (a *Agent) onPace(from sender, m *wire.Pace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.links[from]; r != nil {
		r.interval = min(max(m.Every, minLoadInterval), maxLoadInterval)
	}
}
