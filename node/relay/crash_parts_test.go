package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// partCrashes is the number of crashes under a part after which the entries have partLatitude to
	// learn of it; partAllowance requests with it may reach targets later.
	partCrashes   = 5
	partLatitude  = 3 * time.Second
	partAllowance = 3
	// partServedFrom is the time after that crash from which on other requests are expected to be
	// served, partServedShare the share of them.
	partServedFrom  = 2 * partLatitude
	partServedShare = 0.99
	// badPart is the part that crashes targets.
	badPart = "bad"
)

// badBody is the body of a request whose prompt holds a part that crashes targets; no two are alike.
func badBody(i int64) string { return fmt.Sprint(crashBody, i) }

// parts returns a function that gives each request the same parts.
func parts(list ...string) func(int64) string {
	return func(int64) string { return strings.Join(list, ",") }
}

// allBad returns when runs of bodies that crash targets began, and when they crashed one, in order.
func (l *crashLog) allBad() (begun, crashed []time.Time) {
	l.crashMu.Lock()
	defer l.crashMu.Unlock()
	for body, list := range l.begun {
		if isCrashBody(body) {
			begun = append(begun, list...)
		}
	}
	for _, list := range l.crashed {
		crashed = append(crashed, list...)
	}
	sortTimes(begun)
	sortTimes(crashed)
	return begun, crashed
}

// partCase is how requests with a part that crashes targets are sent.
type partCase struct {
	name     string
	bad      func(int64) string
	path     string
	every    time.Duration
	together int
	entries  int
	// leaderless is set if the control group has no leader, and restarts if entries are killed.
	leaderless, restarts bool
}

// TestPartThatCrashesTargetsIsRefused guards against a part of prompts that crashes one target after
// the other although no two requests that hold it are alike, and against refusing or losing sound
// requests that share the rest of the prompt.
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	alternate := func(a, b []string) func(int64) string {
		return func(i int64) string {
			if i%2 == 0 {
				return strings.Join(a, ",")
			}
			return strings.Join(b, ",")
		}
	}
	for _, tt := range []partCase{
		{name: "next to last", bad: parts("shared", badPart), path: "/look/x", every: 200 * time.Millisecond},
		{name: "four at once", bad: parts("shared", badPart), path: "/look/x", every: time.Second, together: 4},
		{name: "first", bad: parts(badPart, "shared"), path: "/look/x", every: 200 * time.Millisecond},
		{name: "in the middle", bad: parts("shared", badPart, "other"), path: "/look/x", every: 200 * time.Millisecond},
		{name: "streams", bad: parts("shared", badPart), path: "/draft/x", every: 200 * time.Millisecond},
		{name: "not repeated", bad: parts("shared", badPart), path: "/once/x", every: 200 * time.Millisecond},
		{name: "behind different parts", bad: func(i int64) string { return fmt.Sprintf("p%d,%s", i, badPart) }, path: "/look/x", every: 200 * time.Millisecond},
		{name: "always behind a part of its own", bad: parts("mate", badPart), path: "/look/x", every: 200 * time.Millisecond},
		{name: "two bad parts", bad: alternate([]string{"shared", badPart}, []string{"shared", "bad2"}), path: "/look/x", every: 200 * time.Millisecond},
		{name: "entries are killed", bad: parts("shared", badPart), path: "/look/x", every: 200 * time.Millisecond, restarts: true},
		{name: "one entry without a leader", bad: parts("shared", badPart), path: "/look/x", every: 200 * time.Millisecond, entries: 1, leaderless: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPart(t, tt) })
		})
	}
}

func playPart(t *testing.T, tt partCase) {
	entries := 4
	if tt.entries > 0 {
		entries = tt.entries
	}
	w := newWorld(t, 1, 12, entries)
	w.crashesOn = isCrashBody
	w.quarantine.setLeaderless(tt.leaderless)
	bad := &callers{w: w, path: tt.path, body: badBody, parts: tt.bad, every: tt.every, together: tt.together}
	sound := &callers{w: w, path: "/look/x", body: ownBody, parts: parts("shared"), every: 10 * time.Millisecond, random: rand.New(rand.NewPCG(1, 9))}
	ctx, stop := context.WithTimeout(context.Background(), 18*time.Second)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { sound.run(20 * time.Second) })
	if tt.restarts {
		all.Go(func() { w.killEntries(ctx) })
	}
	time.Sleep(2 * time.Second)
	bad.run(16 * time.Second)
	all.Wait()
	begun, crashed := w.allBad()
	late := 0
	if len(crashed) >= partCrashes {
		late = after(begun, crashed[partCrashes-1].Add(partLatitude))
	}
	var last time.Time
	if len(crashed) > 0 {
		last = crashed[min(len(crashed), partCrashes)-1]
	}
	served, asked := sound.served(last.Add(partServedFrom))
	t.Logf("%d reach targets, %d crashes, %d late; %d of %d sound ones served", len(begun), len(crashed), late, served, asked)
	allowed := partAllowance
	if strings.HasPrefix(tt.name, "two") {
		allowed *= 2
	}
	if late > allowed {
		t.Errorf("%d requests reach targets later than %v after crash %d", late, partLatitude, partCrashes)
	}
	if float64(served) < partServedShare*float64(asked) || asked == 0 {
		t.Errorf("%d of %d sound requests are served", served, asked)
	}
	w.stopAll()
}

// killEntries kills one entry process after the other until ctx ends.
func (w *world) killEntries(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 1500*time.Millisecond)
		e := w.entries[n%len(w.entries)]
		e.kill(fmt.Sprintf("%s/%d", e.current().name, n))
	}
}

// TestPartsInProgressAtCrashesAreServed guards against refusing a part that is in nearly all prompts,
// or a rarer one, while targets crash for other reasons.
func TestPartsInProgressAtCrashesAreServed(t *testing.T) {
	for _, path := range []string{"/look/x", "/draft/x"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(path, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playInnocentParts(t, path, seed) })
			})
		}
	}
}

func playInnocentParts(t *testing.T, path string, seed uint64) {
	w := newWorld(t, seed, 12, 4)
	every, rarely := 10*time.Millisecond, 300*time.Millisecond
	if path != "/look/x" {
		every = 100 * time.Millisecond // streams last three seconds
	}
	common := &callers{w: w, path: path, body: ownBody, parts: parts("shared"), every: every, random: rand.New(rand.NewPCG(seed, 9))}
	rare := &callers{w: w, path: path, body: ownBody, parts: func(i int64) string { return fmt.Sprintf("shared,session%d", i%5) }, every: rarely, random: rand.New(rand.NewPCG(seed, 10))}
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { common.run(30 * time.Second) })
	all.Go(func() { rare.run(30 * time.Second) })
	rng := rand.New(rand.NewPCG(seed, 11))
	for ctx.Err() == nil {
		sleep(ctx, 500*time.Millisecond)
		w.targets[rng.IntN(len(w.targets))].crash()
	}
	all.Wait()
	for _, c := range []*callers{common, rare} {
		refused := 0
		for _, a := range c.failed() {
			if strings.Contains(a.body, "quarantined") {
				refused++
			}
		}
		served, asked := c.served(time.Time{})
		t.Logf("%d of %d served, %d refused", served, asked, refused)
		if refused > 0 {
			t.Errorf("%d of %d requests were refused as crashing targets", refused, asked)
		}
	}
	w.stopAll()
}
