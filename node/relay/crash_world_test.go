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
	"almondseam.dev/core/directory"
)

// What the tests of crashing requests expect, as the users state it.
const (
	// crashLatitude is the time after the third crash of a request from which the entries are
	// expected to know of it, and crashAllowance the number of its runs that may begin after that.
	crashLatitude  = 3 * time.Second
	crashAllowance = 3
	// crashServedShare is the share of other requests that are served from then on.
	crashServedShare = 0.99
	// targetDownTime is how long a target that has crashed is down, and targetCrashTime the time
	// from the start of a run to the crash that it causes.
	targetDownTime  = 2 * time.Second
	targetCrashTime = 60 * time.Millisecond
	// crashBody is the body that crashes targets.
	crashBody = "a body that crashes its target"
)

// crashLog holds the runs that began, and the crashes that they caused, by body.
type crashLog struct {
	// crashesOn reports whether a target crashes when it runs a request with this body.
	crashesOn func(body string) bool

	crashMu sync.Mutex
	begun   map[string][]time.Time
	crashed map[string][]time.Time
}

// beginRun records the start of a run, and lets the target crash if its body does that. The
// function that it returns must be called at the end of the run.
func (s *simTarget) beginRun(body string) func() {
	l := &s.w.crashLog
	if l.crashesOn == nil {
		return func() {}
	}
	l.crashMu.Lock()
	if l.begun == nil {
		l.begun, l.crashed = make(map[string][]time.Time), make(map[string][]time.Time)
	}
	l.begun[body] = append(l.begun[body], time.Now())
	l.crashMu.Unlock()
	if !l.crashesOn(body) {
		return func() {}
	}
	time.Sleep(targetCrashTime)
	if s.crash() {
		l.crashMu.Lock()
		l.crashed[body] = append(l.crashed[body], time.Now())
		l.crashMu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

// crash ends the target's process. After targetDownTime another one starts at the same address
// under another ID. It returns false if the process has ended already.
func (s *simTarget) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.crashes:
		return false
	default:
	}
	close(s.crashes)
	_ = s.ln.Close()
	_ = s.server.Close()
	time.AfterFunc(targetDownTime, s.startAnew)
	return true
}

func (s *simTarget) startAnew() {
	s.mu.Lock()
	gone := s.record
	gone.State = directory.StateGone
	s.record.Born++
	s.record.Target = api.TargetID(fmt.Sprintf("t-%s-%d", s.record.Address, s.record.Born))
	next := s.record
	s.mu.Unlock()
	s.serve()
	s.w.announce(gone)
	s.w.announce(next)
}

// stopAll is stop after the targets that are down have started again.
func (w *world) stopAll() {
	time.Sleep(2 * targetDownTime)
	w.stop()
	time.Sleep(time.Minute)
}

// runsAfter returns how many runs of a body began after a time.
func (l *crashLog) runsAfter(body string, at time.Time) int {
	l.crashMu.Lock()
	defer l.crashMu.Unlock()
	n := 0
	for _, t := range l.begun[body] {
		if t.After(at) {
			n++
		}
	}
	return n
}

// thirdCrash returns when a body has crashed the third target, and false if it has not.
func (l *crashLog) thirdCrash(body string) (time.Time, bool) {
	l.crashMu.Lock()
	defer l.crashMu.Unlock()
	if len(l.crashed[body]) < 3 {
		return time.Time{}, false
	}
	return l.crashed[body][2], true
}

// callers sends requests of one kind and counts their responses, by the time of sending.
type callers struct {
	w    *world
	path string
	// body returns the body of the request with a number.
	body  func(i int64) string
	every time.Duration
	// together is the number of requests that are sent at once, to different entries.
	together int
	// random makes the intervals random; nil for equal ones.
	random *rand.Rand

	mu      sync.Mutex
	answers []callerAnswer
}

type callerAnswer struct {
	sent       time.Time
	took       time.Duration
	status     int
	retryAfter string
	body       string
}

// run sends requests to all entries in turn for a time, and waits for the responses.
func (c *callers) run(d time.Duration) {
	var all sync.WaitGroup
	end := time.Now().Add(d)
	for turn := 0; time.Now().Before(end); {
		for range max(c.together, 1) {
			e, n := c.w.entries[turn%len(c.w.entries)], nextID.Add(1)
			turn++
			all.Go(func() { c.ask(e, n) })
		}
		wait := c.every
		if c.random != nil {
			wait = time.Duration(c.random.ExpFloat64() * float64(c.every))
		}
		time.Sleep(wait)
	}
	all.Wait()
}

// nextID numbers the requests of all callers.
var nextID atomic.Int64

func (c *callers) ask(e *simEntry, n int64) {
	sent := time.Now()
	r := e.askFor(context.Background(), n, c.path, c.body(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, callerAnswer{sent, time.Since(sent), r.Code, r.Header().Get("Retry-After"), r.Body.String()})
}

// served returns how many of the requests sent after a time were answered with success, and how
// many there were.
func (c *callers) served(after time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.sent.Before(after) {
			continue
		}
		all++
		if a.status == http.StatusOK {
			served++
		}
	}
	return served, all
}

func sameBody(body string) func(int64) string { return func(int64) string { return body } }

func ownBody(i int64) string { return "a body of its own: " + strconv.FormatInt(i, 10) }

func isCrashBody(body string) bool { return strings.HasPrefix(body, crashBody) }

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
		}
		w.stopAll()
	})
}
