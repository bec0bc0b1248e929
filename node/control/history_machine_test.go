package control

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/regroup"
	"almondseam.dev/core/rollout"
	"almondseam.dev/core/state"
	"almondseam.dev/node/durable"
	"almondseam.dev/node/durable/memfs"
	"almondseam.dev/node/link"
)

// linkSilence is the silence timeout of the links, as routed fleets set it.
const linkSilence = 1800 * time.Millisecond

// simMachine is a machine with a control member. The fields after net are guarded by history.mu.
type simMachine struct {
	h    *history
	name string
	addr string

	founding bool
	disk     *memfs.FS
	process  *simProcess // nil while it does not run
	lives    uint64
	retired  bool      // gone for good
	left     time.Time // when it was taken away, zero if its address may not be used again
}

// simProcess is one run of a control member.
type simProcess struct {
	ctx    context.Context
	cancel context.CancelFunc
	disk   *simDisk
	role   *Role // nil until it has started
	ended  chan struct{}
}

func (h *history) addMachine(founding bool) *simMachine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addMachineAt(fmt.Sprint("control-", len(h.machines)+1), founding)
}

// addMachineAt adds a machine under a name, and thus at an address, that may have belonged to another
// one.
func (h *history) addMachineAt(name string, founding bool) *simMachine {
	m := &simMachine{h: h, name: name, addr: name + ":7060", founding: founding, disk: memfs.New()}
	h.machines = append(h.machines, m)
	return m
}

// founderID is process.FounderID.
func founderID(addr string) consensus.MemberID {
	f := fnv.New64a()
	_, _ = f.Write([]byte(addr))
	return consensus.MemberID(f.Sum64() | 1)
}

// start runs the machine's process, as process.RoutedControl does.
func (m *simMachine) start() {
	h := m.h
	h.net.powerOn(m.name)
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.process != nil {
		return
	}
	m.lives++
	p := &simProcess{disk: newSimDisk(m.disk, h.seed+m.lives), ended: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	m.process = p
	seeds := append([]string(nil), h.seeds...)
	founding := m.founding && m.lives == 1
	h.noteLocked("%s starts, seeds %v", m.name, seeds)
	h.wg.Go(func() {
		defer close(p.ended)
		err := m.run(p, seeds, founding)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil && !p.disk.isDead() {
			h.failLocked("%s ended: %v", m.name, err)
		}
	})
}

func (d *simDisk) isDead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dead
}

func (m *simMachine) run(p *simProcess, seeds []string, founding bool) error {
	store, restored, err := m.open(p.disk, seeds, founding)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	if p.ctx.Err() != nil {
		return nil
	}
	ln, err := m.h.net.listen(m.addr)
	if err != nil {
		return err
	}
	role, err := Start(Settings{
		ID: store.ID(), Restored: restored, Storage: store, Link: ln,
		Instance: api.InstanceID(m.name), Key: []byte(testKey), Validate: validateDocument,
		Observer: simObserver{h: m.h, name: m.name}, Limits: m.h.limits,
		Join: &Join{Seeds: seeds, Self: m.addr}, Silence: linkSilence, NetDial: m.h.net.dialer(m.name),
		SnapshotEntries: simSnapshotEntries,
	})
	if err != nil {
		return err
	}
	m.h.mu.Lock()
	p.role = role
	m.h.members = append(m.h.members, role.Member())
	m.h.noteLocked("%s runs as member %x, term %d, log %d to %d", m.name, uint64(store.ID()), restored.HardState.Term, restored.Snapshot.Index, restored.Snapshot.Index+uint64(len(restored.Entries)))
	m.h.mu.Unlock()
	select {
	case <-p.ctx.Done():
	case <-role.Ended():
	}
	return role.Stop()
}

// simSnapshotEntries is low, so that members join and restart from snapshots too.
const simSnapshotEntries = 40

func validateDocument(document []byte) error {
	if versionOf(document) == 0 {
		return errors.New("no version")
	}
	return nil
}

