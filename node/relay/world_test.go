package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/upstream"
)

// The bounds of what a target may receive from one entry process, as the platform states them.
const (
	// backoffLatitude is the time after a response with a backoff within which requests may
	// still arrive; backoffAllowance is the number of requests that may arrive after it.
	backoffLatitude  = 500 * time.Millisecond
	backoffAllowance = 2
	// leavingLatitude is the time after an entry has forwarded a response that states leaving
	// within which callers' requests may still be sent to the target.
	leavingLatitude = 2 * time.Second
)

// world is a service of some targets and some entry processes in virtual time. Each target runs
// behind a server; connections are pipes.
type world struct {
	t    *testing.T
	rng  *rand.Rand
	live atomic.Pointer[routeconf.Table]
	// group grants retries to all entries.
	group *localPool
	// quarantine is the control group's part of the quarantine.
	quarantine *simQuarantine
	// members keep the origins of streams.
	members *simMembers
	targets []*simTarget
	entries []*simEntry

	mu sync.Mutex
	// sent holds when callers sent their requests.
	sent                       map[api.RequestID]time.Time
	served, refused, otherwise int
	// left counts the requests that their callers gave up.
	left int

	crashLog
	// connections holds what cuts the callers' connections to each entry process.
	connections map[*simBoot]map[*int]func()
	// keepNames lets targets that start anew keep their IDs, and announceDelay is the time after
	// which they announce themselves.
	keepNames     bool
	announceDelay time.Duration
	// downTime is how long a target that has crashed is down; zero for targetDownTime.
	downTime time.Duration
	// runPage answers the question for the run of a target in place of the target; nil for no change.
	runPage func(w http.ResponseWriter, r *http.Request) (answered bool)
	// clocksGoBack lets the clocks of targets be set back between two starts.
	clocksGoBack bool
	// learnDelay returns the time after its start at which an entry process learns what was announced of
	// the targets, or opens its link to a member; nil for none.
	learnDelay func() time.Duration
	directoryOfRuns
	// noStalls is set if no message and no connection is delayed.
	noStalls bool
	// engines answer requests for streams and the calls for their runs; nil where targets answer themselves.
	engines *simEngines
	// nextSoftware returns the software version of a target's next run, nil if it stays the same.
	nextSoftware func(api.SoftwareVersion) api.SoftwareVersion
}

// simEntry is the slot of an entry process; each start of the process has a boot.
type simEntry struct {
	w *world
	// mu guards boot.
	mu   sync.Mutex
	boot *simBoot
}

// simBoot is one entry process.
type simBoot struct {
	name       string
	relay      *Relay
	targets    *Targets
	reports    *LimitReports
	retries    *Retries
	quarantine *crash.Quarantine
	origins    *origins.Client
	// learned is set once the process knows of the targets, guarded by directoryOfRuns.
	learned bool
}

// simTarget is a target. Its fields change while it serves.
type simTarget struct {
	w      *world
	record directory.Record
	// announced is the start of the run that was announced last.
	announced int64

	mu sync.Mutex
	// ln and server are replaced when the target restarts after a crash.
	ln     *pipeListener
	server *http.Server
	// crashes is closed when the target has crashed, and replaced when it restarts.
	crashes chan struct{}

	rng *rand.Rand
	// rejects is the share of requests that the target rejects, and backoffs the values that it
	// sends with rejections. leaving is set while responses state that it is leaving.
	rejects  float64
	backoffs []string
	leaving  bool
	// onArrival is called before a response is made, nil for nothing.
	onArrival func()
	// intercept is called when a request arrives and returns what is done before it is answered;
	// nil for nothing.
	intercept func(boot, path string) func()
	// asked and left hold, by entry process and run of the target, the periods that the target
	// asked for, and when a response that states leaving was forwarded.
	asked map[simLink][]*askedPeriod
	left  map[simLink]time.Time
	// arrivals counts requests, by run.
	arrivals map[int64]int
	// firstAfter holds, by entry process, the first arrival after the time resumeFrom.
	firstAfter map[string]time.Time
	resumeFrom time.Time
}

