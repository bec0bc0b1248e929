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

// diskSite is a control group over real links and real data folders.
type diskSite struct {
	b      *testing.B
	dir    string
	addrs  []string
	roles  []*Role
	stores []*durable.Store
}

func newDiskSite(b *testing.B, members int) *diskSite {
	// The folder is made first, so that it is removed after the members stop.
	s := &diskSite{b: b, dir: b.TempDir()}
	b.Cleanup(func() {
		for i := range s.roles {
			s.kill(i)
		}
	})
	for i := range members {
		s.start(i)
	}
	for i := 1; i < members; i++ {
		id := s.stores[i].ID()
		s.change(MemberChange{Type: consensus.ChangeAddLearner, ID: id, Addr: s.addrs[i]})
		s.change(MemberChange{Type: consensus.ChangePromote, ID: id})
	}
	return s
}

func (s *diskSite) start(i int) {
	store, restored, err := durable.Open(durable.OS{}, filepath.Join(s.dir, fmt.Sprint(i)))
	s.fatal(err)
	ln := listen(s.b, "")
	if i == 0 {
		first := consensus.Membership{Voters: []consensus.Member{{ID: store.ID(), Addr: ln.Addr().String()}}}
		restored, err = consensus.Bootstrap(first, nil)
		s.fatal(err)
		s.fatal(store.SaveSnapshot(restored.Snapshot))
		s.fatal(store.Save(&restored.HardState, nil, true))
	}
	role, err := Start(Settings{
		ID: store.ID(), Restored: restored, Storage: store, Link: ln,
		Instance: api.InstanceID(fmt.Sprint("control-", i)), Key: []byte(testKey), Limits: state.DefaultLimits(),
	})
	s.fatal(err)
	s.roles, s.stores, s.addrs = append(s.roles, role), append(s.stores, store), append(s.addrs, ln.Addr().String())
}

func (s *diskSite) fatal(err error) {
	if err != nil {
		s.b.Helper()
		s.b.Fatal(err)
	}
}

func (s *diskSite) change(c MemberChange) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		r := s.roles[0].Member().Do(ctx, &Request{Change: &c})
		cancel()
		if r.Outcome == api.OutcomeCompleted {
			return
		}
		sleep(context.Background(), DefaultTick)
	}
	s.b.Fatal("membership change failed")
}

func (s *diskSite) kill(i int) {
	if s.roles[i] == nil {
		return
	}
	_ = s.roles[i].Stop()
	_ = s.stores[i].Close()
	s.roles[i] = nil
}

func (s *diskSite) client(ctx context.Context, wg *conc.WaitGroup, name string, onConfig func(api.Revision, []byte)) *Client {
	c := NewClient(ClientOptions{
		Seeds:    s.addrs,
		Link:     LinkOptions([]byte(testKey), link.Peer{Instance: api.InstanceID(name), Role: link.RoleEntry}, nil),
		OnConfig: onConfig,
	})
	wg.Go(func() { c.Run(ctx) })
	return c
}

// BenchmarkClaims measures what a claim costs a call: from the entry's request
// to its grant, over links, with the fsync of a majority. One operation is one
// claim; callers share four entries' links.
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
	s := newDiskSite(b, members)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	clients := make([]*Client, 4)
	for i := range clients {
		clients[i] = s.client(ctx, &wg, fmt.Sprint("entry-", i), nil)
		if _, err := clients[i].HighestRevision(ctx); err != nil {
			b.Fatal(err)
		}
	}
	before := s.stores[0].Stats().Syncs
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
	took := time.Since(start)
	b.StopTimer()
	syncs := s.stores[0].Stats().Syncs - before
	b.ReportMetric(float64(b.N)/took.Seconds(), "claims/s")
	b.ReportMetric(float64(total.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(total.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(syncs)/float64(b.N), "leader-syncs/claim")
}

// BenchmarkConfigDelivery measures from the acceptance of a change to its
// delivery at the last of 40 watching entries. In the second half of the run
// one member of three has been killed; the leader in the last case.
func BenchmarkConfigDelivery(b *testing.B) {
	for _, lost := range []string{"none", "follower", "leader"} {
		b.Run("lost="+lost, func(b *testing.B) { benchmarkDelivery(b, lost) })
	}
}

func benchmarkDelivery(b *testing.B, lost string) {
	const watchers = 40
	s := newDiskSite(b, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	got := make(chan api.Revision, watchers*(b.N+1))
	for i := range watchers {
		s.client(ctx, &wg, fmt.Sprint("entry-", i), func(r api.Revision, _ []byte) { got <- r })
	}
	operator := NewClient(ClientOptions{Seeds: s.addrs, Link: LinkOptions([]byte(testKey), link.Peer{Instance: "operator", Role: link.RoleControl}, nil)})
	wg.Go(func() { operator.Run(ctx) })
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	reached := map[api.Revision]int{}
	b.ResetTimer()
	for i := range b.N {
		if i == b.N/2 {
			s.lose(lost)
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

func (s *diskSite) lose(which string) {
	lead := 0
	for i, r := range s.roles {
		if r.Member().Status().Role == consensus.RoleLeader {
			lead = i
		}
	}
	switch which {
	case "leader":
		s.kill(lead)
	case "follower":
		s.kill((lead + 1) % len(s.roles))
	}
}
