package relay

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minEngineSilence is the shortest pause of a stream after which its engine is checked.
	minEngineSilence = 400 * time.Millisecond
	// silenceGaps is the number of times that the pause must be as long as the longest one of
	// the stream before. An engine that shares its time pauses for long, and recovers.
	silenceGaps = 8
	// reachTries is the number of connections that an engine must leave unanswered, each for
	// reachTimeout: a single packet may be lost.
	reachTries   = 2
	reachTimeout = 200 * time.Millisecond
)

// errEngineSilent reports an engine that sends nothing and cannot be reached.
var errEngineSilent = errors.New("engine is silent and accepts no connection")

// silenceWatch ends a leg whose engine has lost its power or its network. Such an engine closes
// no connection, so without the watch its stream would pause until its caller leaves, although
// another engine holds a copy of the run.
//
// The watch ends a leg only if there is a standby copy, and only if no connection to the engine
// can be opened: an engine that is reachable would continue the run beside the next one.
type silenceWatch struct {
	run   *streamRun
	leg   *leg
	timer *time.Timer
	// events counts the events of the leg.
	events atomic.Uint64
	// silentFor is the pause after which the leg was ended in nanoseconds, zero if it was not.
	silentFor atomic.Int64

	mu sync.Mutex
	// awaited is when the watch began to wait for the next event, zero while it does not wait.
	awaited time.Time
}

// watchSilence returns a watch of a leg, nil if no other engine could continue its run.
func (s *streamRun) watchSilence(l *leg) *silenceWatch {
	if l.standby == nil {
		return nil
	}
	w := &silenceWatch{run: s, leg: l}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Stop()
	return w
}

// await starts the wait for the next event.
func (w *silenceWatch) await() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.awaited = time.Now()
	w.mu.Unlock()
	w.timer.Reset(max(minEngineSilence, silenceGaps*w.run.req.Stream.LongestGap))
}

// arrived ends the wait.
func (w *silenceWatch) arrived() {
	if w == nil {
		return
	}
	w.timer.Stop()
	w.events.Add(1)
	w.mu.Lock()
	w.awaited = time.Time{}
	w.mu.Unlock()
}

// waiting returns since when the watch waits, zero if it does not.
func (w *silenceWatch) waiting() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awaited
}

// check ends the leg if its engine cannot be reached, and otherwise waits as long again.
func (w *silenceWatch) check() {
	before, since := w.events.Load(), w.waiting()
	if since.IsZero() {
		return
	}
	for range reachTries {
		if w.run.relay.pool.Reachable(w.leg.ctx, w.leg.target.Address, reachTimeout) {
			w.timer.Reset(time.Since(since))
			return
		}
	}
	if w.events.Load() != before || w.waiting().IsZero() {
		return
	}
	w.silentFor.Store(int64(time.Since(since)))
	w.leg.cancel()
}

// cause returns the error of a leg that ended with err.
func (w *silenceWatch) cause(err error) error {
	if w == nil {
		return err
	}
	if silent := time.Duration(w.silentFor.Load()); silent > 0 {
		return fmt.Errorf("%w for %v", errEngineSilent, silent)
	}
	return err
}
