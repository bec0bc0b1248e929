package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/control/opapi"
	"almondseam.dev/node/durable"
	"almondseam.dev/node/link"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
)

const loopback = "127.0.0.1:0"

var (
	fleetKey  = []byte("a key for measurements on loopback")
	pathCodec = wire.NewCodec(append(wire.PathProtos(), rollout.Protos()...)...)
)

// member is one control member with its folder and its listener.
type member struct {
	id    consensus.MemberID
	addr  string
	store *durable.Store
	role  *control.Role
	ln    *stallListener
}

// entryNode is one entry with its links' listener.
type entryNode struct {
	client *control.Client
	config *rollout.Entry
	hub    *rollout.Hub
	server *fasthttp.Server
	ln     *stallListener
}

// fleet is all processes of a run.
type fleet struct {
	ctx     context.Context
	o       options
	result  *result
	wg      conc.WaitGroup
	cancel  context.CancelFunc
	members []*member
	entries []*entryNode
	client  *control.Client // the operator's
}

func newFleet(ctx context.Context, o options) *fleet {
	ctx, cancel := context.WithCancel(ctx)
	return &fleet{ctx: ctx, cancel: cancel, o: o, result: newResult()}
}

func (f *fleet) stop() {
	f.cancel()
	for _, e := range f.entries {
		_ = e.server.Shutdown()
	}
	for _, m := range f.members {
		m.stop()
	}
	f.wg.Wait()
}

func (m *member) stop() {
	if m.role == nil {
		return
	}
	_ = m.role.Stop()
	_ = m.store.Close()
	m.role = nil
}

// startMembers opens the folders and starts a group of them.
func (f *fleet) startMembers(dir string) error {
	var group consensus.Membership
	for i := range f.o.members {
		store, _, err := durable.Open(durable.OS{}, filepath.Join(dir, fmt.Sprint(i)))
		if err != nil {
			return err
		}
		ln, err := listen()
		if err != nil {
			return err
		}
		m := &member{id: store.ID(), addr: ln.Addr().String(), store: store, ln: ln}
		f.members = append(f.members, m)
		group.Voters = append(group.Voters, consensus.Member{ID: m.id, Addr: m.addr})
	}
	start, err := consensus.Bootstrap(group, nil)
	if err != nil {
		return err
	}
	for _, m := range f.members {
		if err := m.start(start); err != nil {
			return err
		}
	}
	f.client = control.NewClient(control.ClientOptions{Seeds: f.seeds(), Link: linkOptions("operator", link.RoleControl)})
	f.wg.Go(func() { f.client.Run(f.ctx) })
	return nil
}

func (m *member) start(r consensus.Restored) error {
	if err := m.store.SaveSnapshot(r.Snapshot); err != nil {
		return err
	}
	if err := m.store.Save(&r.HardState, nil, true); err != nil {
		return err
	}
	role, err := control.Start(control.Settings{
		ID:       m.id,
		Restored: r,
		Storage:  m.store,
		Link:     m.ln,
		Instance: api.InstanceID(fmt.Sprint(m.id)),
		Key:      fleetKey,
		Limits:   state.DefaultLimits(),
		Validate: func(b []byte) error { _, err := fleetconfig.DecodeDocument(b); return err },
	})
	m.role = role
	return err
}

func (f *fleet) seeds() []string {
	var out []string
	for _, m := range f.members {
		out = append(out, m.addr)
	}
	return out
}

func linkOptions(name string, role link.Role) link.Options {
	return control.LinkOptions(fleetKey, link.Peer{Instance: api.InstanceID(name), Zone: "z", Role: role}, nil)
}

// entryLink is an entry's link to the control group.
func (f *fleet) entryLink(name string) link.Options {
	opt := linkOptions(name, link.RoleEntry)
	opt.Silence = f.o.silence
	return opt
}

// startNodes starts the entries and their agents and waits until all serve.
func (f *fleet) startNodes() error {
	if err := f.put(1); err != nil {
		return err
	}
	for i := range f.o.entries {
		if err := f.startEntry(fmt.Sprintf("e%d", i)); err != nil {
			return err
		}
	}
	for i := range f.o.agents {
		f.startAgent(fmt.Sprintf("g%d", i), i)
	}
	return f.await(1)
}

func (f *fleet) startEntry(name string) error {
	ln, err := listen()
	if err != nil {
		return err
	}
	e := &entryNode{ln: ln}
	e.client = control.NewClient(control.ClientOptions{
		Seeds:    f.seeds(),
		Link:     f.entryLink(name),
		OnConfig: func(rev api.Revision, doc []byte) { e.config.Deliver(rev, doc) },
		Report:   func() control.Report { return e.report(name) },
	})
	e.hub = rollout.NewHub(rollout.HubOptions{Source: e.client, Observer: probe{name, f.result}})
	e.config = rollout.NewEntry(rollout.EntryOptions{
		Zone: "z", Live: &fleetconfig.Live{}, Source: e.client, Hub: e.hub, Observer: probe{name, f.result},
	})
	acceptor := link.NewAcceptor(pathOptions(name, link.RoleEntry), func(c *link.Conn) {
		s := e.hub.Attach(c.Peer().Instance, c)
		defer s.Close()
		c.Run(f.ctx, func(m wire.Message) { s.Handle(m) })
	})
	e.server = &fasthttp.Server{Handler: acceptor.Handler}
	f.wg.Go(func() { _ = e.server.Serve(ln) })
	f.wg.Go(func() { e.client.Run(f.ctx) })
	f.wg.Go(func() { e.config.Run(f.ctx) })
	f.wg.Go(func() { e.hub.Run(f.ctx) })
	f.entries = append(f.entries, e)
	return nil
}