// simLink identifies the requests from one entry process to one run of a target.
type simLink struct {
	boot string
	born int64
}

type askedPeriod struct {
	from, until time.Time
	got         int
}

// newWorld returns a world of targets and entries. Its routes are /once/, /pair/, /look/, /draft/,
// /brief/, /story/ and /notes/.
func newWorld(t *testing.T, seed uint64, targets, entries int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 0)), sent: make(map[api.RequestID]time.Time)}
	w.quarantine, w.members = newSimQuarantine(t), newSimMembers()
	w.group = &localPool{limits: enoughRetries, pool: retrybudget.NewPool()}
	split := []routeconf.Share{{Service: service, Weight: 1}}
	table, err := routeconf.Compile(routeconf.Config{
		Version: 1,
		Routes: []routeconf.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Timeout: 5 * time.Second, Kind: routeconf.KindOnce, MaxTargets: 1, Split: split},
			{Name: "pair", Host: "h", Prefix: "/pair/", Timeout: 5 * time.Second, Kind: routeconf.KindIdempotent, MaxTargets: 2, Split: split},
			{Name: "look", Host: "h", Prefix: "/look/", Timeout: 5 * time.Second, Kind: routeconf.KindIdempotent, MaxTargets: 3, Split: split},
			{Name: "draft", Host: "h", Prefix: "/draft/", Timeout: 30 * time.Second, Kind: routeconf.KindStream, MaxTargets: 3, Generates: true, Resumable: true, Objective: time.Second, Split: split},
			{Name: "brief", Host: "h", Prefix: "/brief/", Timeout: 30 * time.Second, Kind: routeconf.KindStream, MaxTargets: 3, Resumable: true, Objective: time.Second, Split: split},
			{Name: "story", Host: "h", Prefix: "/story/", Timeout: 30 * time.Second, Kind: routeconf.KindStream, MaxTargets: 1, Generates: true, Objective: time.Second, Split: split},
			{Name: "notes", Host: "h", Prefix: "/notes/", Timeout: 30 * time.Second, Kind: routeconf.KindStream, MaxTargets: 1, Generates: true, Objective: time.Second, Split: split},
		},
		Services: []routeconf.Service{{Name: service, Engine: &routeconf.Engine{
			CacheTokens: 1 << 14, BytesPerToken: 1, LinkMbps: 1e6, Moves: true, Backups: true, TokensPerEvent: 1, ReservationTTL: time.Second,
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.live.Store(table)
	for i := range targets {
		w.startTarget(i)
	}
	for i := range entries {
		e := &simEntry{w: w}
		w.entries = append(w.entries, e)
		e.start(fmt.Sprintf("entry-%d", i))
	}
	return w
}

func (w *world) startTarget(i int) {
	s := &simTarget{
		w: w, rng: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
		asked: make(map[simLink][]*askedPeriod), left: make(map[simLink]time.Time), arrivals: make(map[int64]int), firstAfter: make(map[string]time.Time),
	}
	s.record = directory.Record{Target: api.TargetID(fmt.Sprintf("t-%d", i)), Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z", Slots: 8, Sequence: 1, Born: 1, State: directory.StateReady, Software: "v1"}
	w.targets = append(w.targets, s)
	s.serve()
}

// serve starts the target's process.
func (s *simTarget) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln, s.crashes = &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, make(chan struct{})
	s.server = &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, bootKey{}, c.(*bootConn).boot)
	}}
	go func(server *http.Server, ln net.Listener) { _ = server.Serve(ln) }(s.server, s.ln) // returns when the server is closed
}

func (s *simTarget) name() api.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Target
}

func (s *simTarget) listener() *pipeListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln
}

