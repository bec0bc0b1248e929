package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/callers"
	"almondseam.dev/node/control"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/standin"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// controlGroup is a group of control processes with real data directories and links, and
// an operator client.
type controlGroup struct {
	f        *fleet
	addrs    []string
	stops    []func(time.Duration) error
	operator *control.Client
}

func (f *fleet) controlGroup(members int) *controlGroup {
	g := &controlGroup{f: f}
	var roles []*Control
	for i := range members {
		log := zerolog.Nop()
		ln := listenLoopback(f.c)
		c, err := NewControl(ControlSettings{
			Instance: api.InstanceID(fmt.Sprint("control-", i)), Zone: "lhr-a", Key: []byte(fleetKey), Token: "token",
			Dir: f.t.TempDir(), Links: ln, Operator: listenLoopback(f.c), Bootstrap: i == 0,
		}, metrics.New(&log), &log)
		f.c.Assert(err, qt.IsNil)
		c.Start()
		roles = append(roles, c)
		g.addrs = append(g.addrs, ln.Addr().String())
		g.stops = append(g.stops, stopOnce(f.t, c.Stop))
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.operator = control.NewClient(control.ClientOptions{
		Seeds: g.addrs[:1],
		Link:  control.LinkOptions([]byte(fleetKey), link.Peer{Instance: "operator", Role: link.RoleControl}, nil),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.operator.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	for i, r := range roles[1:] {
		g.change(consensus.ChangeAddLearner, r.ID(), g.addrs[i+1])
		g.change(consensus.ChangePromote, r.ID(), "")
	}
	return g
}

func (g *controlGroup) change(kind consensus.ChangeType, id consensus.MemberID, addr string) {
	g.f.until("membership change", func() bool {
		return g.exec(control.Request{Change: &control.MemberChange{Type: kind, ID: id, Addr: addr}}).Outcome == api.OutcomeCompleted
	})
}

func (g *controlGroup) exec(req control.Request) *control.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return g.operator.Exec(ctx, req)
}

// configure proposes testConf as the first revision and requires that it is accepted.
func (g *controlGroup) configure() {
	yaml := fmt.Appendf(nil, testConf, fleetconfig.KeySum(testKey), fleetconfig.KeySum(otherKey))
	doc, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base.yaml", Data: yaml}, nil)
	g.f.c.Assert(err, qt.IsNil)
	b, err := fleetconfig.EncodeDocument(doc)
	g.f.c.Assert(err, qt.IsNil)
	r := g.exec(control.Request{Command: &state.Command{Config: &state.ConfigPut{ChangeID: "first", Author: "ana", Document: b}}})
	g.f.c.Assert(r.Result.Config.Accepted, qt.IsTrue)
}

// entryWithControl starts an entry that receives its configuration from a control group
// and sends its claims to it.
func (g *controlGroup) entryWithControl(name string) *testEntry {
	f := g.f
	log := zerolog.Nop()
	m := metrics.New(&log)
	coupling := NewEntryControl(ControlLinkSettings{Instance: api.InstanceID(name), Zone: "lhr-a", Key: []byte(fleetKey), Seeds: g.addrs}, m, &log)
	callers, links := listenLoopback(f.c), listenLoopback(f.c)
	e := NewEntry(EntrySettings{Instance: api.InstanceID(name), Zone: "lhr-a", Key: []byte(fleetKey), Callers: callers, Links: links},
		EntryPorts{Live: coupling.Live(), Hub: coupling.Hub(), Claimer: coupling.Claimer(), Metrics: m, Log: &log})
	coupling.Couple(e)
	_ = stopOnce(f.t, coupling.Stop)
	coupling.Start()
	e.Start()
	te := &testEntry{Entry: e, url: "http://" + callers.Addr().String(), links: links.Addr().String()}
	te.stop = stopOnce(f.t, e.Stop)
	f.until("configuration in force", func() bool { return coupling.Live().Load() != nil })
	return te
}

// bookings is a plain service that counts the bookings it receives. If gate is not nil,
// the service delays each response until gate is closed.
type bookings struct {
	addr  string
	count atomic.Int64
	gate  chan struct{}
}

func newBookings(f *fleet, gate chan struct{}) *bookings {
	b := &bookings{gate: gate}
	ln := listenLoopback(f.c)
	b.addr = ln.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return // a load query of the agent
		}
		n := b.count.Add(1)
		if b.gate != nil {
			<-b.gate
		}
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "booking %d", n)
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	f.t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return b
}

