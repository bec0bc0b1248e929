package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// plainDialect is a Dialect with short header names, unlike those of any real platform.
type plainDialect struct{}

func (plainDialect) Ask(h http.Header) (Ask, error) {
	if h.Get("Bad") != "" {
		return Ask{}, errors.New("bad")
	}
	most, _ := strconv.Atoi(h.Get("Most"))
	var parts []string
	if v := h.Get("Parts"); v != "" {
		parts = strings.Split(v, ",")
	}
	patience := 20 * time.Second
	if ms, err := strconv.Atoi(h.Get("Patience")); err == nil {
		patience = time.Duration(ms) * time.Millisecond
	}
	return Ask{Request: api.RequestID(h.Get("Id")), Key: h.Get("Key"), LastEvent: h.Get("Last"), Resumes: api.RequestID(h.Get("Resumes")), Parts: parts, MaxTokens: most, Patience: patience}, nil
}

func (plainDialect) Direct(h http.Header, d Directive) {
	h.Del("Key")
	h.Set("Target", string(d.Target))
	h.Set("Customer", string(d.Customer))
	h.Set("Copy-To", d.CopyTo)
	h.Set("Reservation", d.Reservation)
	h.Set("Copy-From", d.CopyFrom.ID)
	h.Set("Last", d.LastEvent)
}

func (plainDialect) Reply(status int, h http.Header) Reply {
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	backoff, _ := time.ParseDuration(h.Get("Backoff"))
	return Reply{
		Backoff: backoff, Leaving: h.Get("Leaving") != "",
		Request: api.RequestID(h.Get("Id")), NotRun: h.Get("Not-Run") != "", WrongTarget: status == http.StatusMisdirectedRequest,
		Limited: err == nil, Limit: limit, Sealed: h.Get("Unsealed") == "",
	}
}

// nopObserver is an Observer that ignores all events.
type nopObserver struct{ nopFaultObserver }

func (nopObserver) Refused(*Request, int, api.Reason)                                            {}
func (nopObserver) RefusalChecked(*Request, uint64, api.Reason, api.Reason, time.Duration)       {}
func (nopObserver) OriginFound(*Request, origin.Origin, string, time.Duration, error)            {}
func (nopObserver) RunConfirmed(*Request, *Target, error)                                        {}
func (nopObserver) Held(*Request, time.Duration)                                                 {}
func (nopObserver) NoRoom(*Request, *Target, error)                                              {}
func (nopObserver) Sent(*Request, *Target, string)                                               {}
func (nopObserver) TargetCrashed(*Target, []LostRequest)                                         {}
func (nopObserver) Quarantined(quarantine.Record, time.Duration)                                 {}
func (nopObserver) Unquarantined(quarantine.Record)                                              {}
func (nopObserver) QuarantineNotReported(quarantine.Command, error)                              {}
func (nopObserver) Attempted(*Request, *Target, string, error)                                   {}
func (nopObserver) Copied(*Request, *Target, *Target, bool, time.Duration, error)                {}
func (nopObserver) RetryGranted(*Request, string, RetryVerdict)                                  {}
func (nopObserver) RunLeft(*Request, *Target, string)                                            {}
func (nopObserver) StopCalled(*Request, *Target, StopCall)                                       {}
func (nopObserver) LeftRunExamined(*Request, *Target, time.Duration, int, error)                 {}
func (nopObserver) RunStopped(*Request, *Target, handoff.Work, time.Duration, error)             {}
func (nopObserver) ConnectionEnded(*Request, *Target, handoff.ConnectionEnd, time.Duration)      {}
func (nopObserver) Dropped(*Request, *Target, error)                                             {}
func (nopObserver) LimitedSend(*Request, *Target, targetlimit.Statement, RetryVerdict)           {}
func (nopObserver) LimitNotStated(*Target, error)                                                {}
func (nopObserver) BackoffAsked(*Request, *Target, time.Duration, time.Time, time.Time)          {}
func (nopObserver) LeavingStated(*Request, *Target)                                              {}
func (nopObserver) StatementUnreadable(*Request, *Target, error)                                 {}
func (nopObserver) LimitChanged(*Request, *Target, targetlimit.Statement, targetlimit.Statement) {}
func (nopObserver) ColdStart(*Request, *Target, RetryVerdict)                                    {}
func (nopObserver) RetryDenied(*Request, string, RetryVerdict)                                   {}
func (nopObserver) MigrationSkipped(*Request, *Target, string)                                   {}
func (nopObserver) Migrated(*Request, *Target, *Target, string, time.Duration)                   {}
func (nopObserver) PaceChanged(*Target, time.Duration, time.Duration, bool)                      {}
func (nopObserver) Placed(*Request, *Target, time.Duration)                                      {}
func (nopObserver) MigrationPaused(*Request, *Target, *Target, MigrationPause)                   {}
func (nopObserver) Ended(*Request, int, string)                                                  {}
func (nopObserver) Dialled(string, error)                                                        {}