// start starts the entry process anew.
func (e *simEntry) start(name string) {
	b := &simBoot{name: name, targets: NewTargets(), reports: NewLimitReports(newLocalGroup(), nopObserver{}), retries: NewRetries(enoughRetries, e.w.group)}
	e.w.afterLearning(func() { e.w.learn(b) })
	b.targets.SetOthers(nil, len(e.w.entries)-1)
	b.quarantine = crash.NewQuarantine(e.w.quarantine, nopObserver{})
	e.w.quarantine.join(b.quarantine)
	b.origins = origins.NewClient()
	e.w.members.join(e.w, b.origins)
	d := &bootDialer{w: e.w, boot: name, rng: rand.New(rand.NewPCG(e.w.rng.Uint64(), 2))}
	b.relay = New(Settings{Zone: "z"}, Ports{
		Live: &e.w.live, Targets: b.targets, Pool: upstream.NewPoolWithDialer(nopObserver{}, d), Dialect: plainDialect{}, Engines: callingEngines{},
		Retries: b.retries, LimitReports: b.reports, Quarantine: b.quarantine, Origins: b.origins, Observer: nopObserver{},
	})
	e.mu.Lock()
	e.boot = b
	e.mu.Unlock()
}

func (e *simEntry) current() *simBoot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// restart begins a new run of the target at the same address under the same ID.
func (s *simTarget) restart() {
	s.mu.Lock()
	s.record.Born++
	s.record.Sequence, s.record.State = 1, directory.StateReady
	s.leaving, s.rejects = false, 0
	r := s.record
	s.mu.Unlock()
	s.w.announce(r)
}

// rename lets the next run have another name, and ends the announced one of the last.
func (s *simTarget) rename() {
	gone := s.record
	gone.State = directory.StateGone
	s.w.announce(gone)
	s.record.Target = "renamed"
}

func (s *simTarget) drain() {
	s.mu.Lock()
	s.record.Sequence++
	s.record.State = directory.StateLeaving
	r := s.record
	s.mu.Unlock()
	s.w.announce(r)
}

// set changes how the target responds.
func (s *simTarget) set(rejects float64, leaving bool, backoffs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects, s.leaving, s.backoffs = rejects, leaving, backoffs
}

// oneWay returns the time that a message takes: a few milliseconds, sometimes more.
func (s *simTarget) oneWay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.IntN(50) == 0 && !s.w.noStalls {
		return time.Duration(s.rng.Int64N(int64(100 * time.Millisecond)))
	}
	return time.Duration(s.rng.ExpFloat64() * float64(time.Millisecond))
}

// arrive records the arrival of a request, checks it, and decides the response.
func (s *simTarget) arrive(boot string, r *http.Request) (link simLink, backoff string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	link = simLink{boot, s.record.Born}
	s.arrivals[s.record.Born]++
	if _, ok := s.firstAfter[boot]; !ok && !s.resumeFrom.IsZero() && now.After(s.resumeFrom) {
		s.firstAfter[boot] = now
	}
	for _, p := range s.asked[link] {
		if !now.After(p.from) || !now.Before(p.until) {
			continue
		}
		p.got++
		if p.got > backoffAllowance {
			s.w.t.Errorf("%s: %s of %s got %d requests in a backoff that ends in %v, the last one %s", now.Format("05.000"), s.record.Target, boot, p.got, p.until.Sub(now), r.URL)
		}
	}
	id := api.RequestID(r.Header.Get("Id"))
	if at, ok := s.left[link]; ok && id != "" && s.w.sentAt(id).Sub(at) > leavingLatitude {
		s.w.t.Errorf("%s: %s got request %s of %s, sent %v after its leaving was forwarded", now.Format("05.000"), s.record.Target, id, boot, s.w.sentAt(id).Sub(at))
	}
	if s.rng.Float64() < s.rejects {
		backoff = s.backoffs[s.rng.IntN(len(s.backoffs))]
	}
	return link, backoff, s.leaving
}

// errStatus500 is the panic value of an intercepted request that is answered with status 500.
var errStatus500 = errors.New("status 500")

// failed calls then, and reports whether the target has answered with status 500.
func (s *simTarget) failed(w http.ResponseWriter, then func()) (yes bool) {
	time.Sleep(s.oneWay())
	defer func() {
		switch p := recover(); p {
		case nil:
		case errStatus500:
			w.WriteHeader(http.StatusInternalServerError)
			yes = true
		default:
			panic(p)
		}
	}()
	then()
	return false
}

