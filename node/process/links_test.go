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

// fakeDials plays the network for a linkKeeper: every dial succeeds but those to
// addresses that are down.
type fakeDials struct {
	mu      sync.Mutex
	open    map[string]bool
	down    map[string]bool
	retired int
}

func (f *fakeDials) dial(ctx context.Context, addr string, up func(*link.Conn)) {
	f.mu.Lock()
	down := f.down[addr]
	f.open[addr] = !down
	f.mu.Unlock()
	if down {
		return
	}
	up(&link.Conn{})
	defer up(nil)
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[addr] = false
}

func (f *fakeDials) retire(context.Context, *link.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired++
}

func (f *fakeDials) links() []string {
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

// entriesTo is a list of entries to link to.
func entriesTo(ns ...int) []wire.EntryInfo {
	var out []wire.EntryInfo
	for _, i := range ns {
		out = append(out, wire.EntryInfo{Instance: api.InstanceID(fmt.Sprintf("e%d", i)), Zone: api.Zone(fmt.Sprintf("z%d", i%3)), Addr: fmt.Sprintf("addr%d", i)})
	}
	return out
}

// keep runs a keeper with one seed for the length of a test, in virtual time.
func keep(t *testing.T, test func(c *qt.C, k *linkManager, f *fakeDials)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDials{open: make(map[string]bool), down: make(map[string]bool)}
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

const movesDone = 3 * linkChangeSpread

// An agent starts with one seed and is told of three other entries. It ends up
// with those three links, and while it moves it is never without one.
func TestAgentMovesFromItsSeedToItsSubset(t *testing.T) {
	keep(t, func(c *qt.C, k *linkManager, f *fakeDials) {
		c.Assert(f.links(), qt.DeepEquals, []string{"addr0"})
		k.setList(entriesTo(3, 7, 9))
		for range movesDone / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			c.Assert(len(f.links()) > 0, qt.IsTrue)
		}
		c.Assert(f.links(), qt.DeepEquals, []string{"addr3", "addr7", "addr9"})
	})
}

// The list changes again before the moves of the last one are due: what was
// planned from the old list must not shut a link that the new one wants.
func TestMovesOfAnOldListAreLeftOut(t *testing.T) {
	keep(t, func(c *qt.C, k *linkManager, f *fakeDials) {
		for _, list := range [][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 5}, {0, 6, 7}, {1, 2, 3}} {
			k.setList(entriesTo(list...))
			time.Sleep(linkChangeSpread / 3)
		}
		time.Sleep(movesDone)
		c.Assert(f.links(), qt.DeepEquals, []string{"addr1", "addr2", "addr3"})
	})
}

// All entries that the agent knows are replaced at once and no list reaches it.
// It goes back to its seeds instead of dialling dead addresses for ever.
func TestStrandedAgentGoesBackToItsSeeds(t *testing.T) {
	keep(t, func(c *qt.C, k *linkManager, f *fakeDials) {
		list := entriesTo(1, 2, 3)
		k.setList(list)
		time.Sleep(movesDone)
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
