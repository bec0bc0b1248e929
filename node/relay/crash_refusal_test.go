package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
)

// TestCrashingRequestIsSoonRefusedEverywhere guards against one caller whose request crashes each
// target that runs it, and takes the service from all others by sending it to every entry again
// and again.
func TestCrashingRequestIsSoonRefusedEverywhere(t *testing.T) {
	for name, mode := range map[string]struct {
		every    time.Duration
		together int
	}{
		"one after the other": {every: 300 * time.Millisecond},
		"four at once":        {every: 1200 * time.Millisecond, together: 4},
		"in quick succession": {every: 40 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 12, 4)
				w.crashesOn = isCrashBody
				bad := &callers{w: w, path: "/pair/bad", body: sameBody(crashBody), every: mode.every, together: mode.together}
				others := &callers{w: w, path: "/pair/x", body: ownBody, every: time.Second / 160, random: rand.New(rand.NewPCG(1, 5))}
				var work sync.WaitGroup
				work.Go(func() { others.run(16 * time.Second) })
				work.Go(func() { bad.run(16 * time.Second) })
				work.Wait()
				third, ok := w.thirdCrash(crashBody)
				if !ok {
					t.Fatal("the body has not crashed three targets")
				}
				if n := w.runsAfter(crashBody, third.Add(crashLatitude)); n > crashAllowance {
					t.Errorf("%d runs began later than %v after the third crash", n, crashLatitude)
				}
				if served, all := others.served(third.Add(crashLatitude)); float64(served) < crashServedShare*float64(all) {
					t.Errorf("%d of %d other requests served later than %v after the third crash", served, all, crashLatitude)
				}
				t.Logf("%d runs, %d crashes", w.runsAfter(crashBody, time.Time{}), len(w.crashed[crashBody]))
				w.stopAll()
			})
		})
	}
}

// crashAtRandom lets a random target crash at random times until ctx ends.
func (w *world) crashAtRandom(ctx context.Context, rng *rand.Rand, every time.Duration) (crashes int) {
	for {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(every)))
		if ctx.Err() != nil {
			return crashes
		}
		if w.targets[rng.IntN(len(w.targets))].crash() {
			crashes++
		}
	}
}

// TestRequestsInProgressAtCrashesAreServed guards against refusing requests that were in progress
// when targets crashed for another reason: one body that is in progress all the time, one that is
// sent rarely, and streams that last through several crashes.
func TestRequestsInProgressAtCrashesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 60 * time.Second
		w := newWorld(t, 2, 12, 4)
		w.crashesOn = func(string) bool { return false }
		kinds := map[string]*callers{
			"often":  {w: w, path: "/look/often", body: sameBody("often"), every: 10 * time.Millisecond},
			"rarely": {w: w, path: "/look/rarely", body: sameBody("rarely"), every: 500 * time.Millisecond},
			"others": {w: w, path: "/look/x", body: ownBody, every: 10 * time.Millisecond},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var work, crashing sync.WaitGroup
		crashes := 0
		rng := rand.New(rand.NewPCG(2, 4))
		crashing.Go(func() { crashes = w.crashAtRandom(ctx, rng, 300*time.Millisecond) })
		for name, k := range kinds {
			k.random = rand.New(rand.NewPCG(uint64(len(name)), uint64(name[0])))
			work.Go(func() { k.run(d) })
		}
		work.Wait()
		cancel()
		crashing.Wait()
		for name, k := range kinds {
			served, all := k.served(time.Time{})
			if float64(served) < crashServedShare*float64(all) {
				t.Errorf("%s: %d of %d served", name, served, all)
			}
			t.Logf("%s: %d of %d served beside %d crashes", name, served, all, crashes)
			for _, a := range k.failed() {
				t.Logf("%s: not served: %d %s after %v", name, a.status, strings.TrimSpace(a.body), a.took)
				if strings.Contains(a.body, string(api.ReasonQuarantined)) {
					t.Errorf("%s: a request was refused for crashes of another cause", name)
				}
			}
		}
		w.stopAll()
	})
}

