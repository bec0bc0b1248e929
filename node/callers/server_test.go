package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/routing"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The server library keeps a clock for the Date header and an idle-worker
	// sweep that sleeps on after Shutdown; neither holds anything of ours.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// fakeAgent answers offers as its test says, on a goroutine of its own.
type fakeAgent struct {
	at      *entry.AgentLink
	in      chan wire.Message
	cancels chan *wire.Cancel
	held    wire.Key // what it accepted last
}

func (a *fakeAgent) Send(m wire.Message) error {
	a.in <- m
	return nil
}

func (a *fakeAgent) Done() <-chan struct{} { return nil }

func (a *fakeAgent) run(do func(a *fakeAgent, o *wire.Offer)) {
	for m := range a.in {
		switch m := m.(type) {
		case *wire.BidRequest:
			a.at.Handle(&wire.Bid{Key: m.Key})
		case *wire.Offer:
			do(a, m)
		case *wire.Cancel:
			if m.Key != a.held {
				continue // of a bid that wasn't taken
			}
			a.cancels <- m
			a.final(&wire.Offer{Key: m.Key}, api.OutcomeInterrupted, api.ReasonCancelled)
		}
	}
}

func (a *fakeAgent) accept(o *wire.Offer) {
	a.held = o.Key
	a.at.Handle(&wire.Accepted{Key: o.Key, Generation: "g"})
}

func (a *fakeAgent) final(o *wire.Offer, out api.Outcome, why api.Reason, items ...string) {
	b := stream.NewBuffer(1 << 20)
	for _, it := range items {
		b.Append([]byte(it))
	}
	a.at.Handle(&wire.Final{Key: o.Key, Generation: "g", Count: b.End(), Sum: b.Sum(), Outcome: out, Reason: why})
}

// answer gives a whole response.
func (a *fakeAgent) answer(o *wire.Offer, body string, headers ...wire.Header) {
	a.accept(o)
	a.at.Handle(&wire.Head{Key: o.Key, Generation: "g", Status: 201, Headers: headers})
	a.at.Handle(&wire.Data{Key: o.Key, Generation: "g", N: 1, Packed: stream.Append(nil, []byte(body))})
	a.final(o, api.OutcomeCompleted, "", body)
}

// fakeLimiter grants everything and counts what is owed.
type fakeLimiter struct{ open atomic.Int32 }

func (l *fakeLimiter) Acquire(*fleetconfig.Customer, int, time.Time) (func(int), *api.Error) {
	l.open.Add(1)
	return func(int) { l.open.Add(-1) }, nil
}

// fakeClaimer decides as its test says and keeps the order of what it was told.
type fakeClaimer struct {
	decide func(n uint64) (claim.Decision, error)
	mu     sync.Mutex
	claims uint64
	log    []string
	last   claim.Report
}

func (f *fakeClaimer) note(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

func (f *fakeClaimer) Claim(_ context.Context, r claim.Request) (claim.Decision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims++
	f.note("claim at %s", r.Place.Target)
	return f.decide(f.claims)
}

func (f *fakeClaimer) Abandon(_ context.Context, k claim.Key, claimant string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("abandon %s %v", k.Name, strings.HasSuffix(claimant, "/1"))
	return nil
}

func (f *fakeClaimer) Settle(_ context.Context, r claim.Report) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("settle %d %s", r.Grant, r.Outcome)
	f.last = r
	return nil
}

// front is a server on loopback over a real entry and fake agents t1 and t2.
type front struct {
	c       *qt.C
	addr    string
	agents  []*fakeAgent
	limiter *fakeLimiter
	stop    func()
}

func newFront(t *testing.T, cfg Config, claimer Claimer, do func(a *fakeAgent, o *wire.Offer)) *front {
	return newFrontKeeping(t, "100ms", cfg, claimer, do)
}

