package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two runs with one seed go on beside each other, on different addresses.
func TestRunsBesideEachOtherDoNotMeet(t *testing.T) {
	c := qt.New(t)
	a, first, err := takeNet(7)
	c.Assert(err, qt.IsNil)
	defer first.Close()
	b, second, err := takeNet(7)
	c.Assert(err, qt.IsNil)
	defer second.Close()
	c.Assert(a, qt.Not(qt.Equals), b)
}

// short is a run of half a minute.
func short(binary, dir string, seed uint64) settings {
	return settings{
		binary: binary, dir: dir, seed: seed,
		controls: 3, entries: 3, callers: 12, storms: 1, storm: 8 * time.Second, calm: 2 * time.Second, out: os.Stderr,
	}
}

// The real programs under a short series of faults keep their promises. Seeds that
// ever failed stay here.
func TestSoak(t *testing.T) {
	c := qt.New(t)
	binary := filepath.Join(t.TempDir(), "almondseam")
	out, err := exec.Command("go", "build", "-o", binary, "almondseam.dev/cmd/almondseam").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for _, tt := range []struct {
		name   string
		seed   uint64
		limits bool
	}{
		{"any", 1, false},
		// A lookup's answer was lost, the only other target was leaving, and the caller
		// was told that it had not run.
		{"refused though it may have run", 121, false},
		{"targets name limits", 4, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			set := short(binary, filepath.Join(t.TempDir(), "run"), tt.seed)
			set.limits = tt.limits
			qt.New(t).Assert(soak(t.Context(), set), qt.IsNil)
		})
	}
}
