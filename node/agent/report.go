package agent

import (
	"time"

	"almondseam.dev/node/wire"
)

// reporting is the load reporting on one link, at the pace that its entry asks
// for.
type reporting struct {
	every time.Duration
	last  time.Time
}

// reportLoad reports on the links that are due.
func (a *Agent) reportLoad(now time.Time) {
	a.mu.Lock()
	due := a.dueLinks(now)
	if len(due) == 0 {
		a.mu.Unlock()
		return
	}
	snap := a.admit.Snapshot(now)
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
		if now.Sub(r.last) >= r.every {
			r.last = now
			due = append(due, l)
		}
	}
	return due
}

// Bounds of the pace that an entry may ask for.
const (
	minPace = 50 * time.Millisecond
	maxPace = time.Minute
)

func (a *Agent) onPace(from sender, m *wire.Pace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.links[from]; r != nil {
		r.every = min(max(m.Every, minPace), maxPace)
	}
}
