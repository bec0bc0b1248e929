package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control/opapi"
	"almondseam.dev/node/link"
)

// roleGroup is a control group with real links over the loopback interface.
type roleGroup struct {
	t         *testing.T
	storages  map[consensus.MemberID]*memStorage
	addrs     map[consensus.MemberID]string
	operators map[consensus.MemberID]string
	roles     map[consensus.MemberID]*Role
}

const (
	testKey        = "fleet key"
	testToken      = "operator token"
	requestTimeout = 20 * time.Second
)

func newRoleGroup(t *testing.T, members int) *roleGroup {
	g := &roleGroup{
		t:         t,
		storages:  make(map[consensus.MemberID]*memStorage),
		addrs:     make(map[consensus.MemberID]string),
		operators: make(map[consensus.MemberID]string),
		roles:     make(map[consensus.MemberID]*Role),
	}
	t.Cleanup(g.stop)
	for id := consensus.MemberID(1); id <= consensus.MemberID(members); id++ {
		g.storages[id] = &memStorage{}
		g.start(id)
	}
	for id := consensus.MemberID(2); id <= consensus.MemberID(members); id++ {
		g.changeMembers(opapi.MemberChange{Change: opapi.MemberAdd, ID: uint64(id), Address: g.addrs[id]})
		g.changeMembers(opapi.MemberChange{Change: opapi.MemberPromote, ID: uint64(id)})
	}
	return g
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	return ln
}

// clientLog logs what the client of a member meets.
type clientLog struct {
	noClientObserver
	t  testing.TB
	id consensus.MemberID
}

// DialFailed implements ClientObserver.
func (l clientLog) DialFailed(addr string, err error) {
	l.t.Logf("%s member %d: dial %s: %v", time.Now().Format("05.000"), l.id, addr, err)
}

// AttemptLost implements ClientObserver.
func (l clientLog) AttemptLost(member, why string, after time.Duration) {
	l.t.Logf("%s member %d: attempt at %s lost after %v: %s", time.Now().Format("05.000"), l.id, member, after, why)
}

func (g *roleGroup) start(id consensus.MemberID) {
	g.t.Helper()
	ln, op := listen(g.t, g.addrs[id]), listen(g.t, g.operators[id])
	fresh := g.addrs[id] == ""
	g.addrs[id], g.operators[id] = ln.Addr().String(), op.Addr().String()
	if fresh && id == 1 {
		data, err := consensus.Bootstrap(consensus.Membership{Voters: []consensus.Member{{ID: 1, Addr: g.addrs[1]}}}, nil)
		qt.Assert(g.t, err, qt.IsNil)
		g.storages[1].data = data
	}
	role, err := Start(Settings{
		ID:           id,
		Restored:     g.storages[id].restored(),
		Storage:      g.storages[id],
		Link:         ln,
		Operator:     op,
		OperatorAddr: g.operators[id],
		Instance:     api.InstanceID(fmt.Sprint("control-", id)),
		Key:          []byte(testKey),
		Token:        testToken,
		Limits:       state.DefaultLimits(),

		ClientObserver: clientLog{t: g.t, id: id},
	})
	qt.Assert(g.t, err, qt.IsNil)
	g.roles[id] = role
}

func (g *roleGroup) kill(id consensus.MemberID) {
	qt.Check(g.t, g.roles[id].Stop(), qt.IsNil)
	delete(g.roles, id)
}

func (g *roleGroup) stop() {
	for id := range g.roles {
		g.kill(id)
	}
}

// request calls the operator interface of the running members in turn until one gives
// a response with a reason other than control_unavailable.
func (g *roleGroup) request(method, path string, in, out any) (int, opapi.Error) {
	g.t.Helper()
	deadline := time.Now().Add(requestTimeout)
	for time.Now().Before(deadline) {
		for id := range g.roles {
			status, e := g.requestMember(id, testToken, method, path, in, out)
			if status != 0 && e.Reason != api.ReasonControlUnavailable {
				return status, e
			}
		}
	}
	g.t.Fatal("no member answered")
	return 0, opapi.Error{}
}