// copyFunc implements Engines with a function for the copies.
type copyFunc func(at string, to string, stop bool) (Copy, error)

// Move implements Engines.
func (m copyFunc) Move(_ context.Context, at Peer, _ api.RequestID, to string, stop bool) (Copy, error) {
	return m(at.Address(), to, stop)
}

// Drop implements Engines.
func (copyFunc) Drop(context.Context, Peer, string) error { return nil }

// Events implements Engines.
func (copyFunc) Events(context.Context, Peer, api.RequestID) (int, error) { return 0, ErrNoRun }

// Run implements Engines.
func (copyFunc) Run(context.Context, Peer) (int64, error) { return 1, nil }

// Reserve implements Engines. It always succeeds.
func (copyFunc) Reserve(context.Context, Peer, int, time.Duration) (string, error) {
	return "all", nil
}

var errNoCopy = errors.New("copy failed")

// noCopies are engines that make no copies, and drop a request whose connection closes.
var noCopies = copyFunc(func(_, _ string, stop bool) (Copy, error) {
	if stop {
		return Copy{}, ErrNoRun
	}
	return Copy{}, errNoCopy
})

// fixture is a relay in front of some targets.
type fixture struct {
	c       *qt.C
	targets *Targets
	live    atomic.Pointer[routeconf.Table]
	url     string
	relay   *Relay
	group   *localPool
}

const service = api.ServiceID("s")

// enoughRetries is a budget that no test exhausts.
var enoughRetries = retrybudget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}

func newFixture(t *testing.T, route routeconf.Route, engines Engines) *fixture {
	return newFixtureWithRetries(t, route, engines, enoughRetries)
}

func newFixtureWithRetries(t *testing.T, route routeconf.Route, engines Engines, limits retrybudget.Limits) *fixture {
	s := &fixture{c: qt.New(t), targets: NewTargets()}
	route.Name, route.Host, route.Prefix, route.Timeout = "r", "127.0.0.1", "/a/", 20*time.Second
	route.Split = []routeconf.Share{{Service: service, Weight: 1}}
	engine := &routeconf.Engine{CacheTokens: 1 << 20, BytesPerToken: 1, LinkMbps: 1e6, Moves: true, Backups: true, TokensPerEvent: 1}
	table, err := routeconf.Compile(routeconf.Config{
		Version: 1, Routes: []routeconf.Route{route},
		Services:     []routeconf.Service{{Name: service, Engine: engine}},
		Customers:    []routeconf.Customer{{Name: "cathedral", Keys: []string{"k"}}},
		Limits:       routeconf.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 10},
		HasCustomers: true,
	})
	s.c.Assert(err, qt.IsNil)
	s.live.Store(table)
	s.group = &localPool{limits: limits, pool: retrybudget.NewPool()}
	r := New(Settings{Zone: "z"}, Ports{
		Live: &s.live, Targets: s.targets, Pool: upstream.NewPool(nopObserver{}), Dialect: plainDialect{}, Engines: engines,
		Retries: NewRetries(limits, s.group), LimitReports: NewLimitReports(newLocalGroup(), nopObserver{}), Observer: nopObserver{},
	})
	s.relay, s.url = r, s.serve(r)
	return s
}