// newFrontKeeping is newFront with a keep-alive interval.
func newFrontKeeping(t *testing.T, keep string, cfg Config, claimer Claimer, do func(a *fakeAgent, o *wire.Offer)) *front {
	c := qt.New(t)
	e := entry.New(entry.Config{}, entry.NewTablePlacer(routing.Options{Ask: 8, Local: 16, Foreign: 16}), entry.Attempts{Max: 2}, nil)
	f := &front{c: c, limiter: &fakeLimiter{}}
	var agents []*fakeAgent
	var work sync.WaitGroup
	for _, id := range []api.TargetID{"t1", "t2"} {
		a := &fakeAgent{in: make(chan wire.Message, 100), cancels: make(chan *wire.Cancel, 1)}
		a.at = e.Attach(a)
		work.Go(func() { a.run(do) })
		a.at.Handle(&wire.Announce{Target: id, Incarnation: 1, Zone: "lhr-a", Models: []api.ModelID{"standin"}, Services: []api.ServiceID{"bookings"}})
		agents = append(agents, a)
	}
	f.agents = agents
	srv := New(cfg, Ports{Live: testLive(t, keep), Entry: e, Limiter: f.limiter, Claimer: claimer})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.addr = ln.Addr().String()
	work.Go(func() { _ = srv.Serve(ln) })
	f.stop = sync.OnceFunc(func() {
		c.Check(srv.Drain(context.Background()), qt.IsNil)
		e.Wait()
		for _, a := range agents {
			a.at.Closed()
			close(a.in)
		}
		work.Wait()
		c.Check(f.limiter.open.Load(), qt.Equals, int32(0))
	})
	t.Cleanup(f.stop)
	return f
}

// conn is one caller's connection.
type conn struct {
	net.Conn
	c  *qt.C
	br *bufio.Reader
}

func (f *front) dial() *conn {
	nc, err := net.Dial("tcp", f.addr)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { _ = nc.Close() })
	return &conn{nc, f.c, bufio.NewReader(nc)}
}

// ask writes a request; head holds further header lines.
func (c *conn) ask(method, path, body, head string) *http.Response {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\n%sAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", method, path, head, deskKey, len(body), body)
	c.c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	c.c.Assert(err, qt.IsNil)
	return resp
}

func (c *conn) text(r *http.Response) string {
	b, err := io.ReadAll(r.Body)
	c.c.Assert(err, qt.IsNil)
	return string(b)
}

// The caller sees that its request lives while the engine says nothing, and the
// engine's work is cancelled when the caller hangs up. A failed write of the next
// sign of life tells that at the latest; when none is due for long, only a look
// at the socket does.
func TestSilentEngine(t *testing.T) {
	for name, tc := range map[string]struct {
		body, sign, keep string
		signs            int
	}{
		"stream":       {`{"model":"standin","prompt":"x","stream":true}`, ": queued position=0\n", "100ms", 3},
		"whole":        {`{"model":"standin","prompt":"x"}`, "\n", "100ms", 3},
		"quiet stream": {`{"model":"standin","prompt":"x","stream":true}`, ": queued position=0\n", "60s", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFrontKeeping(t, tc.keep, Config{}, nil, func(a *fakeAgent, o *wire.Offer) { a.accept(o) })
			c := f.dial()
			resp := c.ask("POST", pathCompletions, tc.body, "")
			f.c.Assert(resp.StatusCode, qt.Equals, 200)
			br := bufio.NewReader(resp.Body)
			for range tc.signs {
				line, err := br.ReadString('\n')
				f.c.Assert(err, qt.IsNil)
				if line != "\n" {
					f.c.Assert(line, qt.Equals, tc.sign)
				}
			}
			f.c.Assert(c.Close(), qt.IsNil)
			select {
			case <-f.agents[0].cancels:
			case <-f.agents[1].cancels:
			}
		})
	}
}