func (m *simMachine) open(disk *simDisk, seeds []string, founding bool) (*durable.Store, consensus.Restored, error) {
	if !founding {
		return durable.Open(disk, "/data")
	}
	store, restored, err := durable.OpenAs(disk, "/data", founderID(m.addr))
	if err != nil {
		return nil, restored, err
	}
	var group consensus.Membership
	for _, addr := range seeds {
		group.Voters = append(group.Voters, consensus.Member{ID: founderID(addr), Addr: addr})
	}
	restored, err = consensus.Bootstrap(group, nil)
	if err == nil {
		err = store.SaveSnapshot(restored.Snapshot)
	}
	if err == nil {
		err = store.Save(&restored.HardState, restored.Entries, true)
	}
	return store, restored, err
}

// stopMode is how a process ends.
type stopMode string

const (
	stopTerm  stopMode = "is stopped"
	stopKill  stopMode = "is killed"
	stopPower stopMode = "loses power"
)

// stop ends the machine's process.
func (m *simMachine) stop(how stopMode) {
	h := m.h
	h.mu.Lock()
	p := m.process
	m.process = nil
	if p == nil {
		h.mu.Unlock()
		return
	}
	h.noteLocked("%s %s", m.name, how)
	keep := []func() float64{func() float64 { return 0 }, func() float64 { return 1 }, h.rng.Float64}[h.rng.IntN(3)]
	h.mu.Unlock()
	switch how {
	case stopTerm:
		p.cancel()
		<-p.ended
		return
	case stopKill:
		h.net.end(m.name, false)
		p.disk.die()
	case stopPower:
		h.net.end(m.name, true)
		p.disk.die()
		m.disk = m.disk.AfterPowerLoss(keep)
	}
	p.cancel()
}

// wipe replaces the disk of a machine that does not run.
func (m *simMachine) wipe() {
	m.h.note("%s has an empty disk", m.name)
	m.disk = memfs.New()
}

func (m *simMachine) role() (*simProcess, *Role) {
	m.h.mu.Lock()
	defer m.h.mu.Unlock()
	if m.process == nil {
		return nil, nil
	}
	return m.process, m.process.role
}

// exec executes a request. It reports false if the process ends before it has answered.
func (m *simMachine) exec(ctx context.Context, req Request) (*Role, *Reply, bool) {
	p, role := m.role()
	if role == nil {
		return nil, nil, false
	}
	replies := make(chan *Reply, 1)
	m.h.wg.Go(func() { replies <- role.Exec(ctx, req) })
	select {
	case r := <-replies:
		return role, r, p.ctx.Err() == nil
	case <-p.ctx.Done():
		return nil, nil, false
	}
}

var errNoAnswer = api.NotRun(api.StepConfig, "", api.ReasonControlUnavailable, errors.New("no answer"))

// put is process.RoutedControl.Put.
func (m *simMachine) put(ctx context.Context, version uint64, document []byte) error {
	_, r, ok := m.exec(ctx, Request{Command: &state.Command{Config: &state.ConfigPut{Version: version, Document: document}}})
	switch {
	case !ok:
		return errNoAnswer
	case r.Outcome != api.OutcomeCompleted:
		return &api.Error{Step: api.StepConfig, Outcome: r.Outcome, Reason: r.Reason, Err: errors.New(r.Message)}
	case r.Result == nil || r.Result.Config == nil:
		return &api.Error{Step: api.StepConfig, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: errors.New("the reply has no result")}
	case !r.Result.Config.Accepted:
		return api.NotRun(api.StepConfig, "", r.Result.Config.Reason, errors.New(r.Result.Config.Message))
	}
	return nil
}

// get is process.RoutedControl.Get.
func (m *simMachine) get(ctx context.Context) (state.Config, bool) {
	role, r, ok := m.exec(ctx, Request{Read: true})
	if !ok || r.Outcome != api.OutcomeCompleted {
		return state.Config{}, false
	}
	conf, ok := role.Member().ConfigAt(ctx, r.Revision)
	return conf, ok && conf.Document != nil
}