// serve starts a server for the relay, and returns its URL.
func (s *fixture) serve(r *Relay) string {
	server := httptest.NewServer(r)
	s.c.TB.(*testing.T).Cleanup(server.Close)
	return server.URL
}

// target starts a target that answers with h. Targets in zone z are preferred.
func (s *fixture) target(name string, zone api.Zone, h http.HandlerFunc) directory.Record {
	server := httptest.NewServer(h)
	s.c.TB.(*testing.T).Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s.announce(name, zone, server)
}

// announce announces a target that is ready.
func (s *fixture) announce(name string, zone api.Zone, server *httptest.Server) directory.Record {
	r := directory.Record{Target: api.TargetID(name), Service: service, Address: server.Listener.Addr().String(), Zone: zone, Slots: 8, Sequence: 1, State: directory.StateReady, Software: "v1"}
	s.targets.Update([]directory.Record{r})
	return r
}

func (s *fixture) drain(r directory.Record) {
	r.State = directory.StateLeaving
	s.targets.Update([]directory.Record{r})
}

func (s *fixture) ask(path string, header ...string) (*http.Response, string, error) {
	return s.askAt(s.url, path, header...)
}

func (s *fixture) askAt(url, path string, header ...string) (*http.Response, string, error) {
	return s.post(url+path, strings.NewReader("a prompt"), header...)
}

func (s *fixture) post(url string, body io.Reader, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, url, body)
	s.c.Assert(err, qt.IsNil)
	req.Header.Set("Id", "1")
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, string(answer), err
}

// writeEvents writes numbered events, and flushes after each one.
func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func lastEventNumber(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Last"))
	return n
}

// TestPlainRequests checks the result of a plain request for each kind of route and behaviour
// of its target. lose breaks the connection after the request was read, shed states that the
// request was not run, and fail answers with an error of the target's own.
func TestPlainRequests(t *testing.T) {
	type behaviour string
	const serve, lose, shed, fail behaviour = "serve", "lose", "shed", "fail"
	for _, tt := range []struct {
		name     string
		kind     routeconf.Kind
		most     int
		first    behaviour
		second   behaviour
		status   int
		arrivals int32
	}{
		{"served", routeconf.KindOnce, 1, serve, serve, 200, 1},
		{"a booking whose response is lost is not sent again", routeconf.KindOnce, 2, lose, serve, 502, 1},
		{"a lookup whose response is lost is sent again", routeconf.KindIdempotent, 2, lose, serve, 200, 2},
		{"a lookup is sent to no more targets than the route allows", routeconf.KindIdempotent, 1, lose, serve, 502, 1},
		{"a booking that was not run goes to another target", routeconf.KindOnce, 2, shed, serve, 200, 2},
		{"a booking that was not run is refused if only one target may be tried", routeconf.KindOnce, 1, shed, serve, 503, 1},
		{"a booking's error response is forwarded", routeconf.KindOnce, 2, fail, serve, 500, 1},
		{"a lookup's error response is replaced by that of another target", routeconf.KindIdempotent, 2, fail, serve, 200, 2},
		{"an error response is forwarded if the other target's response is lost", routeconf.KindIdempotent, 2, fail, lose, 500, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: tt.kind, MaxTargets: tt.most}, noCopies)
			var arrivals atomic.Int32
			h := func(w http.ResponseWriter, r *http.Request) {
				do := tt.first
				if arrivals.Add(1) > 1 {
					do = tt.second
				}
				_, _ = io.ReadAll(r.Body)
				switch do {
				case lose:
					panic(http.ErrAbortHandler)
				case shed:
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				case fail:
					http.Error(w, "internal error", http.StatusInternalServerError)
				default:
					fmt.Fprint(w, "booked")
				}
			}
			s.target("a", "z", h)
			s.target("b", "z", h)
			resp, _, err := s.ask("/a/x")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(resp.StatusCode, qt.Equals, tt.status)
			s.c.Assert(arrivals.Load(), qt.Equals, tt.arrivals)
			if tt.status == http.StatusServiceUnavailable {
				s.c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

// TestRefusals checks requests that must not reach any target.
func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		path   string
		header []string
		status int
	}{
		{"unknown key", "/a/x", []string{"Key", "other"}, http.StatusUnauthorized},
		{"no route", "/b/x", nil, http.StatusNotFound},
		{"unreadable headers", "/a/x", []string{"Bad", "1"}, http.StatusBadRequest},
		{"headers too large", "/a/x", []string{"Other", strings.Repeat("x", 5<<10)}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
			s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("a target received the request") })
			resp, _, err := s.ask(tt.path, tt.header...)
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(resp.StatusCode, qt.Equals, tt.status)
		})
	}
}

