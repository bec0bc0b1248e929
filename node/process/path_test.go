package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/callers"
	"almondseam.dev/node/standin"
	qt "github.com/frankban/quicktest"
)

func TestGenerationArrivesWhole(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 200)
	s.readAll()
	f.c.Assert(s.done, qt.IsTrue)
	f.c.Assert(s.text.String(), qt.Equals, expectedAnswer(1, "notes", 200))
}

// Two of three engines close the connection of their first request without a token. No
// token was delivered to the caller, so the request must be retried on another target, and
// every caller must get one engine's complete answer without an error.
func TestEngineDiesBeforeFirstTokenMovesTheRequest(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	// Two engines fail their first request, so that a failure occurs unless all requests
	// go to the third.
	cut := standin.Options{Faults: standin.Faults{CutAtRequest: 1}}
	f.agent("g1", f.engine(standin.Config{Seed: 1}, cut), e.links)
	f.agent("g2", f.engine(standin.Config{Seed: 1}, cut), e.links)
	f.agent("g3", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 3)
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			s := f.open(e.url, testKey, "notes", 50)
			s.readAll()
			f.c.Check(s.text.String(), qt.Equals, expectedAnswer(1, "notes", 50))
			f.c.Check(s.done, qt.IsTrue)
		})
	}
	wg.Wait()
}

// The engine dies after it has generated 40 tokens. The caller must be told that the answer
// was interrupted: another engine would generate a different answer, and parts of two
// answers must never be joined.
func TestEngineDiesMidAnswerInterruptsAndNeverSplices(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	die := standin.Faults{DieAtRequest: 1, DieAfterTokens: 40}
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Faults: die}), e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 200)
	s.read(10)
	f.agent("g2", f.engine(standin.Config{Seed: 2}, standin.Options{}), e.links)
	s.readAll()
	f.c.Assert(s.done, qt.IsFalse)
	f.c.Assert(s.err, qt.IsNotNil)
	f.c.Assert(s.err.Outcome, qt.Equals, api.OutcomeInterrupted)
	f.c.Assert(strings.HasPrefix(expectedAnswer(1, "notes", 200), s.text.String()), qt.IsTrue)
}

// The link between agent and entry is cut repeatedly while tokens are streamed. The agent
// dials again, the entry requests the rest from its offset, and the caller must get every
// token once, in order.
func TestCutLinkResumesWithoutLossOrRepeat(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	v := f.stallingProxy(e.links)
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), v.addr())
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 600)
	for i := 1; i <= 4; i++ {
		s.read(i * 60)
		v.cut()
	}
	s.readAll()
	f.c.Assert(s.err, qt.IsNil)
	f.c.Assert(s.text.String(), qt.Equals, expectedAnswer(1, "notes", 600))
}

// The link stalls with frames in flight and delivers them late. The caller must get comment
// lines meanwhile and the rest of the answer afterwards, once and in order.
func TestStalledLinkDeliversLate(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	v := f.stallingProxy(e.links)
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), v.addr())
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 400)
	s.read(30)
	v.stall()
	for s.lines.Scan() {
		if strings.HasPrefix(s.lines.Text(), ": ") {
			break // a keep-alive comment while the link is stalled
		}
		if data, ok := strings.CutPrefix(s.lines.Text(), "data: "); ok {
			s.parseData(data)
		}
	}
	v.resume()
	s.readAll()
	f.c.Assert(s.text.String(), qt.Equals, expectedAnswer(1, "notes", 400))
}

// The agent process is replaced during an answer. The new process has another incarnation
// and does not know the request, so the caller must get the outcome interrupted.
func TestAgentReplacedMidAnswerInterrupts(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	eng := f.engine(standin.Config{Seed: 1}, standin.Options{})
	_, stop := f.agent("g1", eng, e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 4000)
	s.read(20)
	_ = stop(0)
	f.agent("g1", eng, e.links)
	s.readAll()
	f.c.Assert(s.err, qt.IsNotNil)
	f.c.Assert(s.err.Outcome, qt.Equals, api.OutcomeInterrupted)
}

