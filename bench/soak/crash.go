package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
)

// The guaranteed bounds on a request that crashes each target that runs it.
const (
	// crashLatitude is the time after the third crash within which all entries refuse the request,
	// and crashAllowance the number of runs that may begin after that.
	crashLatitude  = 3 * time.Second
	crashAllowance = 3
	// maxCrashRuns bounds the runs of one such request in all, each entry that cannot reach the
	// control group counted by itself.
	maxCrashRuns = 10
)

const (
	serviceCrashing = api.ServiceID("app-c")
	// crashPrefix begins the paths of requests that crash targets, steadyPath is that of other
	// requests to the same targets.
	crashPrefix = "/crash/"
	steadyPath  = "/steady/x"
	// partPrefix begins the paths of requests of which no two are alike and whose prompts share
	// badPart, which crashes targets. sharedPart is in the prompts of other requests too.
	partPrefix = crashPrefix + "part/"
	sharedPart = "5c1e07a2"
	badPart    = "91bd3f06"
	// partCrashes is the number of crashes under a part after which, and after crashLatitude, only
	// crashAllowance runs with it may begin.
	partCrashes = 5
	// crashTargets is the number of targets of serviceCrashing.
	crashTargets = 6
	// crashDelay is the time from the start of a run to the crash that it causes, and crashDownTime
	// the time until another target runs at the address.
	crashDelay    = 30 * time.Millisecond
	crashDownTime = time.Second
	// crashCallers is the number of callers that send such a request, each one of its own.
	crashCallers = 2
	// meanCrashPause is the mean pause between two calls of such a caller.
	meanCrashPause = 150 * time.Millisecond
)

// startCrashTargets starts the targets that crash. Connections to every other one are refused while
// it is down; at the others the forwarder accepts connections and closes them.
func startCrashTargets(ctx context.Context, a addresses, f *fleet, from int, check *checker) ([]*targetSlot, error) {
	slots, err := startTargets(a, f, []api.ServiceID{serviceCrashing}, crashTargets, from, check)
	for i, p := range slots {
		p.crashes = func() {
			time.Sleep(crashDelay)
			if err := p.crash(ctx, i%2 == 0); err != nil && ctx.Err() == nil {
				check.Unwell(err.Error())
			}
		}
	}
	return slots, err
}

// crash ends the target and starts another at the same address. It does nothing if the target is
// being replaced already.
func (p *targetSlot) crash(ctx context.Context, refuse bool) error {
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	t, _ := p.running()
	if refuse {
		p.forward.close()
	}
	t.Kill()
	sleep(ctx, crashDownTime)
	if refuse {
		forward, err := newForwarder(p.advertised, p.listen)
		if err != nil {
			return fmt.Errorf("forwarder of %s: %w", p.advertised, err)
		}
		p.forward = forward
	}
	return p.start()
}

// sendCrashing sends one request that crashes targets again and again, to random entries.
func (c *callers) sendCrashing(ctx context.Context, rng *rand.Rand, number int) {
	caller := standin.NewCaller()
	path := fmt.Sprint(crashPrefix, number)
	for ctx.Err() == nil {
		c.call(ctx, caller, requestKind{path: path, services: []api.ServiceID{serviceCrashing}}, rng, "the same body")
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanCrashPause)))
	}
}

// partKind is a request with a part that crashes targets.
func partKind(n int) requestKind {
	return requestKind{path: fmt.Sprint(partPrefix, n), services: []api.ServiceID{serviceCrashing}, parts: []string{sharedPart, badPart}}
}

// sendParts sends requests with a part that crashes targets to random entries.
func (c *callers) sendParts(ctx context.Context, rng *rand.Rand) {
	caller := standin.NewCaller()
	for n := 0; ctx.Err() == nil; n++ {
		c.call(ctx, caller, partKind(n), rng, "")
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanCrashPause)))
	}
}

// crashes holds the runs of requests that crash targets, by path. The checker's mutex guards it.
type crashes struct{ runs map[string][]crashRun }

// count returns the number of runs.
func (c *crashes) count() (n int) {
	for _, list := range c.runs {
		n += len(list)
	}
	return n
}

type crashRun struct {
	target api.TargetID
	began  time.Time
	// calm is set if the call was sent while the fleet was calm.
	calm bool
}

// recordCrashRun records a run of a request that crashes its target. The caller must hold k.mu.
func (k *checker) recordCrashRun(c *call, r standin.Run) {
	key := c.kind.path
	if strings.HasPrefix(key, partPrefix) {
		key = partPrefix
	}
	if strings.HasPrefix(key, crashPrefix) {
		k.crashes.runs[key] = append(k.crashes.runs[key], crashRun{r.Target, r.Began, k.calmAt(c.sent)})
	}
}

// checkCrashes checks how often requests that crash targets were run. The caller must hold k.mu.
func (k *checker) checkCrashes() {
	for path, runs := range k.crashes.runs {
		needed := crashAllowance
		if path == partPrefix {
			needed = partCrashes
		}
		known := crashNumber(runs, needed)
		late := 0
		for _, r := range runs {
			if !known.IsZero() && r.calm && r.began.Sub(known) > crashLatitude {
				late++
			}
		}
		if late > crashAllowance {
			k.recordViolation("%s ran %d times later than %v after it had crashed %d targets", path, late, crashLatitude, needed)
		}
		if path != partPrefix && len(runs) > maxCrashRuns {
			k.recordViolation("%s ran %d times in all", path, len(runs))
		}
	}
}

// crashNumber returns when the target with a number began to run the request, zero if there were fewer.
func crashNumber(runs []crashRun, number int) time.Time {
	seen := make(map[api.TargetID]struct{})
	for _, r := range runs {
		seen[r.target] = struct{}{}
		if len(seen) == number {
			return r.began
		}
	}
	return time.Time{}
}