// TestTargetGetsTheRequestAsItIs checks that a target receives the request as the caller sent
// it, with the customer's name and without the key.
func TestTargetGetsTheRequestAsItIs(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	s.target("a", "z", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", string(body), " ", r.Header.Get("Customer"), " ", r.Header.Get("Key"), " ", r.Header.Get("Target"), " ", r.Header.Get("Other"))
	})
	_, body, err := s.ask("/a/%7Ex//y?z=%20&w", "Other", "o", "Connection", "Hop", "Hop", "h")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(body, qt.Equals, "POST /a/%7Ex//y?z=%20&w a prompt cathedral  a o")
}

// TestEngineIsLetGoWhenTheCallerLeaves guards against an engine that continues to work on a
// request after the caller has closed its connection.
func TestEngineIsLetGoWhenTheCallerLeaves(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noCopies)
	released := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	s.target("a", "z", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		writeEvents(w, 1, 1)
		cancel()
		<-r.Context().Done()
		close(released)
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/a/x", strings.NewReader("p"))
	s.c.Assert(err, qt.IsNil)
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_, _ = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	<-released
}

// TestRequestIsHeldWhileTheEntryStarts guards against refusing requests to a process that has
// just started. The configuration and the first target arrive shortly after the request, which
// has to wait for them: a refused caller would come back later than that, or not at all.
func TestRequestIsHeldWhileTheEntryStarts(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	table := s.live.Swap(nil)
	done := make(chan int, 1)
	go func() {
		resp, _, err := s.ask("/a/x")
		if err != nil {
			t.Error(err)
			done <- 0
			return
		}
		done <- resp.StatusCode
	}()
	s.live.Store(table)
	s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	s.c.Assert(<-done, qt.Equals, http.StatusOK)
}

// TestBodyAboveItsBoundIsRefused checks that a body above the configured limit is refused
// before any target receives it.
func TestBodyAboveItsBoundIsRefused(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noCopies)
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { t.Error("a target received the request") })
	req, err := http.NewRequest(http.MethodPost, s.url+"/a/x", strings.NewReader(strings.Repeat("x", 2<<10)))
	s.c.Assert(err, qt.IsNil)
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	s.c.Assert(err, qt.IsNil)
	resp.Body.Close()
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestLookupThatMayHaveRunIsNotRefused guards against a refusal that promises the request has
// not been run. The only target reads an idempotent request and its response is lost; with no
// other target to try, the caller gets 502, which promises nothing.
func TestLookupThatMayHaveRunIsNotRefused(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindIdempotent, MaxTargets: 2}, noCopies)
	s.target("a", "z", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	resp, _, err := s.ask("/a/x")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
}

// localPool grants retries like a control group of one member.
type localPool struct {
	limits retrybudget.Limits
	mu     sync.Mutex
	pool   *retrybudget.Pool
	// still makes the pool's clock stand still at now, in milliseconds.
	still bool
	now   int64
}

func (p *localPool) Retry(_ context.Context, ask retrybudget.Ask) (retrybudget.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ask.Limits = ask.LimitsOf(p.limits)
	if p.still {
		return p.pool.Step(p.now, ask), nil
	}
	return p.pool.Step(time.Now().UnixMilli(), ask), nil
}
