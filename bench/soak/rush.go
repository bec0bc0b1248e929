package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
	"github.com/sourcegraph/conc"
)

// rushSettings describes a run in which most connections go to one entry.
type rushSettings struct {
	// quota is the processor time of each entry. If its share is zero, the entry with most
	// connections shares one processor with busy processes instead.
	quota quota
	// rate is the number of requests a second in the calm, factor its multiple afterwards.
	rate   float64
	factor float64
	// streams is the share of requests that are streams.
	streams float64
	// body is the size of a booking's body, in bytes; zero for a short one.
	body int
	// reuse is the number of requests on one connection.
	reuse int
	// again is set if callers whose connection is closed unread come back at once.
	again bool
	// turns is set if the load moves to a second entry half-way.
	turns bool
	// stop is set if the entry receives SIGTERM under the load.
	stop bool
}

const (
	// rushBusy is the number of processes that keep the processor busy on which the entry runs.
	rushBusy = 6
	// A run is calm for rushCalm, then has the higher rate for rushTime, of which the part after
	// rushSettle counts, and is calm again. Callers count again rushRecovery later.
	rushCalm     = 6 * time.Second
	rushTime     = 13 * time.Second
	rushSettle   = 3 * time.Second
	rushRecovery = time.Second
	// rushShare is the least share of requests that an entry serves of those that it has read.
	rushShare = 0.95
	// rushTo is the share of requests that go to one entry.
	rushTo = 0.85
	// rushPatience is how long a caller waits for a response, streamPatience for the first event of
	// a stream, and streamGap for each further one.
	rushPatience   = time.Second
	streamPatience = 1800 * time.Millisecond
	streamGap      = 2 * time.Second
	// rushLeft is how long after a caller has left its request may still reach a target.
	rushLeft = 500 * time.Millisecond
	// rushEvents is the number of events of a stream, rushWork the time of a target for each and for a
	// booking.
	rushEvents  = 100
	rushWork    = 30 * time.Millisecond
	rushTargets = 6
	rushTick    = 5 * time.Millisecond
)

// rushRun is the load of one run.
type rushRun struct {
	set     rushSettings
	entries []string
	next    atomic.Int64
	body    string
	sockets socketTable
	// readinessChecks and notReady are those of the first entry.
	readinessChecks, notReady int

	mu sync.Mutex
	// ran holds when each request began to run at a target, left when its caller left.
	ran  map[api.RequestID]time.Time
	left map[api.RequestID]time.Time
}

// runRush opens more connections to one entry than it has processor time for. It is started by hand:
// its figures depend on the machine.
func runRush(ctx context.Context, config settings) error {
	config.dir, config.entries = filepath.Join(config.dir, "rush"), 6
	r := &rushRun{set: config.rush, ran: map[api.RequestID]time.Time{}, left: map[api.RequestID]time.Time{}, body: strings.Repeat("x", config.rush.body)}
	s, err := startSite(config)
	defer s.stop()
	if err != nil {
		return err
	}
	if err := r.startTargets(s); err != nil {
		return err
	}
	ops := &operators{members: s.fleet.operators(), check: s.check}
	if err := bootstrap(ctx, s.fleet, ops, rand.New(rand.NewPCG(config.seed, 1))); err != nil {
		return err
	}
	for _, n := range s.fleet.entries {
		r.entries = append(r.entries, n.config.Callers)
	}
	sleep(ctx, 2*time.Second) // all entries know the targets
	release, err := r.limitProcessors(config.out, s.fleet.entries)
	defer release()
	if err != nil {
		return err
	}
	return r.run(ctx, config, s.fleet)
}