// Headers of one connection stay on it, both ways, and what this system says of
// the customer cannot be said by the caller.
func TestHopByHopHeaders(t *testing.T) {
	offers := make(chan *wire.Offer, 1)
	f := newFront(t, Config{}, nil, func(a *fakeAgent, o *wire.Offer) {
		offers <- o
		a.answer(o, "ok", wire.Header{Name: "X-Ok", Value: "1"}, wire.Header{Name: "Connection", Value: "X-Secret"},
			wire.Header{Name: "X-Secret", Value: "1"}, wire.Header{Name: "Keep-Alive", Value: "timeout=5"}, wire.Header{Name: "Content-Length", Value: "2"})
	})
	c := f.dial()
	resp := c.ask("GET", "/bookings/a%2Fb?q=1", "", "X-Good: 1\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\nTE: trailers\r\nProxy-Authorization: x\r\nAlmondseam-Customer: other\r\n")
	f.c.Assert(c.text(resp), qt.Equals, "ok")
	f.c.Assert(resp.StatusCode, qt.Equals, 201)
	f.c.Assert(resp.ContentLength, qt.Equals, int64(2))
	f.c.Assert(resp.Header.Get("X-Ok"), qt.Equals, "1")
	for _, gone := range []string{"X-Secret", "Keep-Alive"} {
		f.c.Assert(resp.Header.Values(gone), qt.HasLen, 0, qt.Commentf(gone))
	}
	o := <-offers
	f.c.Assert(o.Path, qt.Equals, "/bookings/a%2Fb?q=1")
	var got []string
	for _, h := range o.Headers {
		got = append(got, strings.ToLower(h.Name)+"="+h.Value)
	}
	slices.Sort(got)
	f.c.Assert(got, qt.DeepEquals, []string{"almondseam-customer=desk", "x-good=1"})
}

// What a request left behind is not changed by the next one on its connection.
// The HTTP library reads the second into the memory of the first, while the
// first may still be on its way to an agent.
func TestRequestOutlivesItsConnectionsMemory(t *testing.T) {
	offers := make(chan *wire.Offer, 2)
	f := newFront(t, Config{}, nil, func(a *fakeAgent, o *wire.Offer) {
		offers <- o
		if o.Service == "" {
			a.at.Handle(&wire.Refused{Key: o.Key, Reason: api.ReasonBadRequest})
			return
		}
		a.answer(o, "ok")
	})
	c := f.dial()
	c.text(c.ask("POST", "/bookings/first", "1111", "X-Name: first\r\n"))
	o := <-offers
	c.text(c.ask("PUT", "/bookings/other", "2222", "X-Name: other\r\n"))
	<-offers
	f.c.Assert(string(o.Body), qt.Equals, "1111")
	f.c.Assert(o.Path, qt.Equals, "/bookings/first")
	f.c.Assert(o.Method, qt.Equals, "POST")
	f.c.Assert(slices.Contains(o.Headers, wire.Header{Name: "X-Name", Value: "first"}), qt.IsTrue)

	first := `{"model":"standin","prompt":"1111"}`
	c.text(c.ask("POST", pathCompletions, first, ""))
	o = <-offers
	c.text(c.ask("POST", pathCompletions, strings.Replace(first, "1", "2", -1), ""))
	<-offers
	f.c.Assert(string(o.Body), qt.Equals, first)
}