// The entry dies. The caller resumes through another entry with its request ID and last
// event ID and must get the rest of the same generation, which the agent has continued.
// Another customer with the same IDs must be refused.
func TestCallerComesBackThroughAnotherEntry(t *testing.T) {
	f := newFleet(t)
	e1, e2 := f.entry("e1"), f.entry("e2")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), e1.links, e2.links)
	f.untilTargets(e1, 1)
	f.untilTargets(e2, 1)
	s := f.open(e1.url, testKey, "notes", 800)
	s.read(50)
	_ = e1.stop(0)
	id, last := s.resp.Header.Get(callers.HeaderRequestID), s.lastID
	resume := []header{{callers.HeaderRequestID, id}, {"Last-Event-ID", last}}
	otherCustomer := f.open(e2.url, otherKey, "notes", 800, resume...)
	f.c.Assert(otherCustomer.err, qt.IsNotNil)
	f.c.Assert(otherCustomer.err.Code, qt.Equals, api.ReasonTargetGone)
	rest := f.open(e2.url, testKey, "notes", 800, resume...)
	rest.readAll()
	f.c.Assert(rest.err, qt.IsNil)
	f.c.Assert(rest.done, qt.IsTrue)
	f.c.Assert(s.text.String()+rest.text.String(), qt.Equals, expectedAnswer(1, "notes", 800))
}

const openStreams = 200

// The entry is stopped, as on SIGTERM, while 200 streams are open. None may be cut off: the listener is
// closed, every stream runs to its end, then the entry stops.
func TestEntryStopCutsNoStream(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 1)
	all := openMany(f, e.url, 60)
	stopped := make(chan error, 1)
	go func() { stopped <- e.stop(testTimeout) }()
	checkMany(f, all, 60)
	f.c.Assert(<-stopped, qt.IsNil)
}

// The agent is stopped, as on SIGTERM, while 200 streams are placed on it. Running requests
// must finish, and waiting ones must be returned as not run and started on the other target, without an
// error for any caller.
func TestAgentStopCutsNoStream(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	eng1 := f.engine(standin.Config{Seed: 1}, standin.Options{})
	_, stop1 := f.agent("g1", eng1, e.links)
	f.untilTargets(e, 1)
	all := openMany(f, e.url, 60)
	f.agent("g2", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 2)
	stopped := make(chan error, 1)
	go func() { stopped <- stop1(testTimeout) }()
	checkMany(f, all, 60)
	f.c.Assert(<-stopped, qt.IsNil)
}

func openMany(f *fleet, url string, tokens int) []*streamed {
	all := make([]*streamed, openStreams)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() { all[i] = f.open(url, testKey, fmt.Sprintf("note %d", i), tokens) })
	}
	wg.Wait()
	return all
}

func checkMany(f *fleet, all []*streamed, tokens int) {
	f.t.Helper()
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Go(s.readAll)
	}
	wg.Wait()
	for i, s := range all {
		f.c.Assert(s.err, qt.IsNil, qt.Commentf("stream %d", i))
		f.c.Assert(s.text.String(), qt.Equals, expectedAnswer(1, fmt.Sprintf("note %d", i), tokens))
	}
}

// A service reads a booking and closes the connection without an answer. The booking may
// have been made, so it must not be sent again: the service must see it exactly once, and
// the caller must get the outcome unknown.
func TestBookingIsNeverSentTwice(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	svc := newClosingService(f)
	f.agent("b1", svc.addr, e.links)
	f.agent("b2", svc.addr, e.links)
	f.untilTargets(e, 2)
	status, outcome := f.post(e.url + "/bookings/seat/7")
	f.c.Assert(status, qt.Equals, http.StatusBadGateway)
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeUnknown))
	f.c.Assert(svc.seen.Load(), qt.Equals, int64(1))
}

// With a repeatable method, the call must be retried on the other target, since running it
// twice does no harm.
func TestRepeatableCallIsTriedAgain(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	svc := newClosingService(f)
	f.agent("b1", svc.addr, e.links)
	f.agent("b2", svc.addr, e.links)
	f.untilTargets(e, 2)
	req, err := http.NewRequest(http.MethodGet, e.url+"/bookings/seat/7", nil)
	f.c.Assert(err, qt.IsNil)
	f.do(req)
	f.c.Assert(svc.seen.Load() > 1, qt.IsTrue)
}

func (f *fleet) post(url string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	f.c.Assert(err, qt.IsNil)
	return f.do(req)
}

func (f *fleet) do(req *http.Request) (int, string) {
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := testClient.Do(req)
	f.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	f.c.Assert(err, qt.IsNil)
	return resp.StatusCode, resp.Header.Get(callers.HeaderOutcome)
}

