package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
)

// releaseKills are the conditions under which all entries are killed in a release.
type releaseKills struct {
	name string
	// members is the number of members that are started anew with the first kill in a release.
	members int
	// learn bounds the time after which an entry that has started has learned of the targets, and opened
	// its links to the members.
	learn time.Duration
	// keepNames lets targets keep their IDs, late is how late their next runs are announced.
	keepNames bool
	late      time.Duration
	// page is a key of runPages.
	page string
	// share is the least share of the streams taken up that go on, relative to that of the new streams
	// that begin; zero for no bound.
	share float64
}

// TestEntriesKilledInARelease guards against streams that hold events of two software versions, or are
// refused while their version serves, after all entries were killed at once in the middle of a release.
func TestEntriesKilledInARelease(t *testing.T) {
	for _, tt := range []releaseKills{
		{name: "entries alone", page: "stated", share: 0.5},
		{name: "entries that take long to learn", page: "stated", learn: 800 * time.Millisecond, share: 0.5},
		{name: "a member too", page: "stated", learn: 100 * time.Millisecond, members: 1, share: 0.5},
		{name: "two members too", page: "stated", learn: 100 * time.Millisecond, members: 2, share: 0.5},
		{name: "all members too", page: "stated", learn: 100 * time.Millisecond, members: 3},
		{name: "names used again, announced late", page: "stated", learn: 100 * time.Millisecond, keepNames: true, late: 2500 * time.Millisecond, share: 0.5},
		{name: "slow pages", page: "slow", learn: 100 * time.Millisecond, keepNames: true, late: 2500 * time.Millisecond},
		{name: "no pages", page: "missing", learn: 100 * time.Millisecond, keepNames: true, late: 2500 * time.Millisecond},
		{name: "no pages, other names", page: "missing", learn: 100 * time.Millisecond, late: 500 * time.Millisecond},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { tt.play(t, seed) })
			})
		}
	}
}

func (k releaseKills) play(t *testing.T, seed uint64) {
	w := newVersionWorld(t, seed, "v1")
	w.keepAnnounced()
	delays := rand.New(rand.NewPCG(seed, 8))
	if k.learn > 0 {
		w.learnDelay = func() time.Duration {
			w.mu.Lock()
			defer w.mu.Unlock()
			return time.Duration(delays.Int64N(int64(k.learn)))
		}
	}
	w.keepNames, w.announceDelay, w.runPage = k.keepNames, k.late, runPages[k.page]
	var version atomic.Int64
	version.Store(1)
	w.nextSoftware = func(api.SoftwareVersion) api.SoftwareVersion {
		return api.SoftwareVersion(fmt.Sprintf("v%d", version.Load()))
	}
	f := w.playDrafts(seed, draftCaller{path: "/draft/x", takeUps: 4}, func(ctx context.Context, rng *rand.Rand) {
		for ctx.Err() == nil {
			version.Add(1)
			go w.release(ctx)
			k.kill(ctx, w, rng)
		}
	})
	f.check(t, k.share)
}

// releaseInterval is the time between the replacements of two targets in a release.
const releaseInterval = 500 * time.Millisecond

// release replaces all targets, one after the other.
func (w *world) release(ctx context.Context) {
	for _, s := range w.targets {
		sleep(ctx, releaseInterval)
		s.drain()
		time.AfterFunc(time.Second, func() { s.crash() })
	}
}

// kill kills all entries three times at random moments of a release, the last time soon after the second.
func (k releaseKills) kill(ctx context.Context, w *world, rng *rand.Rand) {
	const releaseTime, again = 13 * releaseInterval, 800 * time.Millisecond
	for i, within := range []time.Duration{releaseTime / 2, releaseTime / 2, again} {
		sleep(ctx, time.Duration(rng.Int64N(int64(within))))
		if i == 0 {
			for _, m := range rng.Perm(len(simMemberAddrs))[:k.members] {
				w.members.restart(simMemberAddrs[m])
			}
		}
		for n, e := range w.entries {
			e.kill(fmt.Sprintf("entry-%d/%v", n, time.Now().UnixNano()))
		}
	}
	sleep(ctx, releaseTime/2)
}