func (f *fleet) book(e *testEntry, key, body string) (int, string, string) {
	req, err := http.NewRequest(http.MethodPost, e.url+"/bookings/seat/7", strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := testClient.Do(req)
	f.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	f.c.Assert(err, qt.IsNil)
	return resp.StatusCode, resp.Header.Get(callers.HeaderOutcome), string(b)
}

// A caller repeats a booking with the same idempotency key through another entry. It must
// get the stored answer and the service must see one booking. The same key with another
// body must be refused. The loss of one control member of three must change nothing; after
// the loss of a second, a new booking must be refused as not run and not reach the service.
func TestBookingRunsOnceOverEntriesAndLostMembers(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(3)
	g.configure()
	e1, e2 := g.entryWithControl("e1"), g.entryWithControl("e2")
	svc := newBookings(f, nil)
	f.agent("b1", svc.addr, e1.links, e2.links)
	f.untilTargets(e1, 1)
	f.untilTargets(e2, 1)
	status, _, body := f.book(e1, "k1", "{}")
	f.c.Assert(status, qt.Equals, http.StatusCreated)
	f.c.Assert(body, qt.Equals, "booking 1")
	f.until("the stored answer", func() bool {
		status, _, body = f.book(e2, "k1", "{}")
		return status == http.StatusCreated
	})
	f.c.Assert(body, qt.Equals, "booking 1")
	status, outcome, _ := f.book(e2, "k1", `{"seat":8}`)
	f.c.Assert(status, qt.Equals, http.StatusUnprocessableEntity)
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeNotRun))
	f.c.Assert(svc.count.Load(), qt.Equals, int64(1))

	f.c.Assert(g.stops[0](testTimeout), qt.IsNil)
	f.until("a booking without the first member", func() bool {
		status, _, body = f.book(e1, "k2", "{}")
		return status == http.StatusCreated
	})
	f.c.Assert(body, qt.Equals, "booking 2")
	f.c.Assert(g.stops[1](testTimeout), qt.IsNil)
	_, outcome, _ = f.book(e1, "k3", "{}")
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeNotRun))
	f.c.Assert(svc.count.Load(), qt.Equals, int64(2))
}

// The agent is stopped hard while the service processes a booking. Whether the booking
// ran cannot be known, so the caller must get the outcome unknown. A repetition with the
// same key must not run it a second time, although another target is available.
func TestBookingWhoseAgentDiedIsNotRunAgain(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e := g.entryWithControl("e1")
	gate := make(chan struct{})
	defer close(gate)
	svc := newBookings(f, gate)
	_, stop := f.agent("b1", svc.addr, e.links)
	f.untilTargets(e, 1)
	first := make(chan string, 1)
	go func() {
		_, outcome, _ := f.book(e, "k1", "{}")
		first <- outcome
	}()
	f.until("the booking at the service", func() bool { return svc.count.Load() == 1 })
	_ = stop(0)
	f.c.Assert(<-first, qt.Equals, string(api.OutcomeUnknown))
	f.agent("b2", svc.addr, e.links)
	f.untilTargets(e, 1)
	_, outcome, _ := f.book(e, "k1", "{}")
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeUnknown))
	f.c.Assert(svc.count.Load(), qt.Equals, int64(1))
}

