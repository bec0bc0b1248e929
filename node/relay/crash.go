package relay

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/node/upstream"
	"github.com/sourcegraph/conc"
)

const (
	// crashProbes is the number of connections that are tried after a response was lost, at the
	// interval crashProbeInterval, before the target counts as running: a process that ends may
	// close its connections before its listener.
	crashProbes        = 2
	crashProbeInterval = 100 * time.Millisecond
	// crashCollectTime is how long responses that are lost with the first one are collected.
	crashCollectTime = 20 * time.Millisecond
	// crashRememberTime is how long a response that is lost later counts for the same crash: the
	// loss is noticed when the response is read.
	crashRememberTime = time.Second
)

// LostRequest is a request that was in progress at a target that crashed.
type LostRequest struct {
	Request *Request
	// InProgress is the time from sending the request to the loss of its response.
	InProgress time.Duration
}

// crashMonitor determines whether the process of a target whose response was lost has ended. A
// response is also lost if a connection is reset while the target goes on, which is no crash. It
// is safe for concurrent use.
type crashMonitor struct {
	pool   *upstream.Pool
	obs    Observer
	ctx    context.Context
	cancel context.CancelFunc
	work   conc.WaitGroup

	mu sync.Mutex
	// lost holds the requests lost at each target that is being probed or has just crashed, as far
	// as they have not been reported.
	lost map[*Target][]LostRequest
}

func newCrashMonitor(pool *upstream.Pool, obs Observer) *crashMonitor {
	m := &crashMonitor{pool: pool, obs: obs, lost: make(map[*Target][]LostRequest)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// stop ends all probes. No response may be lost in the meantime.
func (m *crashMonitor) stop() {
	m.cancel()
	m.work.Wait()
}

// responseLost records that the response to a request was lost. A target that drains is expected
// to end, so that its end is no crash.
func (m *crashMonitor) responseLost(req *Request, t *Target, sentAt time.Time) {
	if t.isDraining() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, watched := m.lost[t]; !watched {
		m.work.Go(func() { m.watch(t) })
	}
	m.lost[t] = append(m.lost[t], LostRequest{Request: req, InProgress: time.Since(sentAt)})
}

// watch probes a target and reports its crash.
func (m *crashMonitor) watch(t *Target) {
	crashed := m.hasCrashed(t)
	until := time.Now().Add(crashRememberTime)
	for last := false; !last; {
		last = !crashed || m.ctx.Err() != nil || time.Now().After(until)
		if !last {
			sleep(m.ctx, crashCollectTime)
		}
		if lost := m.take(t, last); crashed && len(lost) > 0 {
			m.obs.TargetCrashed(t, lost)
		}
	}
}

// take returns the requests lost at a target since the last call, and ends the watch if last is
// set.
func (m *crashMonitor) take(t *Target, last bool) []LostRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.lost[t]
	if last {
		delete(m.lost, t)
	} else {
		m.lost[t] = nil
	}
	return lost
}

// hasCrashed reports whether the target's process has ended. A target that cannot be reached may
// still run.
func (m *crashMonitor) hasCrashed(t *Target) bool {
	for i := range crashProbes {
		if i > 0 {
			sleep(m.ctx, crashProbeInterval)
		}
		switch m.pool.Probe(m.ctx, t.Address, upstream.DefaultDialTimeout) {
		case upstream.Refused:
			return true
		case upstream.NoAnswer:
			return false
		}
	}
	return false
}
