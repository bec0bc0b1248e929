package process

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/control"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/relay"
	"almondseam.dev/node/upstream"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// scriptedMember is a control member that passes on the configuration of revision 1 and answers reads as a
// test says.
type scriptedMember struct {
	addr string
	// read is called for each read after the first one; it returns nil for no reply. It may send messages.
	read atomic.Pointer[func(conn *link.Conn) *control.Reply]
}

func startScriptedMember(c *qt.C) *scriptedMember {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	m := &scriptedMember{addr: ln.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	acceptor := link.NewAcceptor(control.LinkOptions([]byte("a key of the tests"), link.Peer{Instance: "core-0", Role: link.RoleControl}, nil), func(conn *link.Conn) {
		conn.Run(ctx, func(message wire.Message) { m.handle(conn, message) })
	})
	srv := &fasthttp.Server{Handler: acceptor.Handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	c.TB.(*testing.T).Cleanup(func() {
		cancel()
		_ = srv.Shutdown()
		<-done
	})
	return m
}

func (m *scriptedMember) handle(conn *link.Conn, message wire.Message) {
	switch message := message.(type) {
	case *control.Watch:
		_ = conn.Send(&control.Leader{Self: true, Members: []string{m.addr}})
		if message.From == 0 {
			_ = conn.Send(&control.Update{Revision: 1, Document: document(1)})
		}
	case *control.Request:
		reply := &control.Reply{Outcome: api.OutcomeCompleted, Revision: 1}
		if read := m.read.Load(); read != nil {
			reply = (*read)(conn)
		}
		if reply != nil {
			reply.ID = message.ID
			_ = conn.Send(reply)
		}
	}
}

// secondRouteTable decodes a document: the route /second and the key "second" exist from version 2 on.
func secondRouteTable(d []byte, _ func()) (*routeconf.Table, error) {
	version := binary.BigEndian.Uint64(d)
	route := func(name, prefix string, public bool) routeconf.Route {
		return routeconf.Route{
			Name: name, Host: "127.0.0.1", Prefix: prefix, Kind: routeconf.KindIdempotent, Timeout: 10 * time.Second, MaxTargets: 1, Public: public,
			Split: []routeconf.Share{{Service: "s", Weight: 1}},
		}
	}
	conf := routeconf.Config{
		Version: version, Services: []routeconf.Service{{Name: "s"}}, HasCustomers: true,
		Routes: []routeconf.Route{route("first", "/first/", true), route("keyed", "/keyed/", false)},
	}
	if version > 1 {
		conf.Routes = append(conf.Routes, route("second", "/second/", true))
		conf.Customers = []routeconf.Customer{{Name: "c", Keys: []string{"second"}}}
	}
	return routeconf.Compile(conf)
}

// keyDialect reads the ID and the customer's key of a request.
type keyDialect struct{ headerDialect }

func (keyDialect) Ask(h http.Header) (relay.Ask, error) {
	return relay.Ask{Request: api.RequestID(h.Get("Id")), Key: h.Get("Key")}, nil
}

// startEntryAtMember starts an entry that follows the member and knows a target. It returns the address for
// callers.
func startEntryAtMember(c *qt.C, m *scriptedMember) string {
	return startEntryWith(c, m, secondRouteTable)
}

// startEntryWith is startEntryAtMember with another decoder of documents.
func startEntryWith(c *qt.C, m *scriptedMember, decode func([]byte, func()) (*routeconf.Table, error)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	log := zerolog.Nop()
	set := metrics.New(&log)
	observer := metrics.NewRelay(set)
	entry := NewRoutedEntry(RoutedEntrySettings{
		Instance: "front-0", Zone: "z", Key: []byte("a key of the tests"), Callers: ln, Seeds: []string{m.addr},
		Retries: retrybudget.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, Grace: time.Second,
	}, RoutedEntryPorts{
		Dialect: keyDialect{}, Pool: upstream.NewPool(observer), Engines: noEngines{}, Observer: observer, Metrics: set, Log: &log, Decode: decode,
	})
	entry.Start()
	c.TB.(*testing.T).Cleanup(func() { c.Check(entry.Stop(context.Background()), qt.IsNil) })
	entry.registry.Announce(directory.Record{
		Target: "t", Service: "s", Address: newTarget(c.TB.(*testing.T)).Listener.Addr().String(), Zone: "z", Slots: 8, Sequence: 1, State: directory.StateReady,
	})
	until(entry.Ready)
	return ln.Addr().String()
}

// TestRefusalGoesByTheNewestConfiguration guards against an entry that refuses a caller because of a
// configuration that is no longer the newest.
func TestRefusalGoesByTheNewestConfiguration(t *testing.T) {
	confirm := func(rev api.Revision) *control.Reply {
		return &control.Reply{Outcome: api.OutcomeCompleted, Revision: rev}
	}
	cases := []struct {
		name string
		read func(conn *link.Conn) *control.Reply
		// missing and unauthorized are the statuses for a route and a key of version 2.
		missing, unauthorized int
	}{
		{"held is the newest", func(*link.Conn) *control.Reply { return confirm(1) }, http.StatusNotFound, http.StatusUnauthorized},
		{"newer one is not passed on", func(*link.Conn) *control.Reply { return confirm(2) }, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"newer one comes after the read", func(conn *link.Conn) *control.Reply {
			_ = conn.Send(&control.Update{Revision: 2, Document: document(2)})
			return confirm(2)
		}, http.StatusOK, http.StatusOK},
		{"no majority", func(*link.Conn) *control.Reply {
			return &control.Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable}
		}, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"no reply", func(*link.Conn) *control.Reply { return nil }, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			m := startScriptedMember(c)
			addr := startEntryAtMember(c, m)
			m.read.Store(&tc.read)
			c.Assert(statusOf(c, addr, "/first/x", ""), qt.Equals, http.StatusOK)
			c.Assert(statusOf(c, addr, "/second/x", ""), qt.Equals, tc.missing)
			c.Assert(statusOf(c, addr, "/keyed/x", "second"), qt.Equals, tc.unauthorized)
		})
	}
}

// statusOf sends a caller's request and returns its status.
func statusOf(c *qt.C, addr, path, key string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Key", key)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	return resp.StatusCode
}