// An operator drains a target while it generates a response. The response must be
// completed and both entries must see the target as leaving. There is no other target, so a
// new request must be refused as not run.
func TestDrainReachesTheAgentAndCutsNothing(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e1, e2 := g.entryWithControl("e1"), g.entryWithControl("e2")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Speed: 2}), e1.links, e2.links)
	f.untilTargets(e1, 1)
	f.untilTargets(e2, 1)
	s := f.open(e1.url, testKey, "note", 60)
	s.read(1)
	drainStart := time.Now()
	r := g.exec(control.Request{Command: &state.Command{Drain: &state.Drain{Target: "g1", Author: "ana"}}})
	f.c.Assert(r.Outcome, qt.Equals, api.OutcomeCompleted)
	leaving := func(e *testEntry) bool { v := e.View(); return len(v) == 1 && v[0].Leaving }
	f.until("leaving at both entries", func() bool { return leaving(e1) && leaving(e2) })
	t.Logf("known at both entries after %s", time.Since(drainStart))
	refused := f.open(e2.url, testKey, "another", 5)
	refused.readAll()
	f.c.Assert(refused.err, qt.IsNotNil)
	f.c.Assert(refused.err.Outcome, qt.Equals, api.OutcomeNotRun)
	s.readAll()
	f.c.Assert(s.err, qt.IsNil)
	f.c.Assert(s.text.String(), qt.Equals, expectedAnswer(1, "note", 60))
}

// An operator submits a model load and then a role change while two entries are linked to
// the target's agent. Both entries forward each order; the target must execute each once, in
// the order of the fences, and the second only after the first has ended. An old order that
// reaches the target without passing through its agent is refused only by a target that
// checks fences.
func TestOrdersReachTheTargetOnceAndInOrder(t *testing.T) {
	t.Run("target ignores fences", func(t *testing.T) { checkOrderSequence(t, true, http.StatusOK) })
	t.Run("target checks fences", func(t *testing.T) { checkOrderSequence(t, false, http.StatusConflict) })
}

func checkOrderSequence(t *testing.T, ignore bool, late int) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e1, e2 := g.entryWithControl("e1"), g.entryWithControl("e2")
	srv, addr := f.standin(standin.Config{Seed: 1, IgnoreFence: ignore}, standin.Options{})
	f.agent("g1", addr, e1.links, e2.links)
	f.untilTargets(e1, 1)
	f.untilTargets(e2, 1)
	submit := func(id string, spec order.Spec) order.Order {
		spec.Target = "g1"
		r := g.exec(control.Request{Command: &state.Command{Order: &order.Command{Op: order.OpSubmit, ID: id, Spec: spec}}})
		f.c.Assert(r.Result.Reason, qt.Equals, api.Reason(""))
		return *r.Result.Order
	}
	first := submit("o1", order.Spec{Action: order.ActionLoadModel, Model: "m2", Bytes: 1 << 30})
	second := submit("o2", order.Spec{Action: order.ActionChangeRole, Role: "prefill"})
	ended := func() bool {
		r := g.exec(control.Request{Command: &state.Command{Order: &order.Command{Op: order.OpSubmit, ID: "o2", Spec: second.Spec}}})
		return r.Result.Order.State == order.StateDone
	}
	f.until("the second order's end", ended)
	f.c.Assert(srv.Orders(), qt.DeepEquals, []standin.Order{
		{Fence: uint64(first.Fence), Action: "load_model", Value: "m2"},
		{Fence: uint64(second.Fence), Action: "set_role", Value: "prefill"},
	})
	old := fmt.Sprintf(`{"fence":%d,"action":"load_model","value":"m3"}`, first.Fence)
	resp, err := testClient.Post("http://"+addr+"/orders", "application/json", strings.NewReader(old))
	f.c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	f.c.Assert(resp.StatusCode, qt.Equals, late)
}

// A control member that is stopped immediately after its start, before its servers have
// taken over their listeners, must still stop.
func TestControlStopRightAfterStart(t *testing.T) {
	f := newFleet(t)
	log := zerolog.Nop()
	for range 100 {
		c, err := NewControl(ControlSettings{
			Instance: "c1", Zone: "lhr-a", Key: []byte(fleetKey), Token: "token",
			Dir: f.t.TempDir(), Links: listenLoopback(f.c), Operator: listenLoopback(f.c),
		}, metrics.New(&log), &log)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(c.Stop(context.Background()), qt.IsNil)
	}
}
