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

// folder stands in for a data folder: what Save was given survives a kill.
type folder struct {
	mu   sync.Mutex
	r    consensus.Restored
	fail error
	// syncTime is how long a sync takes.
	syncTime time.Duration
	saves    int
}

func (f *folder) Save(hs *consensus.HardState, entries []consensus.Entry, sync bool) error {
	if sync && f.syncTime > 0 {
		time.Sleep(f.syncTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return f.fail
	}
	f.saves++
	if hs != nil {
		f.r.HardState = *hs
	}
	if len(entries) > 0 {
		keep := entries[0].Index - f.r.Snapshot.Index - 1
		f.r.Entries = append(f.r.Entries[:keep:keep], entries...)
	}
	return nil
}

func (f *folder) SaveSnapshot(s consensus.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return f.fail
	}
	drop := min(s.Index-f.r.Snapshot.Index, uint64(len(f.r.Entries)))
	f.r.Entries = append([]consensus.Entry(nil), f.r.Entries[drop:]...)
	f.r.Snapshot = s
	if f.r.HardState.Commit < s.Index {
		f.r.HardState.Commit = s.Index
	}
	return nil
}

func (f *folder) restored() consensus.Restored {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.r
	r.Entries = append([]consensus.Entry(nil), f.r.Entries...)
	return r
}

// group is a control group in one process over a network of function calls,
// meant for a synctest bubble.
type group struct {
	t       testing.TB
	mu      sync.Mutex
	folders map[consensus.MemberID]*folder
	running map[consensus.MemberID]*running
	// cut holds the one-way links that lose everything.
	cut    map[[2]consensus.MemberID]bool
	limits state.Limits
	every  uint64
	sync   time.Duration
	// retries bounds the retries that the group grants.
	retries retrybudget.Limits
}

type running struct {
	member *Member
	cancel context.CancelFunc
	done   chan error
}

func newGroup(t testing.TB) *group {
	return &group{
		t:       t,
		folders: make(map[consensus.MemberID]*folder),
		running: make(map[consensus.MemberID]*running),
		cut:     make(map[[2]consensus.MemberID]bool),
		limits:  state.DefaultLimits(),
		every:   snapshotEntries,
	}
}

// wireTo is the Transport of one member.
type wireTo struct{ g *group }

func (w wireTo) Members(consensus.Membership) {}

func (w wireTo) Send(m consensus.Message) {
	w.g.mu.Lock()
	r := w.g.running[m.To]
	lost := w.g.cut[[2]consensus.MemberID{m.From, m.To}]
	w.g.mu.Unlock()
	if r != nil && !lost {
		r.member.Receive(m)
	}
}

// start runs a member from its folder, a new empty one when it has none.
func (g *group) start(id consensus.MemberID) *Member {
	g.t.Helper()
	f := g.folders[id]
	if f == nil {
		f = &folder{syncTime: g.sync}
		g.folders[id] = f
	}
	m, err := NewMember(Options{
		ID:              id,
		Restored:        f.restored(),
		Consensus:       consensus.Config{Rand: rand.New(rand.NewPCG(uint64(id), 7))},
		Limits:          g.limits,
		Storage:         f,
		Transport:       wireTo{g},
		SnapshotEntries: g.every,
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

// kill ends a member at once; its folder stays.
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
	for _, id := range g.ids() {
		g.kill(id)
	}
}

func (g *group) ids() []consensus.MemberID {
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

// isolate cuts a member off from all others, both ways.
func (g *group) isolate(id consensus.MemberID, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other := consensus.MemberID(1); other < 10; other++ {
		g.cut[[2]consensus.MemberID{id, other}] = on
		g.cut[[2]consensus.MemberID{other, id}] = on
	}
}

// form starts n members and makes all of them voters.
func (g *group) form(n int) {
	g.t.Helper()
	first := consensus.Membership{Voters: []consensus.Member{{ID: 1, Addr: "m1"}}}
	r, err := consensus.Bootstrap(first, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	g.folders[1] = &folder{r: r, syncTime: g.sync}
	g.start(1)
	for id := consensus.MemberID(2); id <= consensus.MemberID(n); id++ {
		g.join(id)
	}
}

// join adds a member with an empty folder and promotes it.
func (g *group) join(id consensus.MemberID) {
	g.t.Helper()
	g.start(id)
	g.must(Request{Change: &MemberChange{Type: consensus.ChangeAddLearner, ID: id, Addr: fmt.Sprint("m", id)}})
	g.must(Request{Change: &MemberChange{Type: consensus.ChangePromote, ID: id}})
}

// do asks the members in turn, as a client does, until one carries the request
// out or refuses it for good. Unknown outcomes are asked again too.
func (g *group) do(ctx context.Context, req Request) *Reply {
	last := &Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable}
	for ctx.Err() == nil {
		for _, id := range g.ids() {
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

const virtualMinute = time.Minute

func (g *group) must(req Request) *Reply {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), virtualMinute)
	defer cancel()
	r := g.do(ctx, req)
	if r.Outcome != api.OutcomeCompleted {
		g.t.Fatalf("request failed: %+v", r)
	}
	return r
}

func (g *group) put(id string, base api.Revision, doc string) *state.ConfigResult {
	g.t.Helper()
	return g.must(configPut(id, base, doc)).Result.Config
}

func configPut(id string, base api.Revision, doc string) Request {
	return Request{Command: &state.Command{Config: &state.ConfigPut{ChangeID: id, Author: "ana", Base: base, Document: []byte(doc)}}}
}

// leader waits until a member among those running leads.
func (g *group) leader() consensus.MemberID {
	g.t.Helper()
	for range 1000 {
		for _, id := range g.ids() {
			if g.member(id).Status().Role == consensus.RoleLeader {
				return id
			}
		}
		time.Sleep(DefaultTick)
	}
	g.t.Fatal("no leader")
	return 0
}

// settle waits until all running members have applied the same index.
func (g *group) settle() {
	g.t.Helper()
	for range 1000 {
		time.Sleep(DefaultTick)
		if g.level() {
			return
		}
	}
	g.t.Fatal("members did not catch up")
}

func (g *group) level() bool {
	want := g.member(g.leader()).Status().Last
	for _, id := range g.ids() {
		if g.member(id).Status().Applied != want {
			return false
		}
	}
	return true
}

func (g *group) snapshots() [][]byte {
	g.t.Helper()
	var out [][]byte
	for _, id := range g.ids() {
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

// inBubble runs a test in virtual time and stops the group at its end.
func inBubble(t *testing.T, f func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		f(t, g)
	})
}
