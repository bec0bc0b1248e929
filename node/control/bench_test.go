package control

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
	"almondseam.dev/node/durable"
	"almondseam.dev/node/link"
)

// benchGroup is a control group with real links and real data directories.
type benchGroup struct {
	b      *testing.B
	dir    string
	addrs  []string
	roles  []*Role
	stores []*durable.Store
}

func newBenchGroup(b *testing.B, members int) *benchGroup {
	// TempDir is called before Cleanup, so that the directory is removed after the
	// members have stopped.
	g := &benchGroup{b: b, dir: b.TempDir()}
	b.Cleanup(func() {
		for i := range g.roles {
			g.kill(i)
		}
	})
	for i := range members {
		g.start(i)
	}
	for i := 1; i < members; i++ {
		id := g.stores[i].ID()
		g.changeMembers(MemberChange{Type: consensus.ChangeAddLearner, ID: id, Addr: g.addrs[i]})
		g.changeMembers(MemberChange{Type: consensus.ChangePromote, ID: id})
	}
	return g
}

func (g *benchGroup) start(i int) {
	store, restored, err := durable.Open(durable.OS{}, filepath.Join(g.dir, fmt.Sprint(i)))
	g.failOnError(err)
	ln := listen(g.b, "")
	if i == 0 {
		first := consensus.Membership{Voters: []consensus.Member{{ID: store.ID(), Addr: ln.Addr().String()}}}
		restored, err = consensus.Bootstrap(first, nil)
		g.failOnError(err)
		g.failOnError(store.SaveSnapshot(restored.Snapshot))
		g.failOnError(store.Save(&restored.HardState, nil, true))
	}
	role, err := Start(Settings{
		ID: store.ID(), Restored: restored, Storage: store, Link: ln,
		Instance: api.InstanceID(fmt.Sprint("control-", i)), Key: []byte(testKey), Limits: state.DefaultLimits(),
	})
	g.failOnError(err)
	g.roles, g.stores, g.addrs = append(g.roles, role), append(g.stores, store), append(g.addrs, ln.Addr().String())
}

func (g *benchGroup) failOnError(err error) {
	if err != nil {
		g.b.Helper()
		g.b.Fatal(err)
	}
}

func (g *benchGroup) changeMembers(c MemberChange) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		r := g.roles[0].Member().Do(ctx, &Request{Change: &c})
		cancel()
		if r.Outcome == api.OutcomeCompleted {
			return
		}
		sleep(context.Background(), DefaultTick)
	}
	g.b.Fatal("membership change failed")
}

func (g *benchGroup) kill(i int) {
	if g.roles[i] == nil {
		return
	}
	_ = g.roles[i].Stop()
	_ = g.stores[i].Close()
	g.roles[i] = nil
}

func (g *benchGroup) client(ctx context.Context, wg *conc.WaitGroup, name string, onConfig func(api.Revision, []byte)) *Client {
	c := NewClient(ClientOptions{
		Seeds:    g.addrs,
		Link:     LinkOptions([]byte(testKey), link.Peer{Instance: api.InstanceID(name), Role: link.RoleEntry}, nil),
		OnConfig: onConfig,
	})
	wg.Go(func() { c.Run(ctx) })
	return c
}

// BenchmarkClaims measures the latency that a claim adds to a call: from the entry's
// request to its grant, over links, with an fsync by a majority. One operation is one
// claim. The callers share the links of four entries.
func BenchmarkClaims(b *testing.B) {
	for _, members := range []int{3, 5} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", members, callers), func(b *testing.B) {
				benchmarkClaims(b, members, callers)
			})
		}
	}
}

func benchmarkClaims(b *testing.B, members, callers int) {
	g := newBenchGroup(b, members)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	clients := make([]*Client, 4)
	for i := range clients {
		clients[i] = g.client(ctx, &wg, fmt.Sprint("entry-", i), nil)
		if _, err := clients[i].HighestRevision(ctx); err != nil {
			b.Fatal(err)
		}
	}
	before := g.stores[0].Stats().Syncs
	var next atomic.Int64
	var mu sync.Mutex
	total := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	b.ResetTimer()
	start := time.Now()
	var work conc.WaitGroup
	for caller := range callers {
		work.Go(func() {
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				key := claim.Key{Customer: api.CustomerID(fmt.Sprint("c", n%16)), Name: fmt.Sprint(n)}
				at := time.Now()
				d, err := clients[caller%len(clients)].Claim(ctx, claim.Request{Key: key, Claimant: key.Name})
				_ = h.RecordValue(time.Since(at).Microseconds())
				if err != nil || d.Verdict != claim.Granted {
					b.Errorf("claim %d: %v %v", n, d.Verdict, err)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
		})
	}
	work.Wait()
	elapsed := time.Since(start)
	b.StopTimer()
	syncs := g.stores[0].Stats().Syncs - before
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(total.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(total.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(syncs)/float64(b.N), "leader-syncs/claim")
}

// BenchmarkConfigDelivery measures the time from an operator's request for a
// configuration change until the last of 40 watching entries has received it. In the
// cases follower and leader, that member of three is killed halfway through the run.
func BenchmarkConfigDelivery(b *testing.B) {
	for _, lost := range []string{"none", "follower", "leader"} {
		b.Run("lost="+lost, func(b *testing.B) { benchmarkDelivery(b, lost) })
	}
}

func benchmarkDelivery(b *testing.B, lost string) {
	const watchers = 40
	g := newBenchGroup(b, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	got := make(chan api.Revision, watchers*(b.N+1))
	for i := range watchers {
		g.client(ctx, &wg, fmt.Sprint("entry-", i), func(r api.Revision, _ []byte) { got <- r })
	}
	operator := NewClient(ClientOptions{Seeds: g.addrs, Link: LinkOptions([]byte(testKey), link.Peer{Instance: "operator", Role: link.RoleControl}, nil)})
	wg.Go(func() { operator.Run(ctx) })
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	reached := map[api.Revision]int{}
	b.ResetTimer()
	for i := range b.N {
		if i == b.N/2 {
			g.killMember(lost)
		}
		doc := make([]byte, 100<<10)
		copy(doc[50<<10:], fmt.Sprint("change ", i))
		at := time.Now()
		r := operator.Exec(ctx, Request{Command: &state.Command{Config: &state.ConfigPut{ChangeID: fmt.Sprint(i), Author: "ana", Base: api.Revision(i), Document: doc}}})
		if r.Outcome != api.OutcomeCompleted || !r.Result.Config.Accepted {
			b.Fatalf("change %d: %+v", i, r)
		}
		for reached[api.Revision(i+1)] < watchers {
			reached[<-got]++
		}
		_ = h.RecordValue(time.Since(at).Microseconds())
	}
	b.StopTimer()
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "worst-ms")
}

func (g *benchGroup) killMember(which string) {
	leader := 0
	for i, r := range g.roles {
		if r.Member().Status().Role == consensus.RoleLeader {
			leader = i
		}
	}
	switch which {
	case "leader":
		g.kill(leader)
	case "follower":
		g.kill((leader + 1) % len(g.roles))
	}
}
