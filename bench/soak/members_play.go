package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"almondseam.dev/platform/standin"
	"github.com/sourcegraph/conc"
)

const (
	// minDown and maxDown bound the time from the end of a member to the start of its successor.
	minDown = 200 * time.Millisecond
	maxDown = 2 * time.Second
	// maxSeedLag bounds the time from a replacement until settings files name it.
	maxSeedLag = 3 * time.Second
	// maxStops is the most stops in a series, minBetween and maxBetween bound the time between two.
	maxStops   = 4
	minBetween = 200 * time.Millisecond
	maxBetween = 3 * time.Second
	// minDark and maxDark bound the time for which stopped processes stay stopped.
	minDark = 100 * time.Millisecond
	maxDark = 1500 * time.Millisecond
	// confirmationPatience is how long a stop waits for the confirmation that it follows.
	confirmationPatience = 3 * time.Second
	// probeTime is the time for which probes are sent after a change is in force.
	probeTime = 1500 * time.Millisecond
)

// memberPlay replaces and stops members and entries. Its methods are called by one goroutine.
type memberPlay struct {
	set   memberSettings
	group *memberGroup
	fleet *fleet
	check *memberCheck
	ops   *memberOperators
	rng   *rand.Rand
	logf  func(string, ...any)
	// work holds exchanges of seeds and restarts of entries in progress.
	work conc.WaitGroup
	// lost is when a member whose disk was lost last came back, or its successor.
	lost time.Time

	replaced, sameAddress, returned, stops, disks int
	// slowestStop is the longest time from a confirmation to the last signal of a stop, slowestRecovery
	// that from the last fault until the system served again.
	slowestStop, slowestRecovery time.Duration
}

// summary states what was played.
func (p *memberPlay) summary() string {
	return fmt.Sprintf("%d members replaced (%d at their address), %d returned, %d stops (%d with a lost disk, %v after a confirmation at the latest), served again after %v at the latest",
		p.replaced, p.sameAddress, p.returned, p.stops, p.disks, p.slowestStop.Round(10*time.Microsecond), p.slowestRecovery.Round(10*time.Millisecond))
}

func (p *memberPlay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rng.Int64N(int64(most-least)))
}

// awaitLoss waits until another member may be lost.
func (p *memberPlay) awaitLoss(ctx context.Context) {
	sleep(ctx, time.Until(p.lost.Add(p.set.gap)))
}

// act plays one part of a run and waits until the system serves again.
func (p *memberPlay) act(ctx context.Context, number int) {
	storm := p.rng.Float64() < p.set.stormShare
	p.ops.storm.Store(storm)
	p.logf("act %d, storm: %v", number, storm)
	switch number {
	case 0:
		p.replaceEach(ctx, func() bool { return false })
	case 1:
		p.replaceEach(ctx, func() bool { return p.rng.IntN(2) == 0 })
	case 2:
		p.stayAway(ctx)
	case 3:
		p.awaitLoss(ctx)
		p.stopSeries(ctx)
	default:
		p.replaceMember(ctx, pick(p.group.list(), p.rng), p.rng.IntN(2) == 0)
		sleep(ctx, p.between(minBetween, maxBetween))
		p.stopSeries(ctx)
	}
	p.ops.storm.Store(false)
	p.work.Wait()
	p.settle(ctx)
}

// acts is the number of different acts.
const acts = 5

// replaceEach replaces each member in turn.
func (p *memberPlay) replaceEach(ctx context.Context, sameAddress func() bool) {
	members := p.group.list()
	p.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, n := range members {
		if ctx.Err() != nil {
			return
		}
		p.replaceMember(ctx, n, sameAddress())
	}
}

// replaceMember replaces a member by a new, empty one. An entry is restarted meanwhile with probability 1/3.
func (p *memberPlay) replaceMember(ctx context.Context, n *node, sameAddress bool) {
	p.awaitLoss(ctx)
	how := departure(p.rng.IntN(int(departures)))
	if sameAddress && how == leaveSilent {
		how = leaveKilled
	}
	if p.rng.IntN(3) == 0 {
		p.restartEntry(ctx, pick(p.fleet.entries, p.rng), p.between(0, p.set.gap))
	}
	p.check.GroupDisturbed(false)
	p.group.depart(n, how, sameAddress)
	p.succeed(ctx, n, sameAddress)
}

