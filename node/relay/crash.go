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
	// successorTime is how long after a lost response another process at the target's address shows
	// that the target has ended, and successorInterval the interval at which that is looked up. Where
	// something else accepts connections for the target, they are not refused.
	successorTime     = 4 * time.Second
	successorInterval = 500 * time.Millisecond
)

// crashCollectTimes are the times for which lost responses are collected before each report of the
// same crash: most losses are noticed together, and some only when the response is read.
var crashCollectTimes = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second}

// LostRequest is a request that was in progress at a target that crashed.
type LostRequest struct {
	Request *Request
	// InProgress is the time from sending the request to the loss of its response.
	InProgress time.Duration
}

// crashMonitor determines whether the process of a target whose response was lost has ended. A
// response is also lost if a connection is reset while the target still runs, which is no crash. It
// is safe for concurrent use.
type crashMonitor struct {
	pool *upstream.Pool
	// report is called with each crash, from several goroutines.
	report func(t *Target, lost []LostRequest)
	ctx    context.Context
	cancel context.CancelFunc
	work   conc.WaitGroup

	mu sync.Mutex
	// lost holds the requests lost at each target that is being probed or has just crashed, as far
	// as they have not been reported.
	lost map[*Target][]LostRequest
}

func newCrashMonitor(pool *upstream.Pool, report func(*Target, []LostRequest)) *crashMonitor {
	m := &crashMonitor{pool: pool, report: report, lost: make(map[*Target][]LostRequest)}
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

// watch determines whether a target has crashed, and reports it.
func (m *crashMonitor) watch(t *Target) {
	if !m.hasCrashed(t) {
		m.take(t, true)
		return
	}
	for i, d := range crashCollectTimes {
		sleep(m.ctx, d)
		if lost := m.take(t, i == len(crashCollectTimes)-1); len(lost) > 0 {
			m.report(t, lost)
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
		switch m.pool.Probe(m.ctx, t.Address, upstream.DefaultDialTimeout, 0) {
		case upstream.Refused:
			return true
		case upstream.NoAnswer:
			return false
		}
	}
	return m.isSucceeded(t)
}

// isSucceeded waits until another process is announced at the target's address, and returns false
// if none is or if the target drains before.
func (m *crashMonitor) isSucceeded(t *Target) bool {
	for until := time.Now().Add(successorTime); time.Now().Before(until) && m.ctx.Err() == nil; {
		if t.successor.Load() != nil {
			return true
		}
		if t.isDraining() {
			return false
		}
		sleep(m.ctx, successorInterval)
	}
	return false
}
