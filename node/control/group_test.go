package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// memStorage is a Storage in memory. Its content survives when the member is killed.
type memStorage struct {
	mu   sync.Mutex
	data consensus.Restored
	err  error
	// syncTime is the duration of a save with sync.
	syncTime time.Duration
	saves    int
}

func (f *memStorage) Save(hs *consensus.HardState, entries []consensus.Entry, sync bool) error {
	if sync && f.syncTime > 0 {
		time.Sleep(f.syncTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	f.saves++
	if hs != nil {
		f.data.HardState = *hs
	}
	if len(entries) > 0 {
		keep := entries[0].Index - f.data.Snapshot.Index - 1
		f.data.Entries = append(f.data.Entries[:keep:keep], entries...)
	}
	return nil
}

func (f *memStorage) SaveSnapshot(s consensus.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	drop := min(s.Index-f.data.Snapshot.Index, uint64(len(f.data.Entries)))
	f.data.Entries = append([]consensus.Entry(nil), f.data.Entries[drop:]...)
	f.data.Snapshot = s
	if f.data.HardState.Commit < s.Index {
		f.data.HardState.Commit = s.Index
	}
	return nil
}

func (f *memStorage) restored() consensus.Restored {
	f.mu.Lock()
	defer f.mu.Unlock()
	data := f.data
	data.Entries = append([]consensus.Entry(nil), f.data.Entries...)
	return data
}

// group is a control group in one process whose members exchange messages by function
// calls. It is meant for a synctest bubble.
type group struct {
	t        testing.TB
	mu       sync.Mutex
	storages map[consensus.MemberID]*memStorage
	running  map[consensus.MemberID]*running
	// cutLinks holds the directed links, as sender and receiver, that lose all messages.
	cutLinks      map[[2]consensus.MemberID]bool
	limits        state.Limits
	snapshotEvery uint64        // Options.SnapshotEntries of the members
	sync          time.Duration // duration of a save with sync
	// retries limits the retries that the group grants.
	retries retrybudget.Limits
}

type running struct {
	member *Member
	cancel context.CancelFunc
	done   chan error
}

func newGroup(t testing.TB) *group {
	return &group{
		t:             t,
		storages:      make(map[consensus.MemberID]*memStorage),
		running:       make(map[consensus.MemberID]*running),
		cutLinks:      make(map[[2]consensus.MemberID]bool),
		limits:        state.DefaultLimits(),
		snapshotEvery: snapshotEntries,
	}
}

// memTransport is the Transport of the members of a group.
type memTransport struct{ g *group }

func (t memTransport) Members(consensus.Membership) {}

func (t memTransport) Send(m consensus.Message) {
	t.g.mu.Lock()
	r := t.g.running[m.To]
	lost := t.g.cutLinks[[2]consensus.MemberID{m.From, m.To}]
	t.g.mu.Unlock()
	if r != nil && !lost {
		r.member.Receive(m)
	}
}

// start starts a member with its storage, or with an empty one if it has none.
func (g *group) start(id consensus.MemberID) *Member {
	g.t.Helper()
	f := g.storages[id]
	if f == nil {
		f = &memStorage{syncTime: g.sync}
		g.storages[id] = f
	}
	m, err := NewMember(Options{
		ID:              id,
		Restored:        f.restored(),
		Consensus:       consensus.Config{Rand: rand.New(rand.NewPCG(uint64(id), 7))},
		Limits:          g.limits,
		Storage:         f,
		Transport:       memTransport{g},
		SnapshotEntries: g.snapshotEvery,
		Retries:         g.retries,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{member: m, cancel: cancel, done: make(chan error, 1)}
	g.mu.Lock()
	g.running[id] = r
	g.mu.Unlock()
	go func() { r.done <- m.Run(ctx) }()
	return m
}

// kill stops a member; its storage stays.
func (g *group) kill(id consensus.MemberID) {
	g.mu.Lock()
	r := g.running[id]
	delete(g.running, id)
	g.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	<-r.done
}

func (g *group) stopAll() {
	for _, id := range g.runningIDs() {
		g.kill(id)
	}
}

func (g *group) runningIDs() []consensus.MemberID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []consensus.MemberID
	for id := consensus.MemberID(1); id < 100; id++ {
		if g.running[id] != nil {
			out = append(out, id)
		}
	}
	return out
}

func (g *group) member(id consensus.MemberID) *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.running[id]; r != nil {
		return r.member
	}
	return nil
}

// isolate cuts the links between a member and all others in both directions, or
// restores them if on is false.
func (g *group) isolate(id consensus.MemberID, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other := consensus.MemberID(1); other < 10; other++ {
		g.cutLinks[[2]consensus.MemberID{id, other}] = on
		g.cutLinks[[2]consensus.MemberID{other, id}] = on
	}
}

// form starts n members and makes all of them voters.
func (g *group) form(n int) {
	g.t.Helper()
	first := consensus.Membership{Voters: []consensus.Member{{ID: 1, Addr: "m1"}}}
	data, err := consensus.Bootstrap(first, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	g.storages[1] = &memStorage{data: data, syncTime: g.sync}
	g.start(1)
	for id := consensus.MemberID(2); id <= consensus.MemberID(n); id++ {
		g.join(id)
	}
}

// join starts a member with an empty storage, adds it to the group and promotes it.
func (g *group) join(id consensus.MemberID) {
	g.t.Helper()
	g.start(id)
	g.mustDo(Request{Change: &MemberChange{Type: consensus.ChangeAddLearner, ID: id, Addr: fmt.Sprint("m", id)}})
	g.mustDo(Request{Change: &MemberChange{Type: consensus.ChangePromote, ID: id}})
}

// do sends the request to the members in turn until one completes it or ctx ends. It
// repeats the request after every other outcome, including unknown.
func (g *group) do(ctx context.Context, req Request) *Reply {
	last := &Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable}
	for ctx.Err() == nil {
		for _, id := range g.runningIDs() {
			m := g.member(id)
			if m == nil {
				continue
			}
			r := req
			last = m.Do(ctx, &r)
			if last.Outcome == api.OutcomeCompleted {
				return last
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return last
}

const requestDeadline = time.Minute

func (g *group) mustDo(req Request) *Reply {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	r := g.do(ctx, req)
	if r.Outcome != api.OutcomeCompleted {
		g.t.Fatalf("request failed: %+v", r)
	}
	return r
}

func (g *group) putConfig(id string, base api.Revision, doc string) *state.ConfigResult {
	g.t.Helper()
	return g.mustDo(configRequest(id, base, doc)).Result.Config
}

func configRequest(id string, base api.Revision, doc string) Request {
	return Request{Command: &state.Command{Config: &state.ConfigPut{ChangeID: id, Author: "ana", Base: base, Document: []byte(doc)}}}
}

// leader waits until one of the running members is the leader and returns its ID.
func (g *group) leader() consensus.MemberID {
	g.t.Helper()
	for range 1000 {
		for _, id := range g.runningIDs() {
			if g.member(id).Status().Role == consensus.RoleLeader {
				return id
			}
		}
		time.Sleep(DefaultTick)
	}
	g.t.Fatal("no leader")
	return 0
}

// waitAllApplied waits until all running members have applied the leader's whole log.
func (g *group) waitAllApplied() {
	g.t.Helper()
	for range 1000 {
		time.Sleep(DefaultTick)
		if g.allApplied() {
			return
		}
	}
	g.t.Fatal("members did not catch up")
}

func (g *group) allApplied() bool {
	want := g.member(g.leader()).Status().Last
	for _, id := range g.runningIDs() {
		if g.member(id).Status().Applied != want {
			return false
		}
	}
	return true
}

func (g *group) encodedStates() [][]byte {
	g.t.Helper()
	var out [][]byte
	for _, id := range g.runningIDs() {
		m := g.member(id)
		m.mu.RLock()
		b, err := m.state.Snapshot()
		m.mu.RUnlock()
		if err != nil {
			g.t.Fatal(err)
		}
		out = append(out, b)
	}
	return out
}

// runInBubble runs f in a synctest bubble, that is in virtual time, and stops the group
// afterwards.
func runInBubble(t *testing.T, f func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		f(t, g)
	})
}
