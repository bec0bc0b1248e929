package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestsInProgressAtCrashesOfAColdStartAreServed guards against refusing a request that many
// callers send, and that was only in progress when three targets crashed soon after everything had started:
// no run of it has ended well yet.
func TestRequestsInProgressAtCrashesOfAColdStartAreServed(t *testing.T) {
	for _, path := range []string{"/look/popular", "/draft/popular", "/notes/popular"} {
		for _, every := range []time.Duration{10 * time.Millisecond, 40 * time.Millisecond, rareInterval} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(path, every, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playColdStart(t, path, every, seed) })
				})
			}
		}
	}
}

const (
	// clearTime is the time after the third crash in which runs that are in progress clear their request,
	// if so few are that chance alone hardly explains three crashes.
	clearTime = 2 * time.Second
	// rareInterval is the interval of requests from which on so few are in progress.
	rareInterval = 100 * time.Millisecond
)

func playColdStart(t *testing.T, path string, every time.Duration, seed uint64) {
	w := newWorld(t, seed, 12, 4)
	w.crashesOn = func(string) bool { return false }
	popular := &callers{w: w, path: path, body: sameBody("popular"), every: every, random: rand.New(rand.NewPCG(seed, 12))}
	var work sync.WaitGroup
	work.Go(func() { popular.run(12 * time.Second) })
	rng := rand.New(rand.NewPCG(seed, 13))
	for _, n := range rng.Perm(len(w.targets))[:3] {
		time.Sleep(300*time.Millisecond + time.Duration(rng.Int64N(int64(350*time.Millisecond))))
		w.targets[n].crash()
	}
	third := time.Now()
	work.Wait()
	refused, late := 0, 0
	for _, a := range popular.failed() {
		if strings.Contains(a.body, "quarantined") {
			refused++
			if a.sent.After(third.Add(clearTime)) {
				late++
			}
		}
	}
	served, all := popular.served(time.Time{})
	t.Logf("%d of %d served, %d refused", served, all, refused)
	if late > 0 || refused > 0 && every < rareInterval {
		t.Errorf("%d of %d requests were refused as crashing targets, %d of them later than %v after the third crash", refused, all, late, clearTime)
	}
	w.stopAll()
}
