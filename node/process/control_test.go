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

// controlGroup is control roles over real folders and links, and an operator.
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
	g.f.until("change of the group", func() bool {
		return g.exec(control.Request{Change: &control.MemberChange{Type: kind, ID: id, Addr: addr}}).Outcome == api.OutcomeCompleted
	})
}

func (g *controlGroup) exec(req control.Request) *control.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return g.operator.Exec(ctx, req)
}

// configure accepts the harness's configuration as the first revision.
func (g *controlGroup) configure() {
	yaml := fmt.Appendf(nil, testConf, fleetconfig.KeySum(testKey), fleetconfig.KeySum(otherKey))
	doc, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base.yaml", Data: yaml}, nil)
	g.f.c.Assert(err, qt.IsNil)
	b, err := fleetconfig.EncodeDocument(doc)
	g.f.c.Assert(err, qt.IsNil)
	r := g.exec(control.Request{Command: &state.Command{Config: &state.ConfigPut{ChangeID: "first", Author: "ana", Document: b}}})
	g.f.c.Assert(r.Result.Config.Accepted, qt.IsTrue)
}

// controlled is an entry that takes its configuration and claims from a group.
func (g *controlGroup) controlled(name string) *testEntry {
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

// bookings is a plain service that counts its bookings. gate, when set, holds
// each one back until it is closed.
type bookings struct {
	addr string
	ran  atomic.Int64
	gate chan struct{}
}

func newBookings(f *fleet, gate chan struct{}) *bookings {
	b := &bookings{gate: gate}
	ln := listenLoopback(f.c)
	b.addr = ln.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return // the agent asks for the load
		}
		n := b.ran.Add(1)
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

// A caller books a seat with an idempotency key, its answer is lost, and it sends
// the booking again through another entry. It gets the kept answer and the
// service has seen one booking. The same key with another body is refused. Then
// one control member of three is lost, which changes nothing, and a second, after
// which a new booking is refused as not run, and truly isn't.
func TestBookingRunsOnceOverEntriesAndLostMembers(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(3)
	g.configure()
	e1, e2 := g.controlled("e1"), g.controlled("e2")
	svc := newBookings(f, nil)
	f.agent("b1", svc.addr, e1.links, e2.links)
	f.untilTargets(e1, 1)
	f.untilTargets(e2, 1)
	status, _, body := f.book(e1, "k1", "{}")
	f.c.Assert(status, qt.Equals, http.StatusCreated)
	f.c.Assert(body, qt.Equals, "booking 1")
	f.until("the kept answer", func() bool {
		status, _, body = f.book(e2, "k1", "{}")
		return status == http.StatusCreated
	})
	f.c.Assert(body, qt.Equals, "booking 1")
	status, outcome, _ := f.book(e2, "k1", `{"seat":8}`)
	f.c.Assert(status, qt.Equals, http.StatusUnprocessableEntity)
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeNotRun))
	f.c.Assert(svc.ran.Load(), qt.Equals, int64(1))

	f.c.Assert(g.stops[0](patience), qt.IsNil)
	f.until("a booking without the first member", func() bool {
		status, _, body = f.book(e1, "k2", "{}")
		return status == http.StatusCreated
	})
	f.c.Assert(body, qt.Equals, "booking 2")
	f.c.Assert(g.stops[1](patience), qt.IsNil)
	_, outcome, _ = f.book(e1, "k3", "{}")
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeNotRun))
	f.c.Assert(svc.ran.Load(), qt.Equals, int64(2))
}

// The agent is stopped hard while the service holds the booking. Nothing proves
// whether it ran, so the caller is told unknown; sent again with the same key it
// still isn't run a second time, though another target is there.
func TestBookingWhoseAgentDiedIsNotRunAgain(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e := g.controlled("e1")
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
	f.until("the booking at the service", func() bool { return svc.ran.Load() == 1 })
	_ = stop(0)
	f.c.Assert(<-first, qt.Equals, string(api.OutcomeUnknown))
	f.agent("b2", svc.addr, e.links)
	f.untilTargets(e, 1)
	_, outcome, _ := f.book(e, "k1", "{}")
	f.c.Assert(outcome, qt.Equals, string(api.OutcomeUnknown))
	f.c.Assert(svc.ran.Load(), qt.Equals, int64(1))
}

// An operator drains a target while a note is being written there. The note goes
// on to its end; both entries see the target as leaving, and new work goes to the
// other target or is refused as not run once there is none.
func TestDrainReachesTheAgentAndCutsNothing(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e1, e2 := g.controlled("e1"), g.controlled("e2")
	f.agent("g1", f.engine(standin.Config{Seed: 1}, standin.Options{Speed: 2}), e1.links, e2.links)
	f.untilTargets(e1, 1)
	f.untilTargets(e2, 1)
	s := f.open(e1.url, testKey, "note", 60)
	s.read(1)
	asked := time.Now()
	r := g.exec(control.Request{Command: &state.Command{Drain: &state.Drain{Target: "g1", Author: "ana"}}})
	f.c.Assert(r.Outcome, qt.Equals, api.OutcomeCompleted)
	leaving := func(e *testEntry) bool { v := e.View(); return len(v) == 1 && v[0].Leaving }
	f.until("leaving at both entries", func() bool { return leaving(e1) && leaving(e2) })
	t.Logf("known at both entries after %s", time.Since(asked))
	refused := f.open(e2.url, testKey, "another", 5)
	refused.readAll()
	f.c.Assert(refused.err, qt.IsNotNil)
	f.c.Assert(refused.err.Outcome, qt.Equals, api.OutcomeNotRun)
	s.readAll()
	f.c.Assert(s.err, qt.IsNil)
	f.c.Assert(s.text.String(), qt.Equals, answerOf(1, "note", 60))
}

// An operator orders a model and then a role while two entries are linked to the
// target's agent. Both hand over each order; the target gets each once, in the
// order of the fences, and the second only after the first has ended. An old
// order that comes to the target past its agent is refused by a target that
// checks, and is what remains open at one that does not.
func TestOrdersReachTheTargetOnceAndInOrder(t *testing.T) {
	t.Run("target ignores fences", func(t *testing.T) { ordersInOrder(t, true, http.StatusOK) })
	t.Run("target checks fences", func(t *testing.T) { ordersInOrder(t, false, http.StatusConflict) })
}

func ordersInOrder(t *testing.T, ignore bool, late int) {
	f := newFleet(t)
	g := f.controlGroup(1)
	g.configure()
	e1, e2 := g.controlled("e1"), g.controlled("e2")
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

// A control member is stopped in the instant in which it starts, before its
// servers have taken their listeners. It must end all the same.
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