// A request that this entry does not take costs no target anything, and its
// caller is told not_run.
func TestRefusedAtTheEntry(t *testing.T) {
	f := newFront(t, Config{MaxBody: 4 << 10, MaxHeader: 4 << 10}, nil, func(_ *fakeAgent, o *wire.Offer) {
		panic(fmt.Sprintf("offered %s %s %v %d", o.Method, o.Path, o.Headers, len(o.Body)))
	})
	for name, tc := range map[string]struct {
		method, path, body, head string
		status                   int
		reason                   api.Reason
	}{
		"other key":           {"POST", pathChat, "{}", "Authorization: Bearer no\r\n", 401, api.ReasonUnauthenticated},
		"no JSON":             {"POST", pathChat, "{", "", 400, api.ReasonBadRequest},
		"no such path":        {"GET", "/none", "", "", 404, api.ReasonUnknownService},
		"out of its path":     {"GET", "/bookings/../none", "", "", 404, api.ReasonUnknownService},
		"body of a service":   {"POST", "/bookings", strings.Repeat("x", 1025), "", 413, api.ReasonTooLarge},
		"body of all":         {"POST", "/bookings", strings.Repeat("x", 4097), "", 413, api.ReasonTooLarge},
		"header":              {"GET", "/bookings", "", "X-Long: " + strings.Repeat("x", 4097) + "\r\n", 413, api.ReasonTooLarge},
		"key too long":        {"POST", "/bookings", "", "Idempotency-Key: " + strings.Repeat("k", 256) + "\r\n", 400, api.ReasonBadRequest},
		"no control group":    {"POST", "/bookings", "", "Idempotency-Key: k\r\n", 503, api.ReasonControlUnavailable},
		"come back half":      {"POST", pathCompletions, `{"model":"standin","prompt":"x","stream":true}`, "Last-Event-ID: 3.g@t1\r\n", 400, api.ReasonBadRequest},
		"come back elsewhere": {"POST", pathCompletions, `{"model":"standin","prompt":"x","stream":true}`, "Last-Event-ID: 3.g@t9\r\nAlmondseam-Request-Id: r\r\n", 502, api.ReasonTargetGone},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			resp := f.dial().ask(tc.method, tc.path, tc.body, tc.head)
			c.Assert(resp.StatusCode, qt.Equals, tc.status)
			c.Assert(resp.Header.Get(HeaderReason), qt.Equals, string(tc.reason))
			if tc.reason != api.ReasonTargetGone {
				c.Assert(resp.Header.Get(HeaderOutcome), qt.Equals, string(api.OutcomeNotRun))
			}
		})
	}
}

// A caller dies, or goes silent, while it writes its booking. What the entry has
// read is no request: nothing may be offered for it, with half a body or none.
func TestBodyNeverWhole(t *testing.T) {
	for name, silent := range map[string]bool{"cut off": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			cfg := Config{ReadTimeout: time.Minute}
			if silent {
				cfg.ReadTimeout = 50 * time.Millisecond
			}
			f := newFront(t, cfg, nil, func(*fakeAgent, *wire.Offer) { panic("offered") })
			c := f.dial()
			_, err := fmt.Fprintf(c, "POST /bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 9\r\n\r\nhalf", deskKey)
			f.c.Assert(err, qt.IsNil)
			if !silent {
				f.c.Assert(c.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			}
			_, _ = io.Copy(io.Discard, c.br) // until the entry has closed
		})
	}
}

func decided(v claim.Verdict, r claim.Record) func(uint64) (claim.Decision, error) {
	return func(n uint64) (claim.Decision, error) {
		if v == claim.Granted {
			r.Grant = n
		}
		return claim.Decision{Verdict: v, Record: r}, nil
	}
}

