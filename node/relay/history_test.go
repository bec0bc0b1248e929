package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/directory"
)

// backoffValues holds what targets ask for, some of it malformed.
var backoffValues = []string{"200ms", "700ms", "1500ms", "3s", "3s", "5s", "0s", "-3s", "soon"}

// disturb changes the targets and restarts entries at random until ctx ends.
func (w *world) disturb(ctx context.Context, rng *rand.Rand) {
	boots := 0
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(700*time.Millisecond)))
		s := w.targets[rng.IntN(len(w.targets))]
		switch rng.IntN(10) {
		case 0, 1, 2:
			s.set(rng.Float64(), s.isLeaving(), backoffValues...)
		case 3:
			for _, s := range w.targets { // all targets of the service at once
				s.set(1, s.isLeaving(), "3s")
			}
		case 4, 5:
			s.set(0, s.isLeaving())
		case 6:
			s.set(0.2, true, backoffValues...)
			if rng.IntN(2) == 0 {
				s.drain()
			}
		case 7, 8:
			s.restart()
		default:
			boots++
			e := w.entries[rng.IntN(len(w.entries))]
			e.start(fmt.Sprintf("%s/%d", e.current().name, boots))
		}
	}
}

func (s *simTarget) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

const (
	// defaultHistories is the number of histories to play if the environment variable
	// historiesVariable sets no other.
	defaultHistories  = 8
	historiesVariable = "ALMONDSEAM_HISTORIES"
)

// TestStatementsOfTargetsHoldInAllHistories guards against any order of rejections, successes in
// flight, restarts of targets and entries, and messages of every kind in which a target that asked
// for no requests, or that leaves, gets more than it may; and against targets that then get none
// any longer.
func TestStatementsOfTargetsHoldInAllHistories(t *testing.T) {
	histories := defaultHistories
	if n, err := strconv.Atoi(os.Getenv(historiesVariable)); err == nil {
		histories = n
	}
	for seed := range uint64(histories) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHistory(t, seed) })
		})
	}
}

func playHistory(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 9))
	w := newWorld(t, seed, 2+rng.IntN(3), 1+rng.IntN(6))
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { w.disturb(ctx, rng) })
	w.run(25*time.Second, 8)
	cancel()
	work.Wait()

	// Calm: every target serves, with a new run if the last one was leaving.
	for _, s := range w.targets {
		if s.isLeaving() || s.record.State != directory.StateReady {
			s.restart()
		}
		s.set(0, false)
	}
	time.Sleep(6 * time.Second) // longer than the longest backoff
	w.mu.Lock()
	before := w.refused
	w.mu.Unlock()
	for _, s := range w.targets {
		s.mu.Lock()
		s.arrivals[s.record.Born] = 0
		s.mu.Unlock()
	}
	w.run(4*time.Second, 10)
	w.mu.Lock()
	if w.refused > before {
		t.Errorf("%d requests refused while all targets serve", w.refused-before)
	}
	w.mu.Unlock()
	for _, s := range w.targets {
		s.mu.Lock()
		if s.arrivals[s.record.Born] == 0 {
			t.Errorf("%s gets no requests though it serves", s.record.Target)
		}
		s.mu.Unlock()
	}
	w.mu.Lock()
	t.Logf("served %d, refused %d, otherwise %d", w.served, w.refused, w.otherwise)
	w.mu.Unlock()
	w.stop()
	time.Sleep(time.Minute) // for what ends in the background
}

// TestEntriesReturnToATargetAtDifferentTimes guards against entries that were asked by a target at
// the same time and all send to it again in the same instant, and against entries that do not
// return.
func TestEntriesReturnToATargetAtDifferentTimes(t *testing.T) {
	const entries, backoff = 40, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, entries)
		s := w.targets[0]
		s.set(1, false, backoff.String())
		var all sync.WaitGroup
		for i, e := range w.entries {
			all.Go(func() { e.ask(context.Background(), int64(i), "/once/x") })
		}
		all.Wait()
		s.set(0, false)
		s.mu.Lock()
		s.resumeFrom = time.Now()
		s.mu.Unlock()
		w.run(2*backoff, 100)
		// late holds by how much each entry returns after the end of what it was asked for.
		var late []time.Duration
		for boot, at := range s.firstAfter {
			late = append(late, at.Sub(s.asked[simLink{boot, s.record.Born}][0].until))
		}
		if len(late) != entries {
			t.Fatalf("%d of %d entries return", len(late), entries)
		}
		if spread, most := slices.Max(late)-slices.Min(late), slices.Max(late); spread < 150*time.Millisecond || most > backoff/5 {
			t.Errorf("entries return up to %v late, spread over %v", most, spread)
		}
		w.stop()
		time.Sleep(time.Minute)
	})
}
