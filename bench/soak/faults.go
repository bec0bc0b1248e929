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

// injector brings about faults, several of which overlap.
type injector struct {
	fleet  *fleet
	places []*place
	check  *checker
	rng    *rand.Rand
	log    io.Writer
	begun  time.Time

	logMu sync.Mutex
	work  conc.WaitGroup
	// wiped is when a disk was last lost: no second one is until the first member
	// has caught up.
	wiped time.Time
}

const (
	// faultEvery is the mean time between two faults.
	faultEvery = 500 * time.Millisecond
	// faultLeast and faultMost bound how long one lasts.
	faultLeast = 200 * time.Millisecond
	faultMost  = 3 * time.Second
	// catchUp is how long after a loss a disk counts as lost.
	catchUp = 10 * time.Second
	// drainFor is how long a target serves on after it has said that it leaves.
	drainFor = 2500 * time.Millisecond
	// delayMost bounds the delay of each piece that a forwarder passes on.
	delayMost = 250 * time.Millisecond
)

// storm brings about faults for a while and waits until all are over.
func (j *injector) storm(ctx context.Context, d time.Duration) {
	j.check.Calm(false)
	end := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(end) {
		j.one(ctx)
		pause(ctx, time.Duration(j.rng.ExpFloat64()*float64(faultEvery)))
	}
	j.work.Wait()
	j.check.Calm(true)
}

func (j *injector) note(format string, args ...any) {
	j.logMu.Lock()
	defer j.logMu.Unlock()
	fmt.Fprintf(j.log, "%8.3f %s\n", time.Since(j.begun).Seconds(), fmt.Sprintf(format, args...))
}

// one begins one fault. All that is drawn is drawn here, so that the series follows
// from the seed.
func (j *injector) one(ctx context.Context) {
	lasts := faultLeast + time.Duration(j.rng.Int64N(int64(faultMost-faultLeast)))
	control := j.fleet.control[j.rng.IntN(len(j.fleet.control))]
	entry := j.fleet.entries[j.rng.IntN(len(j.fleet.entries))]
	target := j.places[j.rng.IntN(len(j.places))]
	delay := time.Duration(j.rng.Int64N(int64(delayMost)))
	process := []*node{control, control, entry}[j.rng.IntN(3)]
	switch kind := j.rng.IntN(12); kind {
	case 0, 1:
		m := []mode{modeDelay, modeSilent, modeOneWay}[j.rng.IntN(3)]
		j.disturb(ctx, "links of "+control.name, control.links, m, delay, lasts)
	case 2:
		j.disturb(ctx, "operators' calls to "+control.name, control.front, modeOneWay, delay, lasts)
	case 3:
		j.disturb(ctx, "callers of "+entry.name, entry.front, modeDelay, delay, lasts)
	case 4:
		j.check.Excuse(target.current(), lasts)
		j.disturb(ctx, "requests to "+target.known, target.forward, []mode{modeDelay, modeSilent}[j.rng.IntN(2)], delay, lasts)
	case 5:
		j.note("reset of the connections of %s, %s and %s", control.name, entry.name, target.known)
		control.links.reset()
		entry.front.reset()
		target.forward.reset()
	case 6, 7:
		j.freeze(ctx, process, lasts)
	case 8:
		j.end(process, syscall.SIGKILL, false)
	case 9:
		j.end(process, syscall.SIGTERM, false)
	case 10:
		if time.Since(j.wiped) > catchUp {
			j.wiped = time.Now()
			j.end(control, syscall.SIGKILL, true)
		}
	default:
		j.replaceTarget(ctx, target, j.rng.IntN(2) == 0)
	}
}

func (j *injector) disturb(ctx context.Context, what string, f *forwarder, m mode, delay, lasts time.Duration) {
	j.note("%s: mode %d for %v, delay %v", what, m, lasts, delay)
	f.set(m, delay)
	j.work.Go(func() {
		pause(ctx, lasts)
		f.set(modePass, 0)
	})
}

func (j *injector) freeze(ctx context.Context, n *node, lasts time.Duration) {
	j.note("%s stands still for %v", n.name, lasts)
	n.signal(syscall.SIGSTOP)
	j.work.Go(func() {
		pause(ctx, lasts)
		n.signal(syscall.SIGCONT)
	})
}

// end ends a process and starts it again; one that is being ended is left alone.
func (j *injector) end(n *node, s syscall.Signal, wipe bool) {
	if !n.busy.TryLock() {
		return
	}
	j.note("%s gets %v, disk lost: %v", n.name, s, wipe)
	j.work.Go(func() {
		defer n.busy.Unlock()
		if err := n.restart(s, wipe); err != nil {
			j.check.Unwell(err.Error())
		}
	})
}

func (j *injector) replaceTarget(ctx context.Context, p *place, drains bool) {
	if !p.busy.TryLock() {
		return
	}
	j.note("%s is replaced, says so: %v", p.known, drains)
	j.work.Go(func() {
		defer p.busy.Unlock()
		drain := time.Duration(0)
		if drains {
			drain = drainFor
		}
		if err := p.replace(ctx, drain, j.check.Drained); err != nil {
			j.check.Unwell(err.Error())
		}
	})
}