// closingService is a service that reads each request completely and closes the
// connection.
type closingService struct {
	addr string
	seen atomic.Int64
}

func newClosingService(f *fleet) *closingService {
	ln := listenLoopback(f.c)
	s := &closingService{addr: ln.Addr().String()}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.seen.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})}
	go func() { _ = srv.Serve(ln) }()
	f.t.Cleanup(func() { _ = srv.Close() })
	return s
}

// A caller disconnects while the engine generates no tokens. The generation must be
// cancelled at once, not only at the next write, so that it does not go on using the engine.
func TestCallerGoneCancelsTheGeneration(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	stall := standin.Faults{StallAtRequest: 1, StallAfterTokens: 5}
	a, _ := f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Faults: stall}), e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 500)
	s.read(5)
	f.c.Assert(a.agent.Idle(), qt.IsFalse)
	f.c.Assert(s.resp.Body.Close(), qt.IsNil)
	f.until("the agent is idle", a.agent.Idle)
}

func TestCallerMistakes(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 1)
	tests := []struct {
		name, key, path, body string
		status                int
		code                  api.Reason
	}{
		{"no key", "", "/v1/chat/completions", `{}`, 401, api.ReasonUnauthenticated},
		{"wrong key", "sk-nobody", "/v1/chat/completions", `{}`, 401, api.ReasonUnauthenticated},
		{"no JSON", testKey, "/v1/chat/completions", `{"model":`, 400, api.ReasonBadRequest},
		{"no messages", testKey, "/v1/chat/completions", `{"model":"standin"}`, 400, api.ReasonBadRequest},
		{"unknown model", testKey, "/v1/chat/completions", `{"model":"other","messages":[{}]}`, 404, api.ReasonUnknownModel},
		{"negative bound", testKey, "/v1/chat/completions", `{"model":"standin","messages":[{}],"max_tokens":-1}`, 400, api.ReasonBadRequest},
		{"prompt too long", testKey, "/v1/completions", `{"model":"standin","prompt":"` + strings.Repeat("long ", 40000) + `"}`, 413, api.ReasonTooLarge},
		{"unknown path", testKey, "/nothing/here", `{}`, 404, api.ReasonUnknownService},
		{"path outside its prefix", testKey, "/bookings/../nothing", `{}`, 404, api.ReasonUnknownService},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			req, err := http.NewRequest(http.MethodPost, e.url+tc.path, strings.NewReader(tc.body))
			c.Assert(err, qt.IsNil)
			if tc.key != "" {
				req.Header.Set("Authorization", "Bearer "+tc.key)
			}
			resp, err := testClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Assert(resp.StatusCode, qt.Equals, tc.status)
			c.Assert(resp.Header.Get(callers.HeaderOutcome), qt.Equals, string(api.OutcomeNotRun))
			c.Assert(resp.Header.Get(callers.HeaderReason), qt.Equals, string(tc.code))
		})
	}
}

// A plain HTTP client and a bare TCP connection that is closed at once reach the port for
// links. Neither may count as a target.
func TestLinkPortRefusesStrangers(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	resp, err := testClient.Get("http://" + e.links + "/link")
	f.c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	f.c.Assert(resp.StatusCode >= 400, qt.IsTrue)
	conn, err := net.Dial("tcp", e.links)
	f.c.Assert(err, qt.IsNil)
	_ = conn.Close()
	f.c.Assert(e.Targets(), qt.Equals, 0)
}

// An entry that is stopped immediately after its start, before its servers have taken over
// their listeners, must still stop.
func TestStopRightAfterStart(t *testing.T) {
	f := newFleet(t)
	for range 50 {
		e := f.entry("e1")
		_ = e.stop(testTimeout)
	}
}

// A generation takes longer than the maximum duration of one write to its caller. That
// limit is for callers that do not read; a caller that reads must get the whole answer,
// however long it takes.
func TestStreamOutlivesTheBoundOfOneWrite(t *testing.T) {
	f := newFleet(t)
	e := f.entryWithWriteTimeout("e1", 200*time.Millisecond)
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Speed: 1}), e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 100)
	s.readAll()
	f.c.Assert(s.err, qt.IsNil)
	f.c.Assert(s.text.String(), qt.Equals, expectedAnswer(1, "notes", 100))
}