// succeed starts a new member in place of one that has left, and exchanges the seeds.
func (p *memberPlay) succeed(ctx context.Context, n *node, sameAddress bool) {
	sleep(ctx, p.between(minDown, maxDown))
	if _, err := p.group.join(n, sameAddress); err != nil {
		p.check.Violated("process", "%v", err)
	}
	p.check.GroupDisturbed(false)
	p.lost = time.Now()
	p.replaced++
	if sameAddress {
		p.sameAddress++
	}
	p.exchangeSeeds(ctx)
}

// exchangeSeeds has the settings files written anew after a time.
func (p *memberPlay) exchangeSeeds(ctx context.Context) {
	lag := p.between(0, maxSeedLag)
	own := rand.New(rand.NewPCG(p.rng.Uint64(), 0))
	p.work.Go(func() {
		sleep(ctx, lag)
		if err := p.group.exchangeSeeds(own); err != nil {
			p.check.Violated("process", "%v", err)
		}
	})
}

// restartEntry restarts an entry after a time.
func (p *memberPlay) restartEntry(ctx context.Context, n *node, after time.Duration) {
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[p.rng.IntN(2)]
	p.work.Go(func() {
		sleep(ctx, after)
		if !n.busy.TryLock() {
			return
		}
		defer n.busy.Unlock()
		p.logf("%s is restarted by %v", n.name, signal)
		p.check.EntryDisturbed(n.config.Callers)
		n.end(signal)
		sleep(ctx, restartDelay)
		if err := startAgain([]*node{n}, nil); err != nil {
			p.check.Violated("process", "%v", err)
		}
		p.check.EntryDisturbed(n.config.Callers)
	})
}

// stayAway stops one member, which gets a successor, replaces others, and then lets the first return with
// the disk that it had. The group has one member more from then on.
func (p *memberPlay) stayAway(ctx context.Context) {
	p.awaitLoss(ctx)
	away := pick(p.group.list(), p.rng)
	p.check.GroupDisturbed(false)
	p.group.depart(away, leaveKilled, false)
	p.succeed(ctx, away, false)
	for range 1 + p.rng.IntN(2) {
		p.replaceMember(ctx, pick(p.group.list(), p.rng), p.rng.IntN(3) == 0)
	}
	p.returned++
	if p.rng.IntN(2) == 0 {
		p.stop(ctx, away)
	} else {
		sleep(ctx, p.between(minBetween, maxBetween))
		p.resume(away)
	}
}

func (p *memberPlay) resume(n *node) {
	if err := p.group.resume(n); err != nil {
		p.check.Violated("process", "%v", err)
	}
	p.check.GroupDisturbed(false)
}

// stopSeries stops processes several times.
func (p *memberPlay) stopSeries(ctx context.Context) {
	p.stop(ctx, nil)
	for range p.rng.IntN(maxStops) {
		sleep(ctx, p.between(minBetween, maxBetween))
		if ctx.Err() != nil {
			return
		}
		p.stop(ctx, nil)
	}
}

// stopped returns the processes of a stop: everything, with probability 2/5; the entries; the members; or
// everything but one entry.
func (p *memberPlay) stopped() (members, entries []*node) {
	members, entries = p.group.list(), p.fleet.entries
	switch p.rng.IntN(5) {
	case 0:
		members = nil
	case 1:
		entries = nil
	case 2:
		i := p.rng.IntN(len(entries))
		entries = append(append([]*node(nil), entries[:i]...), entries[i+1:]...)
	}
	return members, entries
}

