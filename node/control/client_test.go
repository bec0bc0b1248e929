package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
)

// The first member sends a patch to a revision that the client does not have. The
// second member lags and first sends an older revision and an older list of drains.
// The client must ask the second member for a whole document and must not deliver the
// older revision or the older list.
func TestClientNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	watches := make(chan Watch, 2)
	patch := state.MakePatch([]byte("six"), []byte("seven"))
	scripts := [][]wire.Message{
		{
			&Update{Revision: 5, Document: []byte("five")},
			&Drains{Index: 9, Targets: []state.Drain{{Target: "t1"}}},
			&Update{Revision: 7, Base: 6, Patch: &patch},
		},
		{
			&Drains{Index: 4},
			&Update{Revision: 3, Document: []byte("three")},
			&Update{Revision: 8, Document: []byte("eight")},
		},
	}
	// The client may open the second link before the first has sent its last message,
	// so each link takes its script before it sends anything.
	var nextScript atomic.Int32
	addr := serveScript(t, func(conn *link.Conn, m wire.Message) {
		w, ok := m.(*Watch)
		if !ok {
			return
		}
		n := int(nextScript.Add(1)) - 1
		if n >= len(scripts) {
			return
		}
		watches <- *w
		for _, out := range scripts[n] {
			_ = conn.Send(out)
		}
	})
	var revisions []api.Revision
	var drains int
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	client := NewClient(ClientOptions{
		Seeds:    []string{addr},
		Link:     LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil),
		OnDrains: func([]state.Drain) { drains++ },
		OnConfig: func(r api.Revision, doc []byte) {
			revisions = append(revisions, r)
			if r == 8 {
				close(done)
			}
		},
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	<-done
	cancel()
	<-ended
	c.Assert(<-watches, qt.Equals, Watch{})
	c.Assert(<-watches, qt.Equals, Watch{From: 5, Whole: true})
	c.Assert(revisions, qt.DeepEquals, []api.Revision{5, 8})
	c.Assert(drains, qt.Equals, 1)
}

// TestReplyAfterTheLastAttemptIsAwaited guards against the outcome unknown for a request of an operator
// that no member ran, because the time for attempts ended while the last reply was on its way.
func TestReplyAfterTheLastAttemptIsAwaited(t *testing.T) {
	c := qt.New(t)
	start, stop := context.WithCancel(context.Background())
	addr := serveScript(t, func(conn *link.Conn, m wire.Message) {
		if req, ok := m.(*Request); ok {
			stop()
			_ = conn.Send(&Reply{ID: req.ID, Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable})
		}
	})
	c.Assert(execWithin(start, addr).Outcome, qt.Equals, api.OutcomeNotRun)
}

// execWithin sends an empty command to the member at addr, with attempts until start ends, and
// returns the reply.
func execWithin(start context.Context, addr string) *Reply {
	ctx, cancel := context.WithCancel(context.Background())
	client := NewClient(ClientOptions{
		Seeds: []string{addr}, Link: LinkOptions([]byte(testKey), link.Peer{Instance: "control", Role: link.RoleControl}, nil),
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	return client.ExecWithin(start, ctx, Request{Command: &state.Command{}})
}

// TestRetryLeavesASilentLeader guards against entries that wait for a dead leader's answer until
// the silence of the link is noticed, while another member could answer.
func TestRetryLeavesASilentLeader(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	silent := serveScript(t, func(_ *link.Conn, m wire.Message) {
		if _, ok := m.(*Request); ok {
			<-release
		}
	})
	alive := serveScript(t, func(conn *link.Conn, m wire.Message) {
		switch m := m.(type) {
		case *Watch:
			_ = conn.Send(&Leader{Self: true})
		case *Request:
			_ = conn.Send(&Reply{ID: m.ID, Outcome: api.OutcomeCompleted, Result: &state.Result{Retry: &retrybudget.Answer{Granted: true}}})
		}
	})
	opt := LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil)
	opt.Silence = time.Hour
	client := NewClient(ClientOptions{Seeds: []string{alive}, Link: opt})
	client.nextAddr = silent
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	within, stop := context.WithTimeout(ctx, attemptTimeout)
	answer, err := client.Retry(within, retrybudget.Ask{ID: "1"})
	stop()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Granted, qt.IsTrue)
	close(release)
	cancel()
	<-ended
}

// serveScript accepts control links and passes each message that arrives to handle.
// It returns the address that it listens on.
func serveScript(t *testing.T, handle func(*link.Conn, wire.Message)) string {
	opt := LinkOptions([]byte(testKey), link.Peer{Instance: "control", Role: link.RoleControl}, nil)
	acceptor := link.NewAcceptor(opt, func(conn *link.Conn) {
		conn.Run(context.Background(), func(m wire.Message) { handle(conn, m) })
	})
	srv := &fasthttp.Server{Handler: acceptor.Handler}
	ln := listen(t, "")
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = srv.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = srv.Shutdown()
		<-served
	})
	return ln.Addr().String()
}

// TestLinkIsNotClosedUnderAnAttempt guards against the outcome unknown for a request that no member
// ran, because the client left the member for another, or for want of a leader, before its reply
// arrived.
func TestLinkIsNotClosedUnderAnAttempt(t *testing.T) {
	for name, leader := range map[string]Leader{
		"another member leads": {Addr: "127.0.0.1:1"},
		"no leader":            {},
		"no group":             {Groupless: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start, stop := context.WithCancel(context.Background())
			addr := serveScript(t, func(conn *link.Conn, m wire.Message) {
				req, ok := m.(*Request)
				if !ok {
					return
				}
				_ = conn.Send(&leader)
				stop()
				time.Sleep(leaderlessTimeout + 300*time.Millisecond)
				_ = conn.Send(&Reply{ID: req.ID, Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable})
			})
			c.Check(execWithin(start, addr).Outcome, qt.Equals, api.OutcomeNotRun)
		})
	}
}
