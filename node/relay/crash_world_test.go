package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/state"
	"almondseam.dev/node/crash"
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
	// crashAfterEvents is the number of events that a stream which crashes its target sends before.
	crashAfterEvents int

	crashMu sync.Mutex
	begun   map[string][]time.Time
	crashed map[string][]time.Time
}

// simQuarantine is the control group's part of the quarantine. Reports and lists take some
// milliseconds.
type simQuarantine struct {
	t *testing.T

	mu      sync.Mutex
	state   *state.State
	entries []*crash.Quarantine
	// leaderless makes all reports fail.
	leaderless bool
}

// The times that a report takes to be replicated, and a list to reach an entry process.
const (
	simReplication = 4 * time.Millisecond
	simDelivery    = 3 * time.Millisecond
)

func newSimQuarantine(t *testing.T) *simQuarantine {
	return &simQuarantine{t: t, state: state.New(state.DefaultLimits())}
}

// join lets an entry process receive lists. A process that starts receives the current one.
func (g *simQuarantine) join(q *crash.Quarantine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = append(g.entries, q)
	q.Update(g.state.Quarantine())
}

func (g *simQuarantine) setLeaderless(l bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderless = l
}

// ReportQuarantine implements crash.Reporter.
func (g *simQuarantine) ReportQuarantine(ctx context.Context, c quarantine.Command) error {
	sleep(ctx, simReplication)
	data, err := state.Encode(state.Command{Now: time.Now().UnixMilli(), Quarantine: &c})
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderless {
		return errors.New("no leader")
	}
	before := g.state.QuarantineIndex()
	if r := g.state.Apply(g.state.Index()+1, data); r.Reason != "" {
		g.t.Errorf("report refused: %s", r.Message)
	}
	if g.state.QuarantineIndex() == before {
		return nil
	}
	list := g.state.Quarantine()
	for _, q := range g.entries {
		time.AfterFunc(simDelivery, func() { q.Update(list) })
	}
	return nil
}

// beginRun records the start of a run, and lets the target crash if its body does that.
func (s *simTarget) beginRun(w http.ResponseWriter, r *http.Request, body string) {
	l := &s.w.crashLog
	if l.crashesOn == nil {
		return
	}
	l.crashMu.Lock()
	if l.begun == nil {
		l.begun, l.crashed = make(map[string][]time.Time), make(map[string][]time.Time)
	}
	l.begun[body] = append(l.begun[body], time.Now())
	l.crashMu.Unlock()
	if !l.crashesOn(body) {
		return
	}
	if from := lastEventNumber(r) + 1; l.crashAfterEvents > 0 && strings.HasPrefix(r.URL.Path, "/notes/") {
		w.Header().Set("Id", r.Header.Get("Id"))
		writeEvents(w, from, from+l.crashAfterEvents-1)
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
	time.AfterFunc(cmp.Or(s.w.downTime, targetDownTime), s.startAnew)
	return true
}

func (s *simTarget) startAnew() {
	s.mu.Lock()
	gone := s.record
	gone.State = directory.StateGone
	if s.w.clocksGoBack {
		s.record.Born -= 2
	}
	s.record.Born++
	s.record.Sequence, s.record.State, s.leaving = 1, directory.StateReady, false
	if !s.w.keepNames {
		s.record.Target = api.TargetID(fmt.Sprintf("t-%s-%d", s.record.Address, s.record.Born))
	}
	if s.w.nextSoftware != nil {
		s.record.Software = s.w.nextSoftware(s.record.Software)
	}
	next := s.record
	s.mu.Unlock()
	s.serve()
	if s.w.announceDelay < 0 {
		return
	}
	time.AfterFunc(s.w.announceDelay, func() {
		if !s.w.keepNames {
			s.w.announce(gone)
		}
		s.w.announce(next)
		s.mu.Lock()
		s.announced = next.Born
		s.mu.Unlock()
	})
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
	body func(i int64) string
	// parts returns the parts of the prompt of the request with a number; nil for none.
	parts func(i int64) string
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
	var header []string
	if c.parts != nil {
		header = []string{"Parts", c.parts(n)}
	}
	r := e.askFor(context.Background(), n, c.path, c.body(n), header...)
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

// failed returns the responses other than successes.
func (c *callers) failed() []callerAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.answers), func(a callerAnswer) bool { return a.status == http.StatusOK })
}

func sameBody(body string) func(int64) string { return func(int64) string { return body } }

func ownBody(i int64) string { return "a body of its own: " + strconv.FormatInt(i, 10) }

func isCrashBody(body string) bool { return strings.HasPrefix(body, crashBody) }

func sortTimes(list []time.Time) {
	slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
}

// after returns how many times of a sorted list are after a time.
func after(list []time.Time, at time.Time) int {
	n := 0
	for _, t := range list {
		if t.After(at) {
			n++
		}
	}
	return n
}
