package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"almondseam.dev/platform"
	qt "github.com/frankban/quicktest"
)

// startsProcess is the variable that makes the test program run as a process of the system.
const startsProcess = "ALMONDSEAM_TEST_PROCESS"

// TestChangedSettingsDoNotEndAStart guards against a process that SIGHUP ends before it has started.
func TestChangedSettingsDoNotEndAStart(t *testing.T) {
	if os.Getenv(startsProcess) != "" {
		os.Exit(execute([]string{"routed", "control", "--fleet-key=0123456789abcdef"}, os.Stdout, os.Stderr))
	}
	c := qt.New(t)
	// The process waits for its settings, which come through a pipe.
	path := filepath.Join(t.TempDir(), "node.yaml")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	cmd := exec.Command(os.Args[0], "-test.run=^TestChangedSettingsDoNotEndAStart$")
	cmd.Env = append(os.Environ(), startsProcess+"=1", platform.SettingsVariable+"="+path)
	c.Assert(cmd.Start(), qt.IsNil)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = settings.WriteString("node: n\n")
	c.Check(err, qt.IsNil)
	c.Assert(settings.Close(), qt.IsNil)
	err = cmd.Wait()
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, exitUsage, qt.Commentf("%v", err))
}
