package control

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
)

// An entry's member sends a patch that doesn't fit, and the member it turns to
// lags: it sends an older revision and an older list of drains first. The entry
// asks for a whole document, and neither goes back for a moment.
func TestClientNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	asked := make(chan Watch, 2)
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
	// The client may be back on a second link before the first has sent its last
	// message, so a turn is taken before anything is sent.
	var turn atomic.Int32
	addr := serveScript(t, func(conn *link.Conn, m wire.Message) {
		w, ok := m.(*Watch)
		if !ok {
			return
		}
		n := int(turn.Add(1)) - 1
		if n >= len(scripts) {
			return
		}
		asked <- *w
		for _, out := range scripts[n] {
			_ = conn.Send(out)
		}
	})
	var got []api.Revision
	var drains int
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	client := NewClient(ClientOptions{
		Seeds:    []string{addr},
		Link:     LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil),
		OnDrains: func([]state.Drain) { drains++ },
		OnConfig: func(r api.Revision, doc []byte) {
			got = append(got, r)
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
	c.Assert(<-asked, qt.Equals, Watch{})
	c.Assert(<-asked, qt.Equals, Watch{From: 5, Whole: true})
	c.Assert(got, qt.DeepEquals, []api.Revision{5, 8})
	c.Assert(drains, qt.Equals, 1)
}

// serveScript accepts control links one at a time and gives each message to
// handle.
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
