package consensus

import (
	"fmt"
	"testing"
)

// benchGroup returns the members 1..voters of one group, with member 1 as leader.
func benchGroup(b *testing.B, voters int) []*Node {
	var m Membership
	for i := 1; i <= voters; i++ {
		m.Voters = append(m.Voters, Member{ID: MemberID(i), Addr: "x"})
	}
	nodes := make([]*Node, voters)
	for i := range nodes {
		r, err := Bootstrap(m, nil)
		if err != nil {
			b.Fatal(err)
		}
		cfg := testConfig(MemberID(i + 1))
		cfg.MaxBatchBytes, cfg.MaxUncommittedBytes, cfg.MaxInflight = 0, 0, 0
		if nodes[i], err = New(cfg, r); err != nil {
			b.Fatal(err)
		}
	}
	for nodes[0].role != RoleLeader {
		nodes[0].Tick()
		exchange(b, nodes)
	}
	return nodes
}

// exchange processes the Ready batches of all members and delivers their messages
// immediately, until no work is left.
func exchange(b *testing.B, nodes []*Node) {
	for busy := true; busy; {
		busy = false
		for _, n := range nodes {
			if !n.HasReady() {
				continue
			}
			busy = true
			rd := n.Ready()
			n.Advance()
			for _, m := range rd.Messages {
				if err := nodes[m.To-1].Step(m); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkPropose measures the throughput of entries from Propose until all members
// have applied them, without disk, codec or network.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, batch := range []int{1, 64, 1024} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				nodes := benchGroup(b, voters)
				data := make([][]byte, batch)
				for i := range data {
					data[i] = make([]byte, 200)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					if err := nodes[0].Propose(data...); err != nil {
						b.Fatal(err)
					}
					exchange(b, nodes)
					if i%64 != 63 {
						continue
					}
					for _, n := range nodes {
						if _, err := n.Compact(n.log.applied, nil); err != nil {
							b.Fatal(err)
						}
					}
				}
				b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
			})
		}
	}
}