func (e *entryNode) report(name string) control.Report {
	rev, site := e.config.InForce()
	r := control.Report{Instance: api.InstanceID(name), Site: site, Revision: rev}
	for _, n := range e.hub.Nodes() {
		r.Nodes = append(r.Nodes, control.NodeReport{Instance: n.Instance, Site: n.Site, Revision: n.Revision})
	}
	return r
}

func pathOptions(name string, role link.Role) link.Options {
	return link.Options{Key: fleetKey, Self: link.Peer{Instance: api.InstanceID(name), Zone: "z", Role: role}, Codec: pathCodec}
}

func (f *fleet) startAgent(name string, i int) {
	a := rollout.NewAgent(rollout.AgentOptions{Zone: "z", Live: &fleetconfig.Live{}, Observer: probe{name, f.result}})
	f.wg.Go(func() { a.Run(f.ctx) })
	for k := range 2 {
		addr := f.entries[(i+k)%len(f.entries)].ln.Addr().String()
		f.wg.Go(func() { f.keepLink(a, name, addr) })
	}
}

// redial is the mean wait between two dials.
const redial = 200 * time.Millisecond

func (f *fleet) keepLink(a *rollout.Agent, name, addr string) {
	for f.ctx.Err() == nil {
		if conn, err := link.Dial(f.ctx, addr, pathOptions(name, link.RoleAgent)); err == nil {
			detach := a.Attach(conn)
			conn.Run(f.ctx, func(m wire.Message) { a.Handle(conn, m) })
			detach()
		}
		time.Sleep(redial/2 + rand.N(redial))
	}
}

// document gives the configuration of a run; each revision changes one value.
func (f *fleet) document(rev int) ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "name: bench\nsites: [{id: s, region: r, zones: [z]}]\nlimits: {max_connections: %d}\ncustomers:\n", rev)
	for i := range f.o.customers {
		id := fmt.Sprintf("customer-%04d", i)
		fmt.Fprintf(&b, "  - {id: %s, keys: [%q], weight: %d, max_concurrent: 64, tokens_per_second: 8000/s, burst_tokens: 40000}\n", id, fleetconfig.KeySum(id), 1+i%9)
	}
	d, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base", Data: []byte(b.String())}, nil)
	if err != nil {
		return nil, err
	}
	return fleetconfig.EncodeDocument(d)
}

// put has one revision accepted.
func (f *fleet) put(rev int) error {
	doc, err := f.document(rev)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(f.ctx, patience)
	defer cancel()
	sent := time.Now()
	r := f.client.Exec(ctx, control.Request{Command: &state.Command{Config: &state.ConfigPut{
		ChangeID: fmt.Sprint("change-", rev), Author: "bench", Base: api.Revision(rev - 1), Document: doc,
	}}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Config == nil || !r.Result.Config.Accepted {
		return fmt.Errorf("revision %d was not accepted: %+v", rev, r)
	}
	if rev > 1 {
		f.result.note(f.result.sent, api.Revision(rev), sent)
		f.result.note(f.result.accepted, api.Revision(rev), time.Now())
	}
	return nil
}

// await waits until every process has a revision in force.
func (f *fleet) await(rev int) error {
	end := time.Now().Add(patience)
	for !f.result.all(api.Revision(rev), f.o.entries+f.o.agents) {
		if time.Now().After(end) {
			return fmt.Errorf("revision %d is not in force everywhere", rev)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// changeAll has the changes accepted at their pace, with the fault at half.
func (f *fleet) changeAll() error {
	f.wg.Go(f.watchStatus)
	last := f.o.changes + 1
	for rev := 2; rev <= last; rev++ {
		if rev == 2+f.o.changes/2 {
			f.fail()
		}
		if err := f.put(rev); err != nil {
			return err
		}
		time.Sleep(f.o.every)
	}
	if err := f.await(last); err != nil {
		return err
	}
	return f.awaitKnown(api.Revision(last))
}

// fail brings about the run's fault.
func (f *fleet) fail() {
	switch f.o.fault {
	case faultMember:
		f.leader().stop()
	case faultControl:
		f.leader().ln.stall(1)
	case faultAgent:
		f.entries[0].ln.stall(2 * f.o.agents / f.o.entries)
	}
}

func (f *fleet) leader() *member {
	for _, m := range f.members {
		if m.role != nil && m.role.Member().Status().Role == consensus.RoleLeader {
			return m
		}
	}
	return f.members[0]
}

// statusEvery is the pace at which an operator would ask.
const statusEvery = 100 * time.Millisecond

// watchStatus asks the leader what is in force, as almondctl status does.
func (f *fleet) watchStatus() {
	for f.ctx.Err() == nil {
		time.Sleep(statusEvery)
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		r := f.client.Exec(ctx, control.Request{Status: true})
		cancel()
		var s opapi.Status
		if json.Unmarshal(r.Status, &s) != nil || len(s.Sites) != 1 || s.Sites[0].Instances < f.o.entries+f.o.agents {
			continue
		}
		f.noteKnown(s.Sites[0].Lowest)
	}
}

func (f *fleet) noteKnown(lowest api.Revision) {
	f.result.mu.Lock()
	defer f.result.mu.Unlock()
	for rev := range f.result.accepted {
		if _, ok := f.result.known[rev]; !ok && rev <= lowest {
			f.result.known[rev] = time.Now()
		}
	}
}

func (f *fleet) awaitKnown(rev api.Revision) error {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		f.result.mu.Lock()
		_, ok := f.result.known[rev]
		f.result.mu.Unlock()
		if ok {
			return nil
		}
		time.Sleep(statusEvery)
	}
	return fmt.Errorf("revision %d is not known to be in force", rev)
}

func listen() (*stallListener, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	return &stallListener{Listener: ln}, nil
}