// stop kills processes as soon as a change is confirmed and starts them again. A member that stayed away
// starts with them unless returns is nil.
func (p *memberPlay) stop(ctx context.Context, returns *node) {
	members, entries := p.stopped()
	all := append(append([]*node(nil), members...), entries...)
	for _, n := range all {
		n.busy.Lock() // waits for a restart in progress
		defer n.busy.Unlock()
	}
	interrupted := time.Since(p.lost) < p.set.gap // a successor has not caught up
	var wiped *node
	if len(members) > 0 && !interrupted && p.rng.IntN(2) == 0 {
		wiped = pick(members, p.rng)
		p.disks++
	}
	dark := p.between(minDark, maxDark)
	p.stops++
	changing, cancel := context.WithTimeout(ctx, confirmationPatience)
	v := p.ops.change(changing, p.rng)
	cancel()
	p.kill(all, members, entries, v)
	p.logf("stopped: %d members, %d entries, a disk lost: %v, right after a confirmation: %v", len(members), len(entries), wiped != nil, v != nil)
	sleep(ctx, dark)
	if err := startAgain(all, wiped); err != nil {
		p.check.Violated("process", "%v", err)
	}
	if returns != nil {
		p.resume(returns)
	}
	p.disturbed(members, entries, false)
	if len(members) > 0 && (interrupted || wiped != nil) {
		p.lost = time.Now()
	}
}

// kill kills the processes of a stop after the confirmation of v, nil for none.
func (p *memberPlay) kill(all, members, entries []*node, v *version) {
	began := time.Now()
	if v != nil {
		began = v.confirmed
	}
	for _, n := range all {
		n.signal(syscall.SIGKILL)
	}
	if v != nil {
		p.slowestStop = max(p.slowestStop, time.Since(began))
	}
	p.disturbed(members, entries, true)
	for _, n := range all {
		<-n.exited
	}
}

// disturbed records that members and entries are stopped or were started.
func (p *memberPlay) disturbed(members, entries []*node, down bool) {
	if len(members) > 0 {
		p.check.GroupDisturbed(down)
	}
	for _, n := range entries {
		p.check.EntryDisturbed(n.config.Callers)
	}
}

// settle waits until the system serves again and is calm, makes few changes, and has them probed.
func (p *memberPlay) settle(ctx context.Context) {
	p.recover(ctx)
	sleep(ctx, time.Until(p.check.LastFault().Add(calmAfterStop)))
	for range 1 + p.rng.IntN(2) {
		changing, cancel := context.WithTimeout(ctx, confirmationPatience)
		if p.rng.IntN(3) == 0 {
			p.ops.overtake(changing, p.rng)
		} else {
			p.ops.change(changing, p.rng)
		}
		cancel()
	}
	sleep(ctx, inForce+probeTime)
}

// recover checks that a change is confirmed, all entries serve and all members answer reads within
// recoveryTime of the last fault.
func (p *memberPlay) recover(ctx context.Context) {
	fault := p.check.LastFault()
	immediate := time.Since(fault) < changeRetryPause
	bounded, cancel := context.WithDeadline(ctx, fault.Add(recoveryTime))
	defer cancel()
	if p.ops.change(bounded, p.rng) == nil && ctx.Err() == nil {
		p.check.Violated("not recovered", "no change was confirmed within %v of the last fault", recoveryTime)
	}
	for _, n := range p.fleet.entries {
		for !p.check.ServedSince(n.config.Callers, fault) && bounded.Err() == nil {
			sleep(bounded, changeRetryPause)
		}
		if !p.check.ServedSince(n.config.Callers, fault) && ctx.Err() == nil {
			p.check.Violated("not recovered", "%s served nothing within %v of the last fault", n.name, recoveryTime)
		}
	}
	op := standin.NewOperator()
	for _, member := range p.group.operators() {
		for !p.ops.readAt(bounded, op, member) {
			if bounded.Err() != nil {
				if ctx.Err() == nil {
					p.check.Violated("not recovered", "%s gave no configuration within %v of the last fault", member, recoveryTime)
				}
				break
			}
			sleep(bounded, changeRetryPause)
		}
	}
	if immediate {
		p.slowestRecovery = max(p.slowestRecovery, time.Since(fault))
	}
}