// askFor records that the target has rejected a request with a backoff. A response that the entry
// process no longer reads, because the caller has left, asks for nothing.
func (s *simTarget) askFor(link simLink, backoff string, w http.ResponseWriter) {
	d, err := time.ParseDuration(backoff)
	if err != nil || d <= 0 || http.NewResponseController(w).Flush() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.asked[link] = append(s.asked[link], &askedPeriod{from: now.Add(backoffLatitude), until: now.Add(d)})
}

func (w *world) sentAt(id api.RequestID) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id]
}

// ServeHTTP implements http.Handler.
func (s *simTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // incomplete if the caller has left
	time.Sleep(s.oneWay())
	s.beginRun(w, r, string(body))
	boot, _ := r.Context().Value(bootKey{}).(string)
	if s.intercept != nil && s.failed(w, s.intercept(boot, r.URL.Path)) {
		return
	}
	link, backoff, leaving := s.arrive(boot, r)
	if s.onArrival != nil {
		s.onArrival()
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	if r.URL.Path == "/run" && s.w.runPage != nil && s.w.runPage(w, r) {
		return
	}
	w.Header().Set("Run", fmt.Sprintf("%s/%d", s.name(), link.born))
	if leaving {
		w.Header().Set("Leaving", "1")
	}
	time.Sleep(s.oneWay())
	switch {
	case backoff != "":
		reject(w, backoff)
		s.askFor(link, backoff, w)
	case s.w.engines != nil && s.w.engines.serve(s, w, r):
	case strings.HasPrefix(r.URL.Path, "/draft/"), strings.HasPrefix(r.URL.Path, "/story/"):
		s.writeDraft(w, r)
	case strings.HasPrefix(r.URL.Path, "/brief/"):
		writeEvents(w, lastEventNumber(r)+1, 1)
	case strings.HasPrefix(r.URL.Path, "/notes/"):
		for i := lastEventNumber(r) + 1; i <= 20; i++ {
			sleep(r.Context(), 50*time.Millisecond)
			writeEvents(w, i, i)
		}
	default:
		sleep(r.Context(), 10*time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}
}

// forwarded records that an entry process has forwarded the header of a response.
func (w *world) forwarded(boot string, h http.Header) {
	if h.Get("Leaving") == "" {
		return
	}
	name, born, _ := strings.Cut(h.Get("Run"), "/")
	n, _ := strconv.ParseInt(born, 10, 64)
	for _, s := range w.targets {
		if string(s.record.Target) != name {
			continue
		}
		s.mu.Lock()
		if _, ok := s.left[simLink{boot, n}]; !ok {
			s.left[simLink{boot, n}] = time.Now()
		}
		s.mu.Unlock()
	}
}

// stop ends all servers, so that no goroutine is left.
func (w *world) stop() {
	for _, s := range w.targets {
		s.mu.Lock()
		_ = s.ln.Close()
		_ = s.server.Close()
		s.mu.Unlock()
	}
	for _, e := range w.entries {
		e.current().relay.Stop()
		e.current().reports.Wait()
		e.current().retries.Wait()
	}
}

var paths = []string{"/once/x", "/look/x", "/notes/x"}

// run makes the callers of all entries send requests for a time, perSecond to each entry.
func (w *world) run(d time.Duration, perSecond float64) {
	var all sync.WaitGroup
	var next atomic.Int64
	for _, e := range w.entries {
		own := rand.New(rand.NewPCG(w.rng.Uint64(), 3))
		all.Go(func() {
			end := time.Now().Add(d)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(own.ExpFloat64() / perSecond * float64(time.Second)))
				path, leaves := paths[own.IntN(len(paths))], own.IntN(20) == 0
				ctx, cancel := context.WithCancel(context.Background())
				if leaves {
					time.AfterFunc(time.Duration(own.Int64N(int64(time.Second))), cancel)
				}
				burst := 1
				if own.IntN(10) == 0 {
					burst = 5
				}
				var together sync.WaitGroup
				for range burst {
					together.Go(func() { e.ask(ctx, next.Add(1), path) })
				}
				all.Go(func() {
					defer cancel()
					together.Wait()
				})
			}
		})
	}
	all.Wait()
}
