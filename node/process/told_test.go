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

// The agent queues the request and then finds that its engine is unreachable. The caller
// must get the failure with its own status and the outcome not_run, not as an error in a
// stream with status 200.
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

// The engine accepts the request and sends nothing. The caller must still see the stream
// open and get a comment line, although nothing has been generated.
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

// A caller resumes its stream. Both headers must hold the ID of the original request, as in
// the first response, so that logs of either ID lead to the same request.
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

// metricValues returns the values of a counter or gauge by its first label, without zeros.
func metricValues(f *fleet, m *metrics.Set, name string) map[string]float64 {
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

func entryMetricValues(f *fleet, e *testEntry, name string) map[string]float64 {
	return metricValues(f, e.ports.Metrics, name)
}

const refusalsMetric = "almondseam_refusals_total"

// A stream, a JSON response and the response body of a service break off after status 200,
// and a request is refused before it. Each must be counted once, under the reason of the
// failure.
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
			// Forty steps of at least 10 ms take longer than the keep-alive interval of 200 ms.
			f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Faults: die, Speed: 1}), e.links)
			f.untilTargets(e, 1)
			return f.ask(e.url+"/v1/chat/completions", `{"model":"standin","x_output_tokens":200,"messages":[{"role":"user","content":"x"}]}`)
		}},
		{"service", http.StatusOK, api.ReasonEngineTruncated, func(f *fleet, e *testEntry) *http.Response {
			f.agent("b1", newTruncatingService(f), e.links)
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
			f.c.Assert(entryMetricValues(f, e, refusalsMetric), qt.DeepEquals, map[string]float64{string(tc.want): 1})
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

const truncatedLength = 128 << 10

// newTruncatingService starts a service that announces a longer body than it sends. The part
// that it sends is larger than the entry's write buffer, so the status is sent before the
// failure is known.
func newTruncatingService(f *fleet) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*truncatedLength))
		_, _ = io.WriteString(w, strings.Repeat("x", truncatedLength))
	}))
	f.t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// A caller repeats a booking and gets the stored answer. Both requests must be counted as
// completed, and the second neither as failed nor as not run.
func TestKeptAnswerCountsAsCompleted(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e := g.entryWithControl("e1")
	f.agent("b1", newBookings(f, nil).addr, e.links)
	f.untilTargets(e, 1)
	status, _, _ := f.book(e, "k1", "{}")
	f.c.Assert(status, qt.Equals, http.StatusCreated)
	again := 0 // the answer is stored in the background, so the first repetitions may be too early
	f.until("the stored answer", func() bool {
		again++
		status, _, _ = f.book(e, "k1", "{}")
		return status == http.StatusCreated
	})
	early := entryMetricValues(f, e, refusalsMetric)[string(api.ReasonClaimInProgress)]
	f.c.Assert(early, qt.Equals, float64(again-1))
	ended := entryMetricValues(f, e, "almondseam_requests_ended_total")
	f.c.Assert(ended[string(api.OutcomeCompleted)], qt.Equals, float64(2))
	f.c.Assert(ended[string(api.OutcomeNotRun)], qt.Equals, float64(0))
}