func (g *roleGroup) requestMember(id consensus.MemberID, token, method, path string, in, out any) (int, opapi.Error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + g.operators[id] + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+token)
	if in != nil {
		b, err := json.Marshal(in)
		qt.Assert(g.t, err, qt.IsNil)
		req.SetBody(b)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if client.DoTimeout(req, resp, requestTimeout) != nil {
		return 0, opapi.Error{}
	}
	var e opapi.Error
	if resp.StatusCode() != http.StatusOK {
		_ = json.Unmarshal(resp.Body(), &e)
	} else if out != nil {
		qt.Assert(g.t, json.Unmarshal(resp.Body(), out), qt.IsNil)
	}
	return resp.StatusCode(), e
}

// changeMembers makes a membership change. It retries while a learner has not caught up.
func (g *roleGroup) changeMembers(c opapi.MemberChange) {
	g.t.Helper()
	for {
		status, e := g.request(http.MethodPost, opapi.PathMembers, c, nil)
		if status == http.StatusOK {
			return
		}
		if !strings.Contains(e.Message, consensus.ErrNotCaughtUp.Error()) {
			g.t.Fatalf("%+v: %+v", c, e)
		}
	}
}

func (g *roleGroup) putConfig(id string, base api.Revision, doc string) opapi.ConfigResult {
	g.t.Helper()
	var r opapi.ConfigResult
	status, e := g.request(http.MethodPost, opapi.PathConfig, opapi.ConfigPut{ChangeID: id, Author: "ana", Base: base, Document: []byte(doc)}, &r)
	qt.Assert(g.t, status, qt.Equals, http.StatusOK, qt.Commentf("%+v", e))
	return r
}

// leader waits until a member reports that it is the leader and returns its ID.
func (g *roleGroup) leader() consensus.MemberID {
	g.t.Helper()
	var st opapi.Status
	for !st.Majority {
		g.request(http.MethodGet, opapi.PathStatus, nil, &st)
	}
	return consensus.MemberID(st.Leader)
}

// watcher is the client of an entry. It stores the configurations that it receives.
type watcher struct {
	client    *Client
	mu        sync.Mutex
	revisions []api.Revision
	document  string
	delivered chan api.Revision
	drains    chan []state.Drain
}

func (g *roleGroup) watcher(ctx context.Context, wg *conc.WaitGroup, name string, seeds ...consensus.MemberID) *watcher {
	w := &watcher{delivered: make(chan api.Revision, 1024), drains: make(chan []state.Drain, 1024)}
	opt := ClientOptions{
		Link:        LinkOptions([]byte(testKey), link.Peer{Instance: api.InstanceID(name), Role: link.RoleEntry}, nil),
		ReportEvery: 50 * time.Millisecond,
		Report: func() Report {
			w.mu.Lock()
			defer w.mu.Unlock()
			r := Report{Instance: api.InstanceID(name), Site: "maghreb-west", Targets: []TargetReport{{Target: "t1", Incarnation: 1}}}
			if len(w.revisions) > 0 {
				r.Revision = w.revisions[len(w.revisions)-1]
			}
			return r
		},
		OnDrains: func(d []state.Drain) { w.drains <- d },
		OnConfig: func(r api.Revision, doc []byte) {
			w.mu.Lock()
			w.revisions, w.document = append(w.revisions, r), string(doc)
			w.mu.Unlock()
			w.delivered <- r
		},
	}
	for _, id := range seeds {
		opt.Seeds = append(opt.Seeds, g.addrs[id])
	}
	w.client = NewClient(opt)
	wg.Go(func() { w.client.Run(ctx) })
	return w
}

