package durable

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"almondseam.dev/core/consensus"
)

const benchDataBytes = 200 // bytes of one entry's data

func benchEntries(first uint64, n int) []consensus.Entry {
	entries := make([]consensus.Entry, n)
	for i := range entries {
		entries[i] = consensus.Entry{Index: first + uint64(i), Term: 1, Type: consensus.EntryCommand, Data: make([]byte, benchDataBytes)}
	}
	return entries
}

// BenchmarkSave measures Save with several batch sizes; every call syncs.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16, 256, 4096} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			s, _, err := Open(OS{}, filepath.Join(b.TempDir(), "data"))
			if err != nil {
				b.Fatal(err)
			}
			start := s.Stats()
			b.ResetTimer()
			for i := range b.N {
				if err := s.Save(nil, benchEntries(uint64(i*batch+1), batch), true); err != nil {
					b.Fatal(err)
				}
			}
			st := s.Stats()
			b.ReportMetric(float64(st.Entries)/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(float64(st.Syncs-start.Syncs)/b.Elapsed().Seconds(), "syncs/s")
			b.ReportMetric(float64(st.Bytes-start.Bytes)/float64(st.Entries), "B/entry")
			_ = s.Close()
		})
	}
}

// BenchmarkSaveSnapshot measures SaveSnapshot with several state sizes. B-besides/op
// is the number of bytes written in addition to the state.
func BenchmarkSaveSnapshot(b *testing.B) {
	for _, size := range []int{1 << 20, 16 << 20} {
		b.Run(fmt.Sprintf("state=%dMiB", size>>20), func(b *testing.B) {
			s, _, err := Open(OS{}, filepath.Join(b.TempDir(), "data"))
			if err != nil {
				b.Fatal(err)
			}
			sn := consensus.Snapshot{Term: 1, Data: make([]byte, size), Membership: consensus.Membership{Voters: make([]consensus.Member, 5)}}
			b.ResetTimer()
			for i := range b.N {
				sn.Index = uint64(i + 1)
				if err := s.SaveSnapshot(sn); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(s.Stats().Bytes)/float64(b.N)-float64(size), "B-besides/op")
			_ = s.Close()
		})
	}
}

// BenchmarkRestart measures Open and consensus.New for a directory with the given
// number of entries and no snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "data")
			s, _, err := Open(OS{}, dir)
			if err != nil {
				b.Fatal(err)
			}
			for first := 1; first <= count; first += 100 {
				if err := s.Save(&consensus.HardState{Term: 1}, benchEntries(uint64(first), 100), true); err != nil {
					b.Fatal(err)
				}
			}
			_ = s.Close()
			b.ResetTimer()
			for range b.N {
				s, r, err := Open(OS{}, dir)
				if err != nil || len(r.Entries) != count {
					b.Fatal(len(r.Entries), err)
				}
				if _, err := consensus.New(consensus.Config{ID: s.ID(), Rand: rand.New(rand.NewPCG(1, 1))}, r); err != nil {
					b.Fatal(err)
				}
				_ = s.Close()
			}
		})
	}
}

// benchMember is a member with its own data directory and inbox. One goroutine drives
// it, as the package comment of consensus requires.
type benchMember struct {
	node        *consensus.Node
	store       *Store
	inbox       chan any // consensus.Message, [][]byte (proposals) or nil (a tick)
	stop        chan struct{}
	group       []*benchMember
	leading     atomic.Bool
	onCommitted func(int)
}

func (m *benchMember) run() error {
	for {
		select {
		case <-m.stop:
			return nil
		case first := <-m.inbox:
			if err := m.handle(first); err != nil {
				return err
			}
		}
		for more := true; more; {
			select {
			case x := <-m.inbox:
				if err := m.handle(x); err != nil {
					return err
				}
			default:
				more = false
			}
		}
		if err := m.processReady(); err != nil {
			return err
		}
	}
}

func (m *benchMember) handle(x any) error {
	switch x := x.(type) {
	case consensus.Message:
		return m.node.Step(x)
	case [][]byte:
		return m.node.Propose(x...)
	}
	m.node.Tick()
	return nil
}

