package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
)

const (
	// probersPerEntry is the number of callers at each entry, meanProbePause the mean pause of each
	// between two probes.
	probersPerEntry = 2
	meanProbePause  = 40 * time.Millisecond
	// probePatience is how long a caller waits for the response to a probe.
	probePatience = 2 * time.Second
)

// probers send probes to all entries.
type probers struct {
	check *memberCheck
	next  atomic.Int64
}

// run sends probes to one entry until ctx ends.
func (p *probers) run(ctx context.Context, entry string, rng *rand.Rand) {
	caller := standin.NewCaller()
	for ctx.Err() == nil {
		p.probe(ctx, caller, entry, rng)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanProbePause)))
	}
}

// probe sends one probe, of the newest confirmed change of a random kind; of a new route with probability
// 1/2.
func (p *probers) probe(ctx context.Context, caller *standin.Caller, entry string, rng *rand.Rand) {
	kind := routeAdded
	if rng.IntN(2) > 0 {
		kind = change(rng.IntN(int(changeKinds)))
	}
	prefix, key, ok := p.check.Newest().probeOf(kind, rng)
	if !ok {
		prefix, key = steadyRoute, steadyKey
	}
	id := api.RequestID(fmt.Sprintf("%016x", p.next.Add(1)))
	p.check.Sent(id, entry, prefix, key, kind)
	a := caller.Do(ctx, standin.Call{Entry: entry, Host: host, Path: prefix + "x", Key: key, Request: id, Patience: probePatience})
	if ctx.Err() == nil {
		p.check.Answered(id, a)
	}
}

// memberOperators change and read the configuration at any member.
type memberOperators struct {
	check   *memberCheck
	members func() []string
	// storm is set while both operators send changes all the time.
	storm atomic.Bool
}

const (
	// stormInterval is the mean time between two changes of one operator in a storm.
	stormInterval = 300 * time.Millisecond
	// maxOvertaken is the time for which an operator may hold a version back, so that others overtake it.
	maxOvertaken = 500 * time.Millisecond
	// changeRetryPause is the pause before a change is sent again, maxChangeAttempts how often it is sent
	// in a storm.
	changeRetryPause  = 60 * time.Millisecond
	maxChangeAttempts = 6
	// meanReadPause is the mean pause between two reads.
	meanReadPause = 120 * time.Millisecond
)

// run changes the configuration while there is a storm, until ctx ends.
func (o *memberOperators) run(ctx context.Context, rng *rand.Rand) {
	op := standin.NewOperator()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(stormInterval)))
		if !o.storm.Load() {
			continue
		}
		v := o.check.Propose()
		if rng.IntN(3) == 0 {
			sleep(ctx, time.Duration(rng.Int64N(int64(maxOvertaken))))
		}
		for range maxChangeAttempts {
			if o.send(ctx, op, v, rng) || ctx.Err() != nil {
				break
			}
			sleep(ctx, changeRetryPause)
		}
	}
}

// read reads the configuration at random members until ctx ends.
func (o *memberOperators) read(ctx context.Context, rng *rand.Rand) {
	op := standin.NewOperator()
	for ctx.Err() == nil {
		o.readAt(ctx, op, pick(o.members(), rng))
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanReadPause)))
	}
}

// readAt reads the configuration at a member. It reports whether the member returned one.
func (o *memberOperators) readAt(ctx context.Context, op *standin.Operator, member string) bool {
	sent := time.Now()
	number, document, ok := op.GetDocument(ctx, member)
	if ok {
		o.check.Read(member, number, document, sent)
	}
	return ok
}

// send sends a version to a random member. It reports whether it was confirmed.
func (o *memberOperators) send(ctx context.Context, op *standin.Operator, v *version, rng *rand.Rand) bool {
	member := pick(o.members(), rng)
	ok, err := op.Put(ctx, member, v.configuration())
	if ok {
		o.check.Confirmed(v)
	}
	if errors.Is(err, standin.ErrInvalid) {
		o.check.Violated("refused", "%s, version %d: %v", member, v.number, err)
	}
	return ok
}

// change sends a new version until it is confirmed or ctx ends. It returns nil if it was not confirmed.
func (o *memberOperators) change(ctx context.Context, rng *rand.Rand) *version {
	op := standin.NewOperator()
	v := o.check.Propose()
	for ctx.Err() == nil {
		if o.send(ctx, op, v, rng) {
			return v
		}
		sleep(ctx, changeRetryPause)
	}
	return nil
}

// overtake is change, by an operator whose version overtakes that of another one, which is sent after the
// confirmation.
func (o *memberOperators) overtake(ctx context.Context, rng *rand.Rand) *version {
	overtaken := o.check.Propose()
	v := o.change(ctx, rng)
	o.send(ctx, standin.NewOperator(), overtaken, rng)
	return v
}

// pick returns a random one of a list.
func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }
