package process

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// fakeDialer simulates the network for a linkManager: every dial succeeds except those to
// addresses in down.
type fakeDialer struct {
	mu      sync.Mutex
	open    map[string]bool
	down    map[string]bool
	retired int
}

func (f *fakeDialer) dial(ctx context.Context, addr string, onConn func(*link.Conn)) {
	f.mu.Lock()
	down := f.down[addr]
	f.open[addr] = !down
	f.mu.Unlock()
	if down {
		return
	}
	onConn(&link.Conn{})
	defer onConn(nil)
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[addr] = false
}

// cut ends the links to the addresses, which cannot be reached any more.
func (f *fakeDialer) cut(k *linkManager, addrs ...string) {
	f.mu.Lock()
	for _, a := range addrs {
		f.down[a], f.open[a] = true, false
	}
	f.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.held {
		h.conn = nil
	}
}

func (f *fakeDialer) retire(context.Context, *link.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired++
}

func (f *fakeDialer) links() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a, open := range f.open {
		if open {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// entryInfos returns a list of entries to link to.
func entryInfos(ns ...int) []wire.EntryInfo {
	var out []wire.EntryInfo
	for _, i := range ns {
		out = append(out, wire.EntryInfo{Instance: api.InstanceID(fmt.Sprintf("e%d", i)), Zone: api.Zone(fmt.Sprintf("z%d", i%3)), Addr: fmt.Sprintf("addr%d", i)})
	}
	return out
}

// runLinkManager runs a linkManager with one seed for the duration of a test, in virtual
// time.
func runLinkManager(t *testing.T, test func(c *qt.C, k *linkManager, f *fakeDialer)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDialer{open: make(map[string]bool), down: make(map[string]bool)}
		k := newLinkManager(linkManagerSettings{
			seeds: []string{"addr0"}, spread: linkChangeSpread, dial: f.dial, retire: f.retire,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.run(ctx)
		}()
		synctest.Wait()
		test(qt.New(t), k, f)
		cancel()
		<-done
	})
}

const changesDone = 3 * linkChangeSpread

// An agent that starts with one seed receives a list of three other entries. It must end
// with links to these three and have at least one link at all times.
func TestAgentMovesFromItsSeedToItsSubset(t *testing.T) {
	runLinkManager(t, func(c *qt.C, k *linkManager, f *fakeDialer) {
		c.Assert(f.links(), qt.DeepEquals, []string{"addr0"})
		k.setList(entryInfos(3, 7, 9))
		for range changesDone / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			c.Assert(len(f.links()) > 0, qt.IsTrue)
		}
		c.Assert(f.links(), qt.DeepEquals, []string{"addr3", "addr7", "addr9"})
	})
}

// A new list arrives before the changes for the previous one are due. A change that was
// scheduled for the old list must not close a link to an entry in the new one.
func TestMovesOfAnOldListAreLeftOut(t *testing.T) {
	runLinkManager(t, func(c *qt.C, k *linkManager, f *fakeDialer) {
		for _, list := range [][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 5}, {0, 6, 7}, {1, 2, 3}} {
			k.setList(entryInfos(list...))
			time.Sleep(linkChangeSpread / 3)
		}
		time.Sleep(changesDone)
		c.Assert(f.links(), qt.DeepEquals, []string{"addr1", "addr2", "addr3"})
	})
}

// TestStrandedAgentTriesAllEntriesThatItHasMet guards against an agent that is lost for good, because its seeds and the
// entries of its last list were replaced while it was cut off, although others that it was linked to before still run.
func TestStrandedAgentTriesAllEntriesThatItHasMet(t *testing.T) {
	runLinkManager(t, func(c *qt.C, k *linkManager, f *fakeDialer) {
		k.setList(entryInfos(1, 2))
		time.Sleep(changesDone)
		k.setList(entryInfos(3, 4))
		time.Sleep(changesDone)
		c.Assert(f.links(), qt.DeepEquals, []string{"addr3", "addr4"})
		f.cut(k, "addr0", "addr3", "addr4")
		time.Sleep(3 * seedRetryInterval)
		c.Assert(f.links(), qt.DeepEquals, []string{"addr1", "addr2"})
		// It leaves them as soon as it has another list.
		k.setList(entryInfos(5, 6))
		time.Sleep(changesDone)
		c.Assert(f.links(), qt.DeepEquals, []string{"addr5", "addr6"})
	})
}

// TestMetEntriesAreBounded guards against an agent that keeps, and dials when it is stranded, the address of each entry
// that there ever was.
func TestMetEntriesAreBounded(t *testing.T) {
	runLinkManager(t, func(c *qt.C, k *linkManager, f *fakeDialer) {
		const lists = 3 * maxMetEntries
		for i := 1; i <= lists; i++ {
			k.setList(entryInfos(i))
			time.Sleep(changesDone)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		c.Assert(k.met, qt.HasLen, maxMetEntries)
		c.Assert(k.met[maxMetEntries-1], qt.Equals, fmt.Sprint("addr", lists))
	})
}

// All entries that the agent knows are replaced at once and it receives no new list. It must
// dial its seeds again instead of dialling unreachable addresses for ever.
func TestStrandedAgentGoesBackToItsSeeds(t *testing.T) {
	runLinkManager(t, func(c *qt.C, k *linkManager, f *fakeDialer) {
		list := entryInfos(1, 2, 3)
		k.setList(list)
		time.Sleep(changesDone)
		c.Assert(f.links(), qt.Not(qt.Contains), "addr0")
		f.mu.Lock()
		for _, e := range list {
			f.down[e.Addr] = true
		}
		f.mu.Unlock()
		k.mu.Lock()
		for _, h := range k.held {
			h.conn = nil
		}
		k.mu.Unlock()
		time.Sleep(3 * seedRetryInterval)
		c.Assert(f.links(), qt.Contains, "addr0")
	})
}