func (w *watcher) waitRevision(r api.Revision) string {
	for got := range w.delivered {
		if got >= r {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document
}

// Entries watch the configuration and claim calls over real links while the leader is
// killed. They must find the new leader, get the next revisions and never a lower one,
// and claims that were granted before must still be known.
func TestEntriesOverALostLeader(t *testing.T) {
	c := qt.New(t)
	g := newRoleGroup(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	a := g.watcher(ctx, &wg, "entry-a", 1, 2, 3)
	b := g.watcher(ctx, &wg, "entry-b", 3, 2, 1)
	c.Assert(g.putConfig("c0", 0, "limit: 10").Accepted, qt.IsTrue)
	c.Assert(a.waitRevision(1), qt.Equals, "limit: 10")
	c.Assert(b.waitRevision(1), qt.Equals, "limit: 10")
	req := claim.Request{Key: claim.Key{Customer: "atlas", Name: "frame-7"}, Place: claim.Place{Target: "booking-1", Incarnation: 1}, Claimant: "a1", Request: "r1"}
	first, err := a.client.Claim(ctx, req)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Verdict, qt.Equals, claim.Granted)

	oldLeader := g.leader()
	g.kill(oldLeader)
	c.Assert(g.putConfig("c1", 1, "limit: 20").Accepted, qt.IsTrue)
	c.Assert(a.waitRevision(2), qt.Equals, "limit: 20")
	c.Assert(b.waitRevision(2), qt.Equals, "limit: 20")
	highest, err := b.client.HighestRevision(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(highest, qt.Equals, api.Revision(2))
	req.Claimant = "b1"
	second, err := b.client.Claim(ctx, req)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Verdict, qt.Equals, claim.InProgress)
	c.Assert(second.Record.Place, qt.Equals, req.Place)
	c.Assert(a.client.Settle(ctx, claim.Report{Key: req.Key, Grant: first.Record.Grant, Outcome: api.OutcomeCompleted, Status: 201, Answer: []byte("booked")}), qt.IsNil)
	third, err := b.client.Claim(ctx, req)
	c.Assert(err, qt.IsNil)
	c.Assert(string(third.Record.Answer), qt.Equals, "booked")

	g.start(oldLeader)
	c.Assert(g.putConfig("c0", 0, "limit: 10").Repeated, qt.IsTrue)
	c.Assert(g.putConfig("c2", 2, "limit: 30").Accepted, qt.IsTrue)
	c.Assert(a.waitRevision(3), qt.Equals, "limit: 30")
	for _, w := range []*watcher{a, b} {
		w.mu.Lock()
		for i := 1; i < len(w.revisions); i++ {
			c.Check(w.revisions[i] > w.revisions[i-1], qt.IsTrue)
		}
		w.mu.Unlock()
	}
}

// Two of three members are lost. The remaining one must reject a configuration change
// and still return its own view, with Majority false.
func TestMinorityRefusesAndSaysSo(t *testing.T) {
	c := qt.New(t)
	g := newRoleGroup(t, 3)
	survivor := g.leader()
	for id := range g.addrs {
		if id != survivor {
			g.kill(id)
		}
	}
	for g.roles[survivor].Member().Status().Role == consensus.RoleLeader {
		time.Sleep(DefaultTick)
	}
	put := opapi.ConfigPut{ChangeID: "c0", Author: "ana", Document: []byte("x")}
	status, e := g.requestMember(survivor, testToken, http.MethodPost, opapi.PathConfig, put, nil)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(e.Reason, qt.Equals, api.ReasonControlUnavailable)
	c.Assert(e.Outcome, qt.Equals, api.OutcomeNotRun)
	var st opapi.Status
	status, _ = g.requestMember(survivor, testToken, http.MethodGet, opapi.PathStatus, nil, &st)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(st.Majority, qt.IsFalse)
	c.Assert(st.Members, qt.HasLen, 3)
}

// The operator interface must reject requests without the right token, and a member must
// reject requests from an entry that are reserved for operators.
func TestStrangersAreRefused(t *testing.T) {
	c := qt.New(t)
	g := newRoleGroup(t, 1)
	for _, token := range []string{"", "wrong", testToken + "x"} {
		status, e := g.requestMember(1, token, http.MethodGet, opapi.PathStatus, nil, nil)
		c.Check(status, qt.Equals, http.StatusUnauthorized)
		c.Check(e.Reason, qt.Equals, api.ReasonUnauthenticated)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	w := g.watcher(ctx, &wg, "entry", 1)
	for name, req := range map[string]Request{
		"config": configRequest("c0", 0, "x"),
		"member": {Change: &MemberChange{Type: consensus.ChangeRemove, ID: 1}},
		"order":  {Command: &state.Command{Order: &order.Command{Op: order.OpSubmit, ID: "o"}}},
		"drain":  {Command: &state.Command{Drain: &state.Drain{Target: "t1"}}},
	} {
		r := w.client.Exec(ctx, req)
		c.Check(r.Reason, qt.Equals, api.ReasonForbidden, qt.Commentf("%s", name))
		c.Check(r.Outcome, qt.Equals, api.OutcomeNotRun)
	}
}

// An operator orders a load, reads the status, the history and the claim of a request,
// and starts and ends a drain of a target.
func TestOperatorsDay(t *testing.T) {
	c := qt.New(t)
	g := newRoleGroup(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	w := g.watcher(ctx, &wg, "entry", 1)
	g.putConfig("c0", 0, "x")
	w.waitRevision(1)
	var o opapi.Order
	status, e := g.request(http.MethodPost, opapi.PathOrders, opapi.Order{ID: "o1", Target: "t1", Action: "load_model", Model: "m"}, &o)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%+v", e))
	got, err := w.client.Order(ctx, order.Command{Op: order.OpTake, Target: "t1", Incarnation: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(got.Fence, qt.Equals, o.Fence)
	_, err = w.client.Order(ctx, order.Command{Op: order.OpFinish, Target: "t1", Incarnation: 1, Fence: got.Fence - 1})
	c.Assert(api.AsError(err).Reason, qt.Equals, api.ReasonStaleFence)
	_, err = w.client.Claim(ctx, claim.Request{Key: claim.Key{Customer: "a", Name: "k"}, Claimant: "c1", Request: "r7"})
	c.Assert(err, qt.IsNil)
	var cl opapi.Claim
	g.request(http.MethodGet, opapi.PathClaims+"?request=r7", nil, &cl)
	c.Assert([]any{cl.Found, cl.State}, qt.DeepEquals, []any{true, "claimed"})
	var history []opapi.Revision
	g.request(http.MethodGet, opapi.PathHistory, nil, &history)
	c.Assert(history, qt.HasLen, 1)
	var st opapi.Status
	for len(st.Sites) == 0 || st.Sites[0].Lowest != 1 {
		g.request(http.MethodGet, opapi.PathStatus, nil, &st)
	}
	c.Assert(st.Targets, qt.HasLen, 1)
	c.Assert(st.Targets[0].State, qt.Equals, "up")
	c.Assert(st.Claims, qt.Equals, 1)
	g.request(http.MethodPost, opapi.PathDrain, opapi.Drain{Target: "t1", Author: "ana"}, nil)
	for d := range w.drains {
		if len(d) == 1 {
			c.Assert(d[0].Target, qt.Equals, api.TargetID("t1"))
			break
		}
	}
	g.request(http.MethodPost, opapi.PathDrain, opapi.Drain{Target: "t1", Undo: true}, nil)
	c.Assert(<-w.drains, qt.HasLen, 0)
}

// An operator evacuates an availability zone and ends the evacuation. A watching entry must
// be notified of both, and a confirmed read must return the evacuated zone.
func TestOperatorEvacuatesAZone(t *testing.T) {
	c := qt.New(t)
	g := newRoleGroup(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	updates := make(chan state.Evacuated, 16)
	client := NewClient(ClientOptions{
		Seeds:       []string{g.addrs[1]},
		Link:        LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil),
		OnEvacuated: func(e state.Evacuated) { updates <- e },
	})
	wg.Go(func() { client.Run(ctx) })
	order := func(evacuate bool) {
		for {
			status, _ := g.request(http.MethodPost, opapi.PathZones, opapi.ZoneOrder{Zone: "a", Evacuated: evacuate, Author: "ana"}, nil)
			if status == http.StatusOK {
				return
			}
		}
	}
	order(true)
	c.Assert((<-updates).Zones, qt.DeepEquals, []api.Zone{"a"})
	confirmed, err := client.Confirm(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(confirmed.Evacuated.Zones, qt.DeepEquals, []api.Zone{"a"})
	var list []opapi.ZoneOrder
	status, _ := g.request(http.MethodGet, opapi.PathZones, nil, &list)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(list, qt.HasLen, 1)
	c.Assert(list[0].Evacuated, qt.IsTrue)
	c.Assert(list[0].Author, qt.Equals, "ana")
	order(false)
	c.Assert((<-updates).Zones, qt.HasLen, 0)
	status, e := g.request(http.MethodPost, opapi.PathZones, opapi.ZoneOrder{}, nil)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	c.Assert(e.Reason, qt.Equals, api.ReasonBadRequest)
}
