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

// site is a control group over real links on loopback.
type site struct {
	t         *testing.T
	folders   map[consensus.MemberID]*folder
	addrs     map[consensus.MemberID]string
	operators map[consensus.MemberID]string
	roles     map[consensus.MemberID]*Role
}

const (
	testKey   = "fleet key"
	testToken = "operator token"
	soon      = 20 * time.Second
)

func newSite(t *testing.T, members int) *site {
	s := &site{
		t:         t,
		folders:   make(map[consensus.MemberID]*folder),
		addrs:     make(map[consensus.MemberID]string),
		operators: make(map[consensus.MemberID]string),
		roles:     make(map[consensus.MemberID]*Role),
	}
	t.Cleanup(s.stop)
	for id := consensus.MemberID(1); id <= consensus.MemberID(members); id++ {
		s.folders[id] = &folder{}
		s.start(id)
	}
	for id := consensus.MemberID(2); id <= consensus.MemberID(members); id++ {
		s.change(opapi.MemberChange{Change: opapi.MemberAdd, ID: uint64(id), Address: s.addrs[id]})
		s.change(opapi.MemberChange{Change: opapi.MemberPromote, ID: uint64(id)})
	}
	return s
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

func (s *site) start(id consensus.MemberID) {
	s.t.Helper()
	ln, op := listen(s.t, s.addrs[id]), listen(s.t, s.operators[id])
	fresh := s.addrs[id] == ""
	s.addrs[id], s.operators[id] = ln.Addr().String(), op.Addr().String()
	if fresh && id == 1 {
		r, err := consensus.Bootstrap(consensus.Membership{Voters: []consensus.Member{{ID: 1, Addr: s.addrs[1]}}}, nil)
		qt.Assert(s.t, err, qt.IsNil)
		s.folders[1].r = r
	}
	role, err := Start(Settings{
		ID:           id,
		Restored:     s.folders[id].restored(),
		Storage:      s.folders[id],
		Link:         ln,
		Operator:     op,
		OperatorAddr: s.operators[id],
		Instance:     api.InstanceID(fmt.Sprint("control-", id)),
		Key:          []byte(testKey),
		Token:        testToken,
		Limits:       state.DefaultLimits(),
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.roles[id] = role
}

func (s *site) kill(id consensus.MemberID) {
	qt.Check(s.t, s.roles[id].Stop(), qt.IsNil)
	delete(s.roles, id)
}

func (s *site) stop() {
	for id := range s.roles {
		s.kill(id)
	}
}

// ask calls the operator interface of the running members in turn until one
// gives another answer than unavailable.
func (s *site) ask(method, path string, in, out any) (int, opapi.Error) {
	s.t.Helper()
	deadline := time.Now().Add(soon)
	for time.Now().Before(deadline) {
		for id := range s.roles {
			status, e := s.askOne(id, testToken, method, path, in, out)
			if status != 0 && e.Reason != api.ReasonControlUnavailable {
				return status, e
			}
		}
	}
	s.t.Fatal("no member answered")
	return 0, opapi.Error{}
}

func (s *site) askOne(id consensus.MemberID, token, method, path string, in, out any) (int, opapi.Error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.operators[id] + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+token)
	if in != nil {
		b, err := json.Marshal(in)
		qt.Assert(s.t, err, qt.IsNil)
		req.SetBody(b)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if client.DoTimeout(req, resp, soon) != nil {
		return 0, opapi.Error{}
	}
	var e opapi.Error
	if resp.StatusCode() != http.StatusOK {
		_ = json.Unmarshal(resp.Body(), &e)
	} else if out != nil {
		qt.Assert(s.t, json.Unmarshal(resp.Body(), out), qt.IsNil)
	}
	return resp.StatusCode(), e
}

// change makes a change of the group; a learner may need a moment to catch up.
func (s *site) change(c opapi.MemberChange) {
	s.t.Helper()
	for {
		status, e := s.ask(http.MethodPost, opapi.PathMembers, c, nil)
		if status == http.StatusOK {
			return
		}
		if !strings.Contains(e.Message, consensus.ErrNotCaughtUp.Error()) {
			s.t.Fatalf("%+v: %+v", c, e)
		}
	}
}

func (s *site) apply(id string, base api.Revision, doc string) opapi.ConfigResult {
	s.t.Helper()
	var r opapi.ConfigResult
	status, e := s.ask(http.MethodPost, opapi.PathConfig, opapi.ConfigPut{ChangeID: id, Author: "ana", Base: base, Document: []byte(doc)}, &r)
	qt.Assert(s.t, status, qt.Equals, http.StatusOK, qt.Commentf("%+v", e))
	return r
}

// leader gives the member that says it leads.
func (s *site) leader() consensus.MemberID {
	s.t.Helper()
	var st opapi.Status
	for !st.Majority {
		s.ask(http.MethodGet, opapi.PathStatus, nil, &st)
	}
	return consensus.MemberID(st.Leader)
}

// watcher is an entry's client that keeps what it is given.
type watcher struct {
	client *Client
	mu     sync.Mutex
	got    []api.Revision
	last   string
	at     chan api.Revision
	drains chan []state.Drain
}

func (s *site) watcher(ctx context.Context, wg *conc.WaitGroup, name string, seeds ...consensus.MemberID) *watcher {
	w := &watcher{at: make(chan api.Revision, 1024), drains: make(chan []state.Drain, 1024)}
	opt := ClientOptions{
		Link:        LinkOptions([]byte(testKey), link.Peer{Instance: api.InstanceID(name), Role: link.RoleEntry}, nil),
		ReportEvery: 50 * time.Millisecond,
		Report: func() Report {
			w.mu.Lock()
			defer w.mu.Unlock()
			r := Report{Instance: api.InstanceID(name), Site: "maghreb-west", Targets: []TargetReport{{Target: "t1", Incarnation: 1}}}
			if len(w.got) > 0 {
				r.Revision = w.got[len(w.got)-1]
			}
			return r
		},
		OnDrains: func(d []state.Drain) { w.drains <- d },
		OnConfig: func(r api.Revision, doc []byte) {
			w.mu.Lock()
			w.got, w.last = append(w.got, r), string(doc)
			w.mu.Unlock()
			w.at <- r
		},
	}
	for _, id := range seeds {
		opt.Seeds = append(opt.Seeds, s.addrs[id])
	}
	w.client = NewClient(opt)
	wg.Go(func() { w.client.Run(ctx) })
	return w
}

func (w *watcher) reach(r api.Revision) string {
	for got := range w.at {
		if got >= r {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// Entries watch the configuration and claim calls over real links. The leader is
// killed: they find the new one, get the next revision as a patch, and never see
// a lower one; claims granted before are still known.
func TestEntriesOverALostLeader(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	a := s.watcher(ctx, &wg, "entry-a", 1, 2, 3)
	b := s.watcher(ctx, &wg, "entry-b", 3, 2, 1)
	c.Assert(s.apply("c0", 0, "limit: 10").Accepted, qt.IsTrue)
	c.Assert(a.reach(1), qt.Equals, "limit: 10")
	c.Assert(b.reach(1), qt.Equals, "limit: 10")
	req := claim.Request{Key: claim.Key{Customer: "atlas", Name: "frame-7"}, Place: claim.Place{Target: "booking-1", Incarnation: 1}, Claimant: "a1", Request: "r1"}
	first, err := a.client.Claim(ctx, req)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Verdict, qt.Equals, claim.Granted)

	old := s.leader()
	s.kill(old)
	c.Assert(s.apply("c1", 1, "limit: 20").Accepted, qt.IsTrue)
	c.Assert(a.reach(2), qt.Equals, "limit: 20")
	c.Assert(b.reach(2), qt.Equals, "limit: 20")
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

	s.start(old)
	c.Assert(s.apply("c0", 0, "limit: 10").Repeated, qt.IsTrue)
	c.Assert(s.apply("c2", 2, "limit: 30").Accepted, qt.IsTrue)
	c.Assert(a.reach(3), qt.Equals, "limit: 30")
	for _, w := range []*watcher{a, b} {
		w.mu.Lock()
		for i := 1; i < len(w.got); i++ {
			c.Check(w.got[i] > w.got[i-1], qt.IsTrue)
		}
		w.mu.Unlock()
	}
}

// Two of three members are lost. The one that is left refuses a change and a
// claim, says that no majority stands behind it, and still shows its own view.
func TestMinorityRefusesAndSaysSo(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 3)
	left := s.leader()
	for id := range s.addrs {
		if id != left {
			s.kill(id)
		}
	}
	for s.roles[left].Member().Status().Role == consensus.RoleLeader {
		time.Sleep(DefaultTick)
	}
	put := opapi.ConfigPut{ChangeID: "c0", Author: "ana", Document: []byte("x")}
	status, e := s.askOne(left, testToken, http.MethodPost, opapi.PathConfig, put, nil)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(e.Reason, qt.Equals, api.ReasonControlUnavailable)
	c.Assert(e.Outcome, qt.Equals, api.OutcomeNotRun)
	var st opapi.Status
	status, _ = s.askOne(left, testToken, http.MethodGet, opapi.PathStatus, nil, &st)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(st.Majority, qt.IsFalse)
	c.Assert(st.Members, qt.HasLen, 3)
}

// What each stranger is refused, by the operator interface and by links.
func TestStrangersAreRefused(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 1)
	for _, token := range []string{"", "wrong", testToken + "x"} {
		status, e := s.askOne(1, token, http.MethodGet, opapi.PathStatus, nil, nil)
		c.Check(status, qt.Equals, http.StatusUnauthorized)
		c.Check(e.Reason, qt.Equals, api.ReasonUnauthenticated)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	w := s.watcher(ctx, &wg, "entry", 1)
	for name, req := range map[string]Request{
		"config": configPut("c0", 0, "x"),
		"member": {Change: &MemberChange{Type: consensus.ChangeRemove, ID: 1}},
		"order":  {Command: &state.Command{Order: &order.Command{Op: order.OpSubmit, ID: "o"}}},
		"drain":  {Command: &state.Command{Drain: &state.Drain{Target: "t1"}}},
	} {
		r := w.client.Exec(ctx, req)
		c.Check(r.Reason, qt.Equals, api.ReasonForbidden, qt.Commentf("%s", name))
		c.Check(r.Outcome, qt.Equals, api.OutcomeNotRun)
	}
}

// An operator drains a target, orders a load, and looks at status, orders,
// history and the claim of a request.
func TestOperatorsDay(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	w := s.watcher(ctx, &wg, "entry", 1)
	s.apply("c0", 0, "x")
	w.reach(1)
	var o opapi.Order
	status, e := s.ask(http.MethodPost, opapi.PathOrders, opapi.Order{ID: "o1", Target: "t1", Action: "load_model", Model: "m"}, &o)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%+v", e))
	got, err := w.client.Order(ctx, order.Command{Op: order.OpTake, Target: "t1", Incarnation: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(got.Fence, qt.Equals, o.Fence)
	_, err = w.client.Order(ctx, order.Command{Op: order.OpFinish, Target: "t1", Incarnation: 1, Fence: got.Fence - 1})
	c.Assert(api.AsError(err).Reason, qt.Equals, api.ReasonStaleFence)
	_, err = w.client.Claim(ctx, claim.Request{Key: claim.Key{Customer: "a", Name: "k"}, Claimant: "c1", Request: "r7"})
	c.Assert(err, qt.IsNil)
	var cl opapi.Claim
	s.ask(http.MethodGet, opapi.PathClaims+"?request=r7", nil, &cl)
	c.Assert([]any{cl.Found, cl.State}, qt.DeepEquals, []any{true, "claimed"})
	var history []opapi.Revision
	s.ask(http.MethodGet, opapi.PathHistory, nil, &history)
	c.Assert(history, qt.HasLen, 1)
	var st opapi.Status
	for len(st.Sites) == 0 || st.Sites[0].Lowest != 1 {
		s.ask(http.MethodGet, opapi.PathStatus, nil, &st)
	}
	c.Assert(st.Targets, qt.HasLen, 1)
	c.Assert(st.Targets[0].State, qt.Equals, "up")
	c.Assert(st.Claims, qt.Equals, 1)
	s.ask(http.MethodPost, opapi.PathDrain, opapi.Drain{Target: "t1", Author: "ana"}, nil)
	for d := range w.drains {
		if len(d) == 1 {
			c.Assert(d[0].Target, qt.Equals, api.TargetID("t1"))
			break
		}
	}
	s.ask(http.MethodPost, opapi.PathDrain, opapi.Drain{Target: "t1", Undo: true}, nil)
	c.Assert(<-w.drains, qt.HasLen, 0)
}

// An operator evacuates a zone at one member and takes it back at another; entries hear
// of both, and one that starts reads it with the revision.
func TestOperatorEvacuatesAZone(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	heard := make(chan state.Evacuated, 16)
	client := NewClient(ClientOptions{
		Seeds:       []string{s.addrs[1]},
		Link:        LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil),
		OnEvacuated: func(e state.Evacuated) { heard <- e },
	})
	wg.Go(func() { client.Run(ctx) })
	order := func(evacuate bool) {
		for {
			status, _ := s.ask(http.MethodPost, opapi.PathZones, opapi.ZoneOrder{Zone: "a", Evacuated: evacuate, Author: "ana"}, nil)
			if status == http.StatusOK {
				return
			}
		}
	}
	order(true)
	c.Assert((<-heard).Zones, qt.DeepEquals, []api.Zone{"a"})
	confirmed, err := client.Confirm(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(confirmed.Evacuated.Zones, qt.DeepEquals, []api.Zone{"a"})
	var list []opapi.ZoneOrder
	status, _ := s.ask(http.MethodGet, opapi.PathZones, nil, &list)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(list, qt.HasLen, 1)
	c.Assert(list[0].Evacuated, qt.IsTrue)
	c.Assert(list[0].Author, qt.Equals, "ana")
	order(false)
	c.Assert((<-heard).Zones, qt.HasLen, 0)
	status, e := s.ask(http.MethodPost, opapi.PathZones, opapi.ZoneOrder{}, nil)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	c.Assert(e.Reason, qt.Equals, api.ReasonBadRequest)
}