func (m *benchMember) processReady() error {
	for m.node.HasReady() {
		rd := m.node.Ready()
		m.send(rd.Early)
		var hs *consensus.HardState
		if rd.HardStateChanged {
			hs = &rd.HardState
		}
		if err := m.store.Save(hs, rd.Entries, rd.MustSync); err != nil {
			return err
		}
		m.send(rd.Messages)
		m.leading.Store(rd.Role == consensus.RoleLeader)
		commands := 0
		for _, e := range rd.Committed {
			if e.Type == consensus.EntryCommand {
				commands++
			}
		}
		if rd.Role == consensus.RoleLeader {
			m.onCommitted(commands)
		}
		m.node.Advance()
	}
	return nil
}

func (m *benchMember) send(msgs []consensus.Message) {
	for _, msg := range msgs {
		select {
		case m.group[msg.To-1].inbox <- msg:
		default: // the inbox is full; consensus sends lost messages again
		}
	}
}

// BenchmarkGroup measures entries from Propose to commit on the leader. All members
// share one disk, and messages are passed in memory. Each caller waits for its entry
// to be committed before it proposes the next one.
func BenchmarkGroup(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, callers := range []int{1, 64, 1024} {
			for _, early := range []bool{false, true} {
				b.Run(fmt.Sprintf("voters=%d/callers=%d/early=%t", voters, callers, early), func(b *testing.B) {
					benchGroup(b, voters, callers, early)
				})
			}
		}
	}
}

func benchGroup(b *testing.B, voters, callers int, early bool) {
	var membership consensus.Membership
	for i := 1; i <= voters; i++ {
		membership.Voters = append(membership.Voters, consensus.Member{ID: consensus.MemberID(i)})
	}
	first, err := consensus.Bootstrap(membership, nil)
	if err != nil {
		b.Fatal(err)
	}
	group := make([]*benchMember, voters)
	stop := make(chan struct{})
	tokens := make(chan struct{}, callers)
	var remaining sync.WaitGroup
	remaining.Add(b.N)
	for i := range group {
		store, _, err := Open(OS{}, filepath.Join(b.TempDir(), fmt.Sprint("data", i)))
		if err != nil {
			b.Fatal(err)
		}
		if err := store.SaveSnapshot(first.Snapshot); err != nil {
			b.Fatal(err)
		}
		node, err := consensus.New(consensus.Config{ID: consensus.MemberID(i + 1), EarlySend: early, Rand: rand.New(rand.NewPCG(uint64(i), 1))}, first)
		if err != nil {
			b.Fatal(err)
		}
		group[i] = &benchMember{node: node, store: store, inbox: make(chan any, 4096), stop: stop, group: group, onCommitted: func(n int) {
			for range n {
				tokens <- struct{}{}
				remaining.Done()
			}
		}}
	}
	var goroutines conc.WaitGroup
	for _, m := range group {
		goroutines.Go(func() {
			if err := m.run(); err != nil {
				b.Error(err)
				os.Exit(1)
			}
		})
	}
	for !group[0].leading.Load() {
		if len(group[0].inbox) == 0 {
			group[0].inbox <- nil // a tick; only the first member gets ticks
		}
		runtime.Gosched()
	}
	start := group[0].store.Stats()
	b.ResetTimer()
	goroutines.Go(func() {
		for i := range b.N {
			if i >= callers {
				<-tokens
			}
			group[0].inbox <- [][]byte{make([]byte, benchDataBytes)}
		}
	})
	remaining.Wait()
	b.StopTimer()
	elapsed := b.Elapsed().Seconds()
	close(stop)
	goroutines.Wait()
	st := group[0].store.Stats()
	b.ReportMetric(float64(b.N)/elapsed, "entries/s")
	b.ReportMetric(float64(st.Syncs-start.Syncs)/elapsed, "syncs/s")
	b.ReportMetric(float64(st.Bytes-start.Bytes)/float64(b.N), "B/entry")
	for _, m := range group {
		_ = m.store.Close()
	}
}
