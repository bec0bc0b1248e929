package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
	"github.com/sourcegraph/conc"
)

// memberSettings holds the settings of a run in which control members are replaced.
type memberSettings struct {
	// gap is the least time from the start of a successor to the next loss of a member.
	gap time.Duration
	// stormShare is the probability that the configuration changes all the time during an act.
	stormShare float64
	// acts are played in this order; nil for random ones.
	acts []int
}

// runMembers plays a run in which control members are replaced, in place of runSeed.
func runMembers(ctx context.Context, config settings) error {
	s, err := startSite(config)
	defer s.stop()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(config.dir, "acts.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	var logMu sync.Mutex
	logf := func(format string, args ...any) {
		logMu.Lock()
		defer logMu.Unlock()
		fmt.Fprintf(log, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
	var entries []string
	for _, n := range s.fleet.entries {
		entries = append(entries, n.config.Callers)
	}
	check := newMemberCheck(entries, rand.New(rand.NewPCG(config.seed, 1)))
	check.logf = logf
	if err := startProbedTargets(s, check); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(config.seed, 0))
	group := newMemberGroup(s, config, logf)
	p := &memberPlay{
		set: config.members, group: group, fleet: s.fleet, check: check, rng: rng, logf: logf,
		ops: &memberOperators{check: check, members: group.operators},
	}
	if err := p.bootstrap(ctx); err != nil {
		return err
	}
	p.run(ctx, config, entries)
	summary, broken := check.evaluate()
	_, unwell := s.check.evaluate()
	broken = append(broken, unwell...)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	fmt.Fprintf(config.out, "seed %d: %s; %s; %d promises broken\n", config.seed, summary, p.summary(), len(broken))
	var errs []error
	for _, b := range broken {
		errs = append(errs, errors.New(b))
	}
	return errors.Join(errs...)
}

// startProbedTargets starts the targets that run probes.
func startProbedTargets(s *site, check *memberCheck) error {
	for i, service := range []api.ServiceID{serviceA, serviceA, serviceB, serviceB} {
		p := &targetSlot{
			service: service, zone: ownZone, control: s.fleet.operators(), number: i,
			listen:     hostPort(s.addresses.listen(groupTarget, i), portTarget),
			advertised: hostPort(s.addresses.advertised(groupTarget, i), portTarget),
			onRun:      check.Ran,
			onReject:   func(standin.Run, time.Duration) {},
		}
		s.slots = append(s.slots, p)
		var err error
		if p.forward, err = newForwarder(p.advertised, p.listen); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// bootstrap makes the first change and waits until all entries are ready.
func (p *memberPlay) bootstrap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	if p.ops.change(ctx, p.rng) == nil {
		return errors.New("the first configuration was not accepted")
	}
	op := standin.NewOperator()
	for _, n := range p.fleet.entries {
		for !op.Ready(ctx, n.config.Ready) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", n.name)
			}
			sleep(ctx, changeRetryPause)
		}
	}
	return nil
}

// run plays the acts while callers send probes and operators read and change the configuration.
func (p *memberPlay) run(ctx context.Context, config settings, entries []string) {
	ctx, cancel := context.WithCancel(ctx)
	var work conc.WaitGroup
	callers := &probers{check: p.check}
	for i, entry := range entries {
		for j := range probersPerEntry {
			own := rand.New(rand.NewPCG(config.seed, uint64(100+i*probersPerEntry+j)))
			work.Go(func() { callers.run(ctx, entry, own) })
		}
	}
	for i := range 2 {
		own := rand.New(rand.NewPCG(config.seed, uint64(1000+i)))
		work.Go(func() { p.ops.run(ctx, own) })
	}
	own := rand.New(rand.NewPCG(config.seed, 2000))
	work.Go(func() { p.ops.read(ctx, own) })
	p.check.GroupDisturbed(false)
	for _, number := range p.acts(config.faultPhases) {
		p.act(ctx, number)
	}
	if p.rng.IntN(2) == 0 {
		p.stopSeries(ctx)
		p.settle(ctx)
	}
	cancel()
	work.Wait()
	p.work.Wait()
}

// acts returns the acts to play: random ones, no two alike, if the settings name none.
func (p *memberPlay) acts(number int) []int {
	if p.set.acts != nil {
		return p.set.acts
	}
	all := p.rng.Perm(acts)
	return slices.Clone(all[:min(number, acts)])
}