// simObserver notes what happens to members.
type simObserver struct {
	noObserver
	h    *history
	name string
}

func (o simObserver) LeaderChanged(leader consensus.MemberID, term uint64) {
	o.h.note("%s: leader %x in term %d", o.name, uint64(leader), term)
}

func (o simObserver) MembershipChangeProposed(d regroup.Decision, err error) {
	o.h.note("%s: %v of %x by %s of %x, silent for %v (%v)", o.name, d.Change.Type, uint64(d.Change.ID), d.Cause, uint64(d.Lost), d.SilentFor, err)
}

// simEntry is an entry as process.RoutedEntry follows the group. The fields after name are guarded
// by history.mu.
type simEntry struct {
	h    *history
	name string

	running  bool
	started  time.Time
	floor    uint64 // confirmed when it started
	served   uint64
	reported bool
	cancel   context.CancelFunc
}

func (h *history) addEntry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, &simEntry{h: h, name: fmt.Sprint("entry-", len(h.entries)+1)})
}

func (e *simEntry) start() {
	h := e.h
	h.net.powerOn(e.name)
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.running {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.running, e.started, e.floor, e.served, e.reported, e.cancel = true, time.Now(), h.confirmed, 0, false, cancel
	h.noteLocked("%s starts, seeds %v", e.name, h.seeds)
	opt := LinkOptions([]byte(testKey), link.Peer{Instance: api.InstanceID(e.name), Role: link.RoleEntry}, simLinks{h, e.name})
	opt.Silence, opt.NetDial = linkSilence, h.net.dialer(e.name)
	gate := &rollout.Gate[[]byte]{}
	release := func(ctx context.Context, doc []byte, ok bool) {
		if ok && ctx.Err() == nil {
			e.serveLocked(gate.Served(), doc)
		}
	}
	client := NewClient(ClientOptions{
		Seeds: append([]string(nil), h.seeds...), Link: opt,
		OnConfig: func(r api.Revision, doc []byte) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.sawLocked(e.name, r, doc)
			released, ok := gate.Take(r, doc)
			release(ctx, released, ok)
		},
	})
	h.wg.Go(func() { client.Run(ctx) })
	h.wg.Go(func() {
		for ctx.Err() == nil {
			confirmed, err := client.Confirm(ctx)
			if err == nil {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.noteLocked("%s: revision %d is confirmed", e.name, confirmed.Revision)
				doc, ok := gate.Confirm(confirmed.Revision)
				release(ctx, doc, ok)
				return
			}
			sleep(ctx, 100*time.Millisecond)
		}
	})
}

func (e *simEntry) serveLocked(r api.Revision, doc []byte) {
	v := versionOf(doc)
	e.h.noteLocked("%s serves version %d, revision %d", e.name, v, r)
	if v < e.floor {
		e.h.failLocked("%s serves version %d; version %d was confirmed before it started", e.name, v, e.floor)
	}
	if v < e.served {
		e.h.failLocked("%s goes back from version %d to %d", e.name, e.served, v)
	}
	e.served = v
}

func (e *simEntry) stop(power bool) {
	e.h.mu.Lock()
	if !e.running {
		e.h.mu.Unlock()
		return
	}
	e.h.noteLocked("%s stops", e.name)
	e.running = false
	e.cancel()
	e.h.mu.Unlock()
	e.h.net.end(e.name, power)
}

// simLinks notes the links of an entry.
type simLinks struct {
	h    *history
	name string
}

func (l simLinks) LinkUp(p link.Peer) { l.h.note("%s: link to %s", l.name, p.Instance) }
func (l simLinks) LinkClosed(p link.Peer, why string) {
	l.h.note("%s: link to %s closed: %s", l.name, p.Instance, why)
}
func (l simLinks) HandshakeFailed(err error) { l.h.note("%s: %v", l.name, err) }