// TestCrashingRequestIsRefusedDuringFaults guards against a crashing request that gets through
// while the control group has no leader, or at entries that have just started.
func TestCrashingRequestIsRefusedDuringFaults(t *testing.T) {
	const entries, d, leaderBack = 4, 16 * time.Second, 8 * time.Second
	for name, test := range map[string]struct {
		leaderless, restarts bool
		// maxRuns bounds the runs in all.
		maxRuns int
	}{
		"entries restart in turn": {restarts: true, maxRuns: 12},
		"no leader at first":      {leaderless: true, maxRuns: entries * 2 * crashAllowance},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 12, entries)
				w.crashesOn = isCrashBody
				w.quarantine.setLeaderless(test.leaderless)
				known := time.Now().Add(leaderBack)
				time.AfterFunc(leaderBack, func() { w.quarantine.setLeaderless(false) })
				bad := &callers{w: w, path: "/pair/bad", body: sameBody(crashBody), every: 100 * time.Millisecond}
				others := &callers{w: w, path: "/pair/x", body: ownBody, every: time.Second / 160, random: rand.New(rand.NewPCG(3, 5))}
				ctx, cancel := context.WithTimeout(context.Background(), d)
				defer cancel()
				var work sync.WaitGroup
				work.Go(func() { others.run(d) })
				work.Go(func() { bad.run(d) })
				if test.restarts {
					work.Go(func() { w.restartEntries(ctx, 700*time.Millisecond) })
				}
				work.Wait()
				third, ok := w.thirdCrash(crashBody)
				if !ok {
					t.Fatal("the body has not crashed three targets")
				}
				if test.leaderless && known.After(third) {
					third = known
				}
				if n := w.runsAfter(crashBody, third.Add(crashLatitude)); n > crashAllowance {
					t.Errorf("%d runs began later than %v after the third crash", n, crashLatitude)
				}
				if n := w.runsAfter(crashBody, time.Time{}); n > test.maxRuns {
					t.Errorf("%d runs, at most %d expected", n, test.maxRuns)
				}
				if served, all := others.served(third.Add(crashLatitude)); float64(served) < crashServedShare*float64(all) {
					t.Errorf("%d of %d other requests served later than %v after the third crash", served, all, crashLatitude)
				}
				t.Logf("%d runs, %d crashes", w.runsAfter(crashBody, time.Time{}), len(w.crashed[crashBody]))
				w.stopAll()
			})
		})
	}
}

// restartEntries starts one entry process after the other anew until ctx ends. The requests of the
// last process go on.
func (w *world) restartEntries(ctx context.Context, every time.Duration) {
	for i := 0; ; i++ {
		sleep(ctx, every)
		if ctx.Err() != nil {
			return
		}
		e := w.entries[i%len(w.entries)]
		e.start(fmt.Sprintf("%s/%d", e.current().name, i))
	}
}

// TestSameBodyOfOthersIsServed guards against a quarantine that is wider than the request: other
// requests of the same customer, and the same body on another path, are served.
func TestSameBodyOfOthersIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 12, 4)
		var crashing atomic.Bool
		crashing.Store(true)
		w.crashesOn = func(body string) bool { return crashing.Load() && isCrashBody(body) }
		bad := &callers{w: w, path: "/pair/bad", body: sameBody(crashBody), every: 300 * time.Millisecond}
		bad.run(4 * time.Second)
		crashing.Store(false)
		time.Sleep(targetDownTime)
		for path, want := range map[string]int{
			"/pair/bad":     http.StatusServiceUnavailable,
			"/pair/bad?x=1": http.StatusOK,
			"/pair/other":   http.StatusOK,
			"/once/bad":     http.StatusOK,
		} {
			for _, e := range w.entries {
				if got := e.askFor(context.Background(), nextID.Add(1), path, crashBody); got.Code != want {
					t.Errorf("%s: %d %s", path, got.Code, got.Body)
				}
			}
		}
		for _, e := range w.entries {
			if got := e.askFor(context.Background(), nextID.Add(1), "/pair/bad", crashBody+"."); got.Code != http.StatusOK {
				t.Errorf("another body: %d %s", got.Code, got.Body)
			}
		}
		for _, a := range bad.failed()[len(bad.failed())-3:] {
			if after, err := strconv.ParseFloat(a.retryAfter, 64); a.status != http.StatusServiceUnavailable || err != nil || after < 60 || a.took > 10*time.Millisecond {
				t.Errorf("a quarantined request got %+v", a)
			}
		}
		w.stopAll()
	})
}

// TestCrashingRequestOfEachKind guards against a way in which a run starts that passes the
// quarantine: requests that run once, further targets, and streams that are cut in the middle and
// continued from their standby copy.
func TestCrashingRequestOfEachKind(t *testing.T) {
	for _, path := range []string{"/once/bad", "/pair/bad", "/look/bad", "/notes/bad"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 5, 12, 4)
				w.crashesOn = isCrashBody
				w.crashAfterEvents = 2
				bad := &callers{w: w, path: path, body: sameBody(crashBody), every: 300 * time.Millisecond}
				bad.run(12 * time.Second)
				third, ok := w.thirdCrash(crashBody)
				if !ok {
					t.Fatal("the body has not crashed three targets")
				}
				if n := w.runsAfter(crashBody, third.Add(crashLatitude)); n > crashAllowance {
					t.Errorf("%d runs began later than %v after the third crash", n, crashLatitude)
				}
				t.Logf("%d runs, %d crashes", w.runsAfter(crashBody, time.Time{}), len(w.crashed[crashBody]))
				w.stopAll()
			})
		})
	}
}
