package process

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/node/callers"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/standin"
	qt "github.com/frankban/quicktest"
)

// The agent takes the request and says "queued"; only then it finds that its
// engine cannot be reached. The caller gets the failure with its own status and
// the proof of not_run, not an error inside a stream of status 200.
func TestEarlyFailureHasItsOwnStatus(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(ln.Close(), qt.IsNil)
	f.agent("g1", ln.Addr().String(), e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 10)
	f.c.Assert(s.resp.StatusCode, qt.Equals, api.Reasons[api.ReasonEngineUnreachable].Status)
	f.c.Assert(s.resp.Header.Get(callers.HeaderOutcome), qt.Equals, string(api.OutcomeNotRun))
	f.c.Assert(s.resp.Header.Get(callers.HeaderReason), qt.Equals, string(api.ReasonEngineUnreachable))
}

// The engine takes the request and is silent. The caller sees the stream open all
// the same, with the phases that came meanwhile, while nothing has been produced.
func TestWaitingCallerSeesTheStreamOpen(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	gate := make(chan struct{})
	defer close(gate)
	f.agent("g1", newBookings(f, gate).addr, e.links)
	f.untilTargets(e, 1)
	s := f.open(e.url, testKey, "notes", 10)
	f.c.Assert(s.resp.StatusCode, qt.Equals, http.StatusOK)
	f.c.Assert(s.lines.Scan(), qt.IsTrue)
	f.c.Assert(strings.HasPrefix(s.lines.Text(), ": "), qt.IsTrue, qt.Commentf("%s", s.lines.Text()))
}

// A caller comes back to its stream. Both headers name its request, as on the
// first answer: who logs either finds the one request.
func TestComingBackNamesTheOldRequest(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{}), e.links)
	f.untilTargets(e, 1)
	first := f.open(e.url, testKey, "notes", 600, header{callers.HeaderHold, "30s"})
	first.read(5)
	id := first.resp.Header.Get(callers.HeaderRequestID)
	f.c.Assert(first.resp.Body.Close(), qt.IsNil)
	again := f.open(e.url, testKey, "notes", 600, header{callers.HeaderRequestID, id}, header{"Last-Event-ID", first.lastID})
	f.c.Assert(again.resp.StatusCode, qt.Equals, http.StatusOK)
	f.c.Assert(again.resp.Header.Get(callers.HeaderRequestID), qt.Equals, id)
	f.c.Assert(again.resp.Header.Get("X-Request-Id"), qt.Equals, id)
}

// values gives a counter or gauge by its label, without those at zero.
func values(f *fleet, m *metrics.Set, name string) map[string]float64 {
	families, err := m.Registry.Gather()
	f.c.Assert(err, qt.IsNil)
	out := make(map[string]float64)
	for _, fam := range families {
		if fam.GetName() != name {
			continue
		}
		for _, m := range fam.GetMetric() {
			if v := m.GetCounter().GetValue() + m.GetGauge().GetValue(); v != 0 {
				out[m.GetLabel()[0].GetValue()] = v
			}
		}
	}
	return out
}

func counts(f *fleet, e *testEntry, name string) map[string]float64 {
	return values(f, e.ports.Metrics, name)
}

const refusals = "almondseam_refusals_total"

// A stream, a JSON answer and a service's body each break off after their status
// 200, and a request is refused before it. Whoever watches the counter sees each
// once, under the reason that the caller was told.
func TestEveryEndShortIsCountedOnce(t *testing.T) {
	die := standin.Faults{DieAtRequest: 1, DieAfterTokens: 40}
	for _, tc := range []struct {
		name   string
		status int
		want   api.Reason
		ask    func(f *fleet, e *testEntry) *http.Response
	}{
		{"stream", http.StatusOK, api.ReasonEngineDied, func(f *fleet, e *testEntry) *http.Response {
			f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Faults: die}), e.links)
			f.untilTargets(e, 1)
			return f.open(e.url, testKey, "notes", 200).resp
		}},
		{"JSON", http.StatusOK, api.ReasonEngineDied, func(f *fleet, e *testEntry) *http.Response {
			// Forty steps of at least 10 ms pass the keep-alive of 200 ms.
			f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Faults: die, Speed: 1}), e.links)
			f.untilTargets(e, 1)
			return f.ask(e.url+"/v1/chat/completions", `{"model":"standin","x_output_tokens":200,"messages":[{"role":"user","content":"x"}]}`)
		}},
		{"service", http.StatusOK, api.ReasonEngineTruncated, func(f *fleet, e *testEntry) *http.Response {
			f.agent("b1", shortService(f), e.links)
			f.untilTargets(e, 1)
			return f.ask(e.url+"/bookings/seat/7", "{}")
		}},
		{"before the status", http.StatusServiceUnavailable, api.ReasonNoTarget, func(f *fleet, e *testEntry) *http.Response {
			return f.ask(e.url+"/bookings/seat/7", "{}")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			e := f.entry("e1")
			resp := tc.ask(f, e)
			f.c.Assert(resp.StatusCode, qt.Equals, tc.status)
			_, _ = io.Copy(io.Discard, resp.Body)
			f.c.Assert(counts(f, e, refusals), qt.DeepEquals, map[string]float64{string(tc.want): 1})
		})
	}
}

func (f *fleet) ask(url, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := testClient.Do(req)
	f.c.Assert(err, qt.IsNil)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

const shortBody = 128 << 10

// shortService announces a longer body than it gives; what it gives is more than
// the entry's write buffer, so that the status goes out before the end is known.
func shortService(f *fleet) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*shortBody))
		_, _ = io.WriteString(w, strings.Repeat("x", shortBody))
	}))
	f.t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// A caller sends a booking again and gets the kept answer. For whoever watches,
// both requests were completed: the second has neither failed nor not run.
func TestKeptAnswerCountsAsCompleted(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e := g.controlled("e1")
	f.agent("b1", newBookings(f, nil).addr, e.links)
	f.untilTargets(e, 1)
	status, _, _ := f.book(e, "k1", "{}")
	f.c.Assert(status, qt.Equals, http.StatusCreated)
	again := 0 // the answer is kept in the background, so that it may be too early
	f.until("the kept answer", func() bool {
		again++
		status, _, _ = f.book(e, "k1", "{}")
		return status == http.StatusCreated
	})
	early := counts(f, e, refusals)[string(api.ReasonClaimInProgress)]
	f.c.Assert(early, qt.Equals, float64(again-1))
	ended := counts(f, e, "almondseam_requests_ended_total")
	f.c.Assert(ended[string(api.OutcomeCompleted)], qt.Equals, float64(2))
	f.c.Assert(ended[string(api.OutcomeNotRun)], qt.Equals, float64(0))
}
