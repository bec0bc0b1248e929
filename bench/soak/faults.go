package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// injector injects faults into the fleet. Several faults may overlap.
type injector struct {
	fleet   *fleet
	slots   []*targetSlot
	check   *checker
	rng     *rand.Rand
	log     io.Writer
	started time.Time

	logMu sync.Mutex
	work  conc.WaitGroup
	// lastWipe is when a data directory was last deleted. The next one is deleted only after
	// catchUpTime, so that the first member can catch up.
	lastWipe time.Time
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// catchUpTime is the time that a control member is given to catch up after its data
	// directory was deleted.
	catchUpTime = 10 * time.Second
	// drainDuration is how long a target continues to serve after its drain notice was
	// acknowledged or failed; it is also the timeout of the notice.
	drainDuration = 2500 * time.Millisecond
	// maxDelay bounds the delay that a forwarder adds to each chunk of data.
	maxDelay = 250 * time.Millisecond
)

// faultPhase starts faults for the duration d and returns when all of them have ended.
func (j *injector) faultPhase(ctx context.Context, d time.Duration) {
	j.check.Calm(false)
	end := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(end) {
		j.startFault(ctx)
		sleep(ctx, time.Duration(j.rng.ExpFloat64()*float64(meanFaultInterval)))
	}
	j.work.Wait()
	j.check.Calm(true)
}

func (j *injector) logf(format string, args ...any) {
	j.logMu.Lock()
	defer j.logMu.Unlock()
	fmt.Fprintf(j.log, "%8.3f %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, args...))
}

// startFault starts one random fault. It makes all random draws itself, none in the
// goroutines that it starts, so that their timing does not change the sequence of faults.
func (j *injector) startFault(ctx context.Context) {
	duration := minFaultDuration + time.Duration(j.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	control := j.fleet.control[j.rng.IntN(len(j.fleet.control))]
	entry := j.fleet.entries[j.rng.IntN(len(j.fleet.entries))]
	target := j.slots[j.rng.IntN(len(j.slots))]
	delay := time.Duration(j.rng.Int64N(int64(maxDelay)))
	process := []*node{control, control, entry}[j.rng.IntN(3)]
	switch kind := j.rng.IntN(12); kind {
	case 0, 1:
		m := []mode{modeDelay, modeBlackhole, modeOneWay}[j.rng.IntN(3)]
		j.impairLink(ctx, "links of "+control.name, control.linkForwarder, m, delay, duration)
	case 2:
		j.impairLink(ctx, "operators' calls to "+control.name, control.clientForwarder, modeOneWay, delay, duration)
	case 3:
		j.impairLink(ctx, "callers of "+entry.name, entry.clientForwarder, modeDelay, delay, duration)
	case 4:
		j.check.Excuse(target.current(), duration)
		j.impairLink(ctx, "requests to "+target.advertised, target.forward, []mode{modeDelay, modeBlackhole}[j.rng.IntN(2)], delay, duration)
	case 5:
		j.disturb(entry)
		j.check.Excuse(target.current(), 0)
		j.logf("reset of the connections of %s, %s and %s", control.name, entry.name, target.advertised)
		control.linkForwarder.reset()
		entry.clientForwarder.reset()
		target.forward.reset()
	case 6, 7:
		j.suspend(ctx, process, duration)
	case 8:
		j.restartNode(process, syscall.SIGKILL, false)
	case 9:
		j.restartNode(process, syscall.SIGTERM, false)
	case 10:
		if time.Since(j.lastWipe) > catchUpTime {
			j.lastWipe = time.Now()
			j.restartNode(control, syscall.SIGKILL, true)
		}
	default:
		j.replaceTarget(ctx, target, j.rng.IntN(2) == 0)
	}
}

func (j *injector) impairLink(ctx context.Context, name string, f *forwarder, m mode, delay, duration time.Duration) {
	j.logf("%s: mode %d for %v, delay %v", name, m, duration, delay)
	f.set(m, delay)
	j.work.Go(func() {
		sleep(ctx, duration)
		f.set(modePass, 0)
	})
}

func (j *injector) suspend(ctx context.Context, n *node, duration time.Duration) {
	j.logf("%s stands still for %v", n.name, duration)
	j.disturb(n)
	n.signal(syscall.SIGSTOP)
	j.work.Go(func() {
		sleep(ctx, duration)
		j.disturb(n)
		n.signal(syscall.SIGCONT)
	})
}

// restartNode stops a process and starts it again in the background. It does nothing if a
// restart of the process is already in progress.
func (j *injector) restartNode(n *node, s syscall.Signal, wipe bool) {
	if !n.busy.TryLock() {
		return
	}
	j.logf("%s gets %v, disk lost: %v", n.name, s, wipe)
	j.disturb(n)
	j.work.Go(func() {
		defer n.busy.Unlock()
		if err := n.restart(s, wipe); err != nil {
			j.check.Unwell(err.Error())
		}
		j.disturb(n)
	})
}

// disturb records a disturbance of a process if it is an entry.
func (j *injector) disturb(n *node) { j.check.Disturbed(hostPort(n.config.Host, portCallers)) }

func (j *injector) replaceTarget(ctx context.Context, p *targetSlot, drains bool) {
	if !p.busy.TryLock() {
		return
	}
	j.logf("%s is replaced, says so: %v", p.advertised, drains)
	j.work.Go(func() {
		defer p.busy.Unlock()
		drain := time.Duration(0)
		if drains {
			drain = drainDuration
		}
		if err := p.replace(ctx, drain, j.check.Drained); err != nil {
			j.check.Unwell(err.Error())
		}
	})
}
