package entry

import (
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// leftRunTime is how long an entry remembers an attempt that it has left. By then an agent whose link was lost has
// cancelled it as abandoned, or its process has ended.
const leftRunTime = time.Minute

// leftRun is an attempt that was left and whose agent may not have received the order to stop it. The loss of the
// link, and another process that announces the same target, do not prove that the attempt has ended.
type leftRun struct {
	key   wire.Key
	inc   api.Incarnation
	until time.Time
}

// leftRuns holds the attempts that agents have to stop when they link again. Its methods may be called from
// several goroutines.
type leftRuns struct {
	mu       sync.Mutex
	byTarget map[api.TargetID][]leftRun
	// sweepAt is when the expired runs of all targets are removed next.
	sweepAt time.Time
}

func newLeftRuns() *leftRuns { return &leftRuns{byTarget: make(map[api.TargetID][]leftRun)} }

func (l *leftRuns) add(id api.TargetID, r leftRun, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.sweepAt) {
		l.sweep(now)
		l.sweepAt = now.Add(leftRunTime)
	}
	l.byTarget[id] = append(l.byTarget[id], r)
}

func (l *leftRuns) sweep(now time.Time) {
	for id, runs := range l.byTarget {
		runs = slices.DeleteFunc(runs, func(r leftRun) bool { return !now.Before(r.until) })
		if len(runs) == 0 {
			delete(l.byTarget, id)
		} else {
			l.byTarget[id] = runs
		}
	}
}

// take removes and returns the runs that were left at one incarnation of a target's agent.
func (l *leftRuns) take(id api.TargetID, inc api.Incarnation, now time.Time) []leftRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken, kept []leftRun
	for _, r := range l.byTarget[id] {
		switch {
		case !now.Before(r.until):
		case r.inc == inc:
			taken = append(taken, r)
		default:
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		delete(l.byTarget, id)
	} else {
		l.byTarget[id] = kept
	}
	return taken
}

// leaveRun makes the agent of an attempt stop it once it links again. A cancellation on the current link is the
// caller's to send.
func (e *Entry) leaveRun(d *dispatch) {
	now := e.cfg.Clock()
	e.left.add(d.target, leftRun{key: d.key, inc: d.inc, until: now.Add(leftRunTime)}, now)
	// The agent may have linked again since. leaveRun stores the run before it reads the table of peers, and an
	// announcement changes the table before it reads the runs, so at least one of the two finds the other.
	if p := e.peers.get(d.target); p != nil && p.link != d.currentLink() {
		e.stopLeftRuns(p)
	}
}

// stopLeftRuns orders an agent to stop the attempts that were left there. The offer of one may not have reached the
// agent yet; the tombstone keeps it from starting.
func (e *Entry) stopLeftRuns(p *peer) {
	for _, r := range e.left.take(p.target, p.inc, e.cfg.Clock()) {
		_ = p.link.Send(&wire.Tombstone{Key: r.key, Incarnation: r.inc})
		_ = p.link.Send(&wire.Cancel{Key: r.key})
	}
}