// The caller of a booking with a key is told what became of that key. Each case
// is one decision of the control group and one fate of the dispatch; the log is
// what the group was told, in order: a grant is given back before the next is
// asked for, and one that was never learnt is abandoned.
func TestClaims(t *testing.T) {
	keptAnswer, err := cbor.Marshal(kept{Status: 202, Headers: []keptHeader{{"X-Kept", "1"}}, Body: []byte("old")})
	qt.Assert(t, err, qt.IsNil)
	granted := decided(claim.Granted, claim.Record{})
	never := func(*fakeAgent, *wire.Offer) { panic("offered") }
	ok := func(a *fakeAgent, o *wire.Offer) { a.answer(o, "booked") }
	refused := api.NotRun(api.StepClaim, "", api.ReasonControlUnavailable, nil)
	settled := claim.Record{Outcome: api.OutcomeCompleted}
	for name, tc := range map[string]struct {
		decide  func(uint64) (claim.Decision, error)
		do      func(*fakeAgent, *wire.Offer)
		status  int
		outcome api.Outcome // of the error, "" for an answer
		log     []string
	}{
		"granted":      {granted, ok, 201, "", []string{"claim", "settle 1 completed"}},
		"long answer":  {granted, func(a *fakeAgent, o *wire.Offer) { a.answer(o, strings.Repeat("b", 65)) }, 201, "", []string{"claim", "settle 1 completed"}},
		"unknown":      {granted, func(a *fakeAgent, o *wire.Offer) { a.accept(o); a.final(o, api.OutcomeUnknown, api.ReasonEngineDied) }, 502, api.OutcomeUnknown, []string{"claim", "settle 1 unknown"}},
		"not run once": {granted, refuseFirst(ok), 201, "", []string{"claim", "settle 1 not_run", "claim", "settle 2 completed"}},
		"in progress":  {decided(claim.InProgress, claim.Record{}), never, 409, api.OutcomeUnknown, []string{"claim"}},
		"undecided":    {decided(claim.Undecided, claim.Record{}), never, 409, api.OutcomeUnknown, []string{"claim"}},
		"conflict":     {decided(claim.Conflict, claim.Record{}), never, 422, api.OutcomeNotRun, []string{"claim"}},
		"answered":     {decided(claim.Answered, claim.Record{Outcome: api.OutcomeCompleted, Kept: true, Answer: keptAnswer}), never, 202, "", []string{"claim"}},
		"not kept":     {decided(claim.Answered, settled), never, 409, api.OutcomeCompleted, []string{"claim"}},
		"no group": {func(uint64) (claim.Decision, error) { return claim.Decision{}, refused }, never, 503, api.OutcomeNotRun,
			[]string{"abandon k false", "abandon k true", "claim", "claim"}},
		"full": {decided(claim.Full, claim.Record{}), never, 503, api.OutcomeNotRun, []string{"claim", "claim"}},
	} {
		t.Run(name, func(t *testing.T) {
			group := &fakeClaimer{decide: tc.decide}
			f := newFront(t, Config{}, group, tc.do)
			c := f.dial()
			resp := c.ask("POST", "/bookings", "{}", "Idempotency-Key: k\r\n")
			body := c.text(resp)
			f.c.Assert(resp.StatusCode, qt.Equals, tc.status)
			if tc.outcome != "" {
				f.c.Assert(resp.Header.Get(HeaderOutcome), qt.Equals, string(tc.outcome))
			}
			_ = c.Close()
			f.stop()
			var log []string
			for _, l := range group.log {
				l, _, _ = strings.Cut(l, " at ")
				log = append(log, l)
			}
			if name == "no group" {
				slices.Sort(log) // abandons run beside the next attempt
			}
			f.c.Assert(log, qt.DeepEquals, tc.log)
			switch name {
			case "answered":
				f.c.Assert(body, qt.Equals, "old")
				f.c.Assert(resp.Header.Get("X-Kept"), qt.Equals, "1")
				f.c.Assert(resp.Header.Get("Almondseam-Replayed"), qt.Equals, "true")
			case "granted":
				var k kept
				f.c.Assert(cbor.Unmarshal(group.last.Answer, &k), qt.IsNil)
				f.c.Assert(string(k.Body), qt.Equals, "booked")
			case "long answer":
				f.c.Assert(group.last.Answer, qt.HasLen, 0)
			}
		})
	}
}

// refuseFirst refuses attempt 1, whichever target has it.
func refuseFirst(then func(*fakeAgent, *wire.Offer)) func(*fakeAgent, *wire.Offer) {
	return func(a *fakeAgent, o *wire.Offer) {
		if o.Key.Attempt == 1 {
			a.at.Handle(&wire.Refused{Key: o.Key, Reason: api.ReasonTargetLeaving})
			return
		}
		then(a, o)
	}
}