// startTargets starts the site's targets.
func (r *rushRun) startTargets(s *site) error {
	for i := range 2 * rushTargets {
		p := &targetSlot{
			service: []api.ServiceID{serviceA, serviceWriters}[i%2], zone: ownZone, control: s.fleet.operators(), number: i, work: rushWork,
			listen:     hostPort(s.addresses.listen(groupTarget, i), portTarget),
			advertised: hostPort(s.addresses.advertised(groupTarget, i), portTarget),
			onRun:      r.recordRun,
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

func (r *rushRun) recordRun(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[run.Request] = run.Began
}

func (r *rushRun) recordLeft(id api.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[id] = time.Now()
}

// ranLate returns how many requests whose callers left were run at all, and how many of them began
// later than rushLeft after that.
func (r *rushRun) ranLate() (ran, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, left := range r.left {
		began, ok := r.ran[id]
		if !ok {
			continue
		}
		ran++
		if began.After(left.Add(rushLeft)) {
			late++
		}
	}
	return ran, late
}

// limitProcessors applies the quota to all entries, or puts busy processes beside the first.
func (r *rushRun) limitProcessors(out io.Writer, entries []*node) (release func(), err error) {
	if r.set.quota.share == 0 {
		return squeeze(entries[0])
	}
	var releases []func() time.Duration
	release = func() {
		for i, f := range releases {
			if longest := f(); i == 0 {
				fmt.Fprintf(out, "the entry was suspended for %v at the longest\n", longest.Round(time.Millisecond))
			}
		}
	}
	for _, n := range entries {
		f, err := r.set.quota.apply(n)
		if err != nil {
			return release, err
		}
		releases = append(releases, f)
	}
	return release, nil
}

// rushCounts counts what came of requests at the first attempt.
type rushCounts struct {
	asked, served, failed, unread, unacceptedClosed atomic.Int64
	// unaccepted, acceptedUnread and unanswered count requests without an answer in time: on a
	// connection that the process has not accepted, has not read, or has read.
	unaccepted, acceptedUnread, unanswered atomic.Int64
}

func (c *rushCounts) String() string {
	return fmt.Sprintf("%d asked: %d served, %d refused or failed, %d closed unread, %d not connected, without an answer %d (%d not accepted, %d not read, %d read)",
		c.asked.Load(), c.served.Load(), c.failed.Load(), c.unread.Load(), c.unacceptedClosed.Load(),
		c.unaccepted.Load()+c.acceptedUnread.Load()+c.unanswered.Load(), c.unaccepted.Load(), c.acceptedUnread.Load(), c.unanswered.Load())
}

// read is the number of requests that a caller takes for read.
func (c *rushCounts) read() int64 {
	return c.asked.Load() - c.unread.Load() - c.unacceptedClosed.Load()
}

// phase is a part of a run. Requests count if they are sent later than settle after its start.
type phase struct {
	name   string
	rate   float64
	to     int // the entry with most connections, negative for none
	time   time.Duration
	settle time.Duration

	// used is the processor time that the first entry used, memory the most memory it occupied so far, in
	// kilobytes, and files the descriptors it has open at the end.
	used   time.Duration
	memory string
	files  int

	here, others rushCounts
	settling     rushCounts
}

func (r *rushRun) run(ctx context.Context, config settings, f *fleet) error {
	phases := []*phase{{name: "calm", rate: r.set.rate, to: -1, time: rushCalm}}
	high := r.set.rate * r.set.factor
	if r.set.turns {
		phases = append(phases, &phase{name: "rush", rate: high, time: rushTime, settle: rushSettle}, &phase{name: "rush at another", rate: high, to: 1, time: rushTime, settle: rushSettle})
	} else {
		phases = append(phases, &phase{name: "rush", rate: high, time: rushTime, settle: rushSettle})
	}
	phases = append(phases, &phase{name: "after", rate: r.set.rate, to: -1, time: rushCalm, settle: rushRecovery})
	var work, watch conc.WaitGroup
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	watch.Go(func() { r.watchReadiness(watched, f.entries[0].config.Ready) })
	pid := f.entries[0].pid()
	for i, p := range phases {
		if r.set.stop && i == 1 {
			work.Go(func() { sleep(ctx, 2*rushSettle); f.entries[0].signal(syscall.SIGTERM) })
		}
		before, _ := processorTime(pid) // the process may have ended, by rushSettings.stop
		r.load(ctx, p, &work)
		after, _ := processorTime(pid)
		p.used = max(after-before, 0)
		p.memory, p.files = occupied(pid)
	}
	work.Wait()
	stopWatch()
	watch.Wait()
	return r.verdict(config, phases)
}

// occupied returns the most memory that a process has occupied, and how many files it has open.
func occupied(pid int) (memory string, files int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "not running", 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	memory, _, _ = strings.Cut(strings.TrimSpace(rest), "\n")
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // it may have ended since
	return memory, len(list)
}

// watchReadiness counts the checks of an entry's readiness until ctx ends, and those that failed.
func (r *rushRun) watchReadiness(ctx context.Context, address string) {
	op := standin.NewOperator()
	for ctx.Err() == nil {
		r.readinessChecks++
		if !op.Ready(ctx, address) {
			r.notReady++
		}
		sleep(ctx, time.Second)
	}
}

// load sends requests for the time of a phase.
func (r *rushRun) load(ctx context.Context, p *phase, work *conc.WaitGroup) {
	tick := time.NewTicker(rushTick)
	defer tick.Stop()
	started, due := time.Now(), 0.0
	for time.Since(started) < p.time && ctx.Err() == nil {
		<-tick.C
		for due += p.rate * rushTick.Seconds(); due >= 1; due -= float64(max(r.set.reuse, 1)) {
			at := rand.IntN(len(r.entries))
			if p.to >= 0 && rand.Float64() < rushTo {
				at = p.to
			}
			into := &p.others
			if at == max(p.to, 0) {
				into = &p.here
			}
			if time.Since(started) < p.settle {
				into = &p.settling
			}
			work.Go(func() { r.connect(ctx, into, at) })
		}
	}
}

// connect sends requests over one connection, and once more over another if it is closed unread.
func (r *rushRun) connect(ctx context.Context, into *rushCounts, at int) {
	kind := "/book/x"
	if rand.Float64() < r.set.streams {
		kind = fmt.Sprintf("/notes/events/%d", rushEvents)
	}
	if !r.requests(into, r.entries[at], kind) && r.set.again && ctx.Err() == nil {
		var later rushCounts
		r.requests(&later, r.entries[rand.IntN(len(r.entries))], kind)
	}
}

// requests sends requests over one connection, and reports whether none of them was closed unread.
func (r *rushRun) requests(into *rushCounts, entry, path string) bool {
	into.asked.Add(1)
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		into.unacceptedClosed.Add(1)
		return false
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := range max(r.set.reuse, 1) {
		if i > 0 {
			into.asked.Add(1)
		}
		call := standin.Call{Entry: entry, Host: host, Path: path, Key: key, Request: api.RequestID(fmt.Sprintf("%016x", r.next.Add(1))), Body: r.body, Patience: routeTimeout, KeepOpen: i+1 < r.set.reuse}
		if strings.HasPrefix(path, "/book/") {
			call.Patience = rushPatience
		}
		ok, more := r.ask(into, conn, in, call)
		if !more {
			return ok
		}
	}
	return true
}

// ask sends one request. It reports whether the request was read, and whether the connection can be
// used further.
func (r *rushRun) ask(into *rushCounts, conn net.Conn, in *bufio.Reader, call standin.Call) (read, more bool) {
	patience := min(call.Patience, streamPatience)
	_ = conn.SetDeadline(time.Now().Add(patience)) // never fails on an open connection
	err := call.Write(conn)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(in, nil)
	}
	if err == nil {
		defer resp.Body.Close()
		err = readAll(conn, resp)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.recordLeft(call.Request)
		into.countUnanswered(&r.sockets, conn)
	case err != nil && resp == nil:
		into.unread.Add(1)
		return false, false
	case err != nil || resp.StatusCode != http.StatusOK || !standin.IsSealed(resp.Header, call.Request):
		into.failed.Add(1)
	default:
		into.served.Add(1)
		return true, !resp.Close
	}
	return true, false
}

// readAll reads a response to its end. A stream must hold all its events.
func readAll(conn net.Conn, resp *http.Response) error {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		_, err := io.Copy(io.Discard, resp.Body)
		return err
	}
	events := 0
	for lines := bufio.NewScanner(resp.Body); ; {
		if !lines.Scan() {
			if lines.Err() == nil && events < rushEvents {
				return io.ErrUnexpectedEOF
			}
			return lines.Err()
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
			_ = conn.SetDeadline(time.Now().Add(streamGap)) // never fails on an open connection
		}
	}
}

func (c *rushCounts) countUnanswered(sockets *socketTable, conn net.Conn) {
	state, ok := sockets.serverSocket(conn)
	switch {
	case ok && !state.accepted:
		c.unaccepted.Add(1)
	case ok && state.unread > 0:
		c.acceptedUnread.Add(1)
	default:
		c.unanswered.Add(1)
	}
}

// verdict prints what came of the requests, and returns an error if fewer were served than must be.
func (r *rushRun) verdict(config settings, phases []*phase) error {
	var failed error
	for _, p := range phases {
		fmt.Fprintf(config.out, "%s, entry (%.3f of a processor, %s at the most, %d files): %s\n%s, others: %s\n", p.name, p.used.Seconds()/p.time.Seconds(), p.memory, p.files, &p.here, p.name, &p.others)
		for _, c := range []*rushCounts{&p.here, &p.others} {
			if float64(c.served.Load()) < rushShare*float64(c.read()) {
				failed = errors.Join(failed, fmt.Errorf("%s: %d of %d requests were served that were read", p.name, c.served.Load(), c.read()))
			}
		}
		if closed := p.here.unread.Load() + p.others.unread.Load(); p.to < 0 && closed > 0 {
			failed = errors.Join(failed, fmt.Errorf("%s: %d connections were closed unread", p.name, closed))
		}
	}
	fmt.Fprintf(config.out, "the entry was not ready in %d of %d checks\n", r.notReady, r.readinessChecks)
	ran, late := r.ranLate()
	fmt.Fprintf(config.out, "callers left %d, of these %d run, %d later than %v after that\n", len(r.left), ran, late, rushLeft)
	if late > 0 {
		failed = errors.Join(failed, fmt.Errorf("%d requests were run for callers that had left", late))
	}
	return failed
}

// squeeze pins a process to one processor with busy processes. The function that it returns ends
// these.
func squeeze(n *node) (release func(), err error) {
	var busy []*exec.Cmd
	release = func() {
		for _, cmd := range busy {
			_ = cmd.Process.Kill() // it may have ended
			_ = cmd.Wait()         // reports that it was killed
		}
	}
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", n.pid()))
	if err != nil {
		return release, err
	}
	for _, t := range threads {
		id, err := strconv.Atoi(strings.TrimSpace(t.Name()))
		if err == nil {
			err = pin(id)
		}
		if err != nil {
			return release, err
		}
	}
	for range rushBusy {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		if err := cmd.Start(); err != nil {
			return release, err
		}
		busy = append(busy, cmd)
		if err := pin(cmd.Process.Pid); err != nil {
			return release, err
		}
	}
	return release, nil
}

// pin lets a thread run on the first processor only.
func pin(thread int) error {
	mask := uint64(1)
	_, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, uintptr(thread), unsafe.Sizeof(mask), uintptr(unsafe.Pointer(&mask)))
	if e != 0 {
		return fmt.Errorf("pin thread %d: %w", thread, e)
	}
	return nil
}
