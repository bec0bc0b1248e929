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

// member is a control member with its data folder and the listener for its links.
type member struct {
	id    consensus.MemberID
	addr  string
	store *durable.Store
	role  *control.Role
	ln    *stallListener
}

// entryNode is an entry with the listener for the links of agents.
type entryNode struct {
	client *control.Client
	config *rollout.Entry
	hub    *rollout.Hub
	server *fasthttp.Server
	ln     *stallListener
}

// fleet holds the control members, the entries and the operator's client of a run.
type fleet struct {
	ctx     context.Context
	o       options
	result  *result
	wg      conc.WaitGroup
	cancel  context.CancelFunc
	members []*member
	entries []*entryNode
	client  *control.Client // sends the operator's requests
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

// startMembers opens the data folders, starts a control group on them and connects
// the operator's client.
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

// entryLinkOptions returns the options of an entry's link to the control group.
func (f *fleet) entryLinkOptions(name string) link.Options {
	opt := linkOptions(name, link.RoleEntry)
	opt.Silence = f.o.silence
	return opt
}

// startNodes puts revision 1, starts the entries and agents, and waits until revision 1
// is in force on all of them.
func (f *fleet) startNodes() error {
	if err := f.putRevision(1); err != nil {
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
	return f.awaitInForce(1)
}

func (f *fleet) startEntry(name string) error {
	ln, err := listen()
	if err != nil {
		return err
	}
	e := &entryNode{ln: ln}
	e.client = control.NewClient(control.ClientOptions{
		Seeds:    f.seeds(),
		Link:     f.entryLinkOptions(name),
		OnConfig: func(rev api.Revision, doc []byte) { e.config.Deliver(rev, doc) },
		Report:   func() control.Report { return e.report(name) },
	})
	e.hub = rollout.NewHub(rollout.HubOptions{Source: e.client, Observer: processObserver{name, f.result}})
	e.config = rollout.NewEntry(rollout.EntryOptions{
		Zone: "z", Live: &fleetconfig.Live{}, Source: e.client, Hub: e.hub, Observer: processObserver{name, f.result},
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
	a := rollout.NewAgent(rollout.AgentOptions{Zone: "z", Live: &fleetconfig.Live{}, Observer: processObserver{name, f.result}})
	f.wg.Go(func() { a.Run(f.ctx) })
	for k := range 2 {
		addr := f.entries[(i+k)%len(f.entries)].ln.Addr().String()
		f.wg.Go(func() { f.keepLink(a, name, addr) })
	}
}

// redialDelay is the mean delay between the end of a link, or a failed dial, and the
// next dial.
const redialDelay = 200 * time.Millisecond

// keepLink keeps a link from an agent to the entry at addr, and dials again when it ends.
func (f *fleet) keepLink(a *rollout.Agent, name, addr string) {
	for f.ctx.Err() == nil {
		if conn, err := link.Dial(f.ctx, addr, pathOptions(name, link.RoleAgent)); err == nil {
			detach := a.Attach(conn)
			conn.Run(f.ctx, func(m wire.Message) { a.Handle(conn, m) })
			detach()
		}
		time.Sleep(redialDelay/2 + rand.N(redialDelay))
	}
}

// document returns the encoded configuration of revision rev. Revisions differ in one
// value, max_connections.
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

// putRevision sends a revision to the control group, waits for its acceptance and
// records both times, except those of revision 1.
func (f *fleet) putRevision(rev int) error {
	doc, err := f.document(rev)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(f.ctx, waitTimeout)
	defer cancel()
	sent := time.Now()
	r := f.client.Exec(ctx, control.Request{Command: &state.Command{Config: &state.ConfigPut{
		ChangeID: fmt.Sprint("change-", rev), Author: "bench", Base: api.Revision(rev - 1), Document: doc,
	}}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Config == nil || !r.Result.Config.Accepted {
		return fmt.Errorf("revision %d was not accepted: %+v", rev, r)
	}
	if rev > 1 {
		f.result.recordTime(f.result.sent, api.Revision(rev), sent)
		f.result.recordTime(f.result.accepted, api.Revision(rev), time.Now())
	}
	return nil
}

// awaitInForce waits until a revision or a later one is in force on every entry and agent.
func (f *fleet) awaitInForce(rev int) error {
	deadline := time.Now().Add(waitTimeout)
	for !f.result.allReached(api.Revision(rev), f.o.entries+f.o.agents) {
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is not in force everywhere", rev)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// applyChanges puts the changes one after the other, with the pause o.every after each,
// and injects the fault after half of them. It returns when the last revision is in
// force and the status reports it.
func (f *fleet) applyChanges() error {
	f.wg.Go(f.watchStatus)
	last := f.o.changes + 1
	for rev := 2; rev <= last; rev++ {
		if rev == 2+f.o.changes/2 {
			f.injectFault()
		}
		if err := f.putRevision(rev); err != nil {
			return err
		}
		time.Sleep(f.o.every)
	}
	if err := f.awaitInForce(last); err != nil {
		return err
	}
	return f.awaitReported(api.Revision(last))
}

// injectFault causes the fault that the options name.
func (f *fleet) injectFault() {
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

// statusInterval is the interval between status polls. It stands for the rate at which
// an operator would poll.
const statusInterval = 100 * time.Millisecond

// watchStatus polls the status of the control group, as almondctl status does, and
// records which revisions it reports in force on all entries and agents.
func (f *fleet) watchStatus() {
	for f.ctx.Err() == nil {
		time.Sleep(statusInterval)
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		r := f.client.Exec(ctx, control.Request{Status: true})
		cancel()
		var s opapi.Status
		if json.Unmarshal(r.Status, &s) != nil || len(s.Sites) != 1 || s.Sites[0].Instances < f.o.entries+f.o.agents {
			continue
		}
		f.recordReported(s.Sites[0].Lowest)
	}
}

// recordReported records the current time for each accepted revision up to lowest that
// has not been reported before.
func (f *fleet) recordReported(lowest api.Revision) {
	f.result.mu.Lock()
	defer f.result.mu.Unlock()
	for rev := range f.result.accepted {
		if _, ok := f.result.reported[rev]; !ok && rev <= lowest {
			f.result.reported[rev] = time.Now()
		}
	}
}

// awaitReported waits until the status has reported a revision in force everywhere.
func (f *fleet) awaitReported(rev api.Revision) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		f.result.mu.Lock()
		_, ok := f.result.reported[rev]
		f.result.mu.Unlock()
		if ok {
			return nil
		}
		time.Sleep(statusInterval)
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
