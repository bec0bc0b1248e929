package main

import (
	"bytes"
	"context"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"almondseam.dev/node/metrics"
	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// syncBuffer is a buffer that several goroutines can write to at the same time.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *syncBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// call runs a command line and returns its exit code and output.
func call(args ...string) (code int, stdout, stderr string) {
	var out, err syncBuffer
	code = execute(args, &out, &err)
	return code, out.String(), err.String()
}

const testKey = "--fleet-key=a-fleet-key-for-tests"

// A wrong setting must end the process with exit code 2, so that a service manager does
// not restart it, and the message must name the flag.
func TestWrongSettingsNameTheirFlag(t *testing.T) {
	base := []string{"run", "--instance=i", "--zone=z", "--ops-listen=127.0.0.1:0"}
	entry := append(base[:4:4], testKey, "--role=entry", "--listen=127.0.0.1:0", "--link-listen=127.0.0.1:0")
	agent := append(base[:4:4], testKey, "--role=agent", "--target=t", "--target-address=127.0.0.1:9000", "--seed=127.0.0.1:8081", "--model=m")
	control := append(base[:4:4], testKey, "--role=control", "--control-listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0", "--data-dir="+t.TempDir())
	for name, tc := range map[string]struct {
		args []string
		more []string
		want string
	}{
		"no role":                {base, []string{testKey}, "--role"},
		"unknown role":           {base, []string{testKey, "--role=cook"}, "--role"},
		"unknown flag":           {entry, []string{"--colour=red"}, "--colour"},
		"no instance":            {[]string{"run", "--zone=z", "--role=entry"}, nil, "--instance"},
		"no zone":                {[]string{"run", "--instance=i", "--role=entry"}, nil, "--zone"},
		"no fleet key":           {base, []string{"--role=entry"}, "--fleet-key"},
		"short fleet key":        {base, []string{"--role=entry", "--fleet-key=short"}, "--fleet-key"},
		"fleet key's file":       {base, []string{"--role=entry", "--fleet-key-file=/nowhere"}, "--fleet-key-file"},
		"log level":              {entry, []string{"--log-level=loud"}, "--log-level"},
		"entry without config":   {entry, nil, "--config"},
		"entry with both":        {entry, []string{"--config=a", "--control=127.0.0.1:1"}, "--control"},
		"entry, no such config":  {entry, []string{"--config=/nowhere.yaml"}, "--config"},
		"entry's address":        {entry, []string{"--config=a", "--listen=nonsense"}, "--listen"},
		"operations' address":    {entry, []string{"--config=a", "--ops-listen=nonsense"}, "--ops-listen"},
		"agent without target":   {agent, []string{"--target="}, "--target"},
		"agent without address":  {agent, []string{"--target-address="}, "--target-address"},
		"agent's address":        {agent, []string{"--target-address=9000"}, "--target-address"},
		"agent's seed":           {agent, []string{"--seed=8081"}, "--seed"},
		"agent's capacity":       {agent, []string{"--capacity=0"}, "--capacity"},
		"agent's capacity, text": {agent, []string{"--capacity=much"}, "--capacity"},
		"agent's batch":          {agent, []string{"--engine-batch=-1"}, "--engine-batch"},
		"agent's queue":          {agent, []string{"--queue=-1"}, "--queue"},
		"control's folder":       {control, []string{"--data-dir=", "--operator-token=a-token-for-operators"}, "--data-dir"},
		"control's token":        {control, nil, "--operator-token"},
		"solo's address":         {[]string{"solo"}, []string{"--listen=nonsense"}, "--listen"},
		"engine's address":       {[]string{"engine"}, []string{"--listen=nonsense"}, "--listen"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			code, _, stderr := call(replaceFlags(tc.args, tc.more)...)
			c.Assert(code, qt.Equals, exitUsage, qt.Commentf("%s", stderr))
			c.Assert(stderr, qt.Contains, tc.want)
		})
	}
}

// replaceFlags returns the command line args with the flags of more, which replace flags
// of the same names.
func replaceFlags(args, more []string) []string {
	out := append([]string{args[0]}, more...)
	for _, a := range args[1:] {
		name, _, _ := strings.Cut(a, "=")
		matches := func(m string) bool { return strings.HasPrefix(m, name+"=") }
		if !slices.ContainsFunc(more, matches) {
			out = append(out, a)
		}
	}
	return out
}

func TestHelp(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"-h"}, {"run", "--help"}, {"help", "solo"}} {
		code, stdout, _ := call(args...)
		qt.Assert(t, code, qt.Equals, exitOK)
		qt.Assert(t, stdout, qt.Contains, "usage: almondseam", qt.Commentf("%v", args))
	}
}

// solo --once must print one generation of the requested length and exit with code 0.
func TestSoloOnce(t *testing.T) {
	c := qt.New(t)
	code, stdout, stderr := call("solo", "--once", "--listen=127.0.0.1:0", "--tokens=7")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
	c.Assert(regexp.MustCompile(`(?m)^7 tokens in `).MatchString(stdout), qt.IsTrue, qt.Commentf("%s", stdout))
}

// A process that cannot serve yet must not report that it is ready: an agent whose entry
// cannot be reached, and a control member that was never added to a group.
func TestReadyTellsWhatIsMissing(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		want string
	}{
		"agent":   {[]string{"--role=agent", "--target=t", "--target-address=127.0.0.1:1", "--seed=127.0.0.1:1", "--model=m"}, "link"},
		"control": {[]string{"--role=control", "--operator-token=a-token-for-operators", "--control-listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0", "--data-dir=" + t.TempDir()}, "leader"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode(c, tc.args)
			ok, missing := n.ready()
			c.Assert(ok, qt.IsFalse)
			c.Assert(missing, qt.Contains, "starting")
			c.Assert(n.start(), qt.IsNil)
			ok, missing = n.ready()
			c.Assert(ok, qt.IsFalse)
			c.Assert(strings.Contains(missing, tc.want), qt.IsTrue, qt.Commentf("%s", missing))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			c.Assert(n.stop(ctx), qt.Equals, exitOK)
		})
	}
}

// newNode returns a node with the settings that run would use, without starting it.
func newNode(c *qt.C, args []string) *node {
	app := kingpin.New("almondseam", "")
	run := newRunCommand(app)
	_, err := app.Parse(append([]string{"run", "--instance=i", "--zone=z", testKey}, args...))
	c.Assert(err, qt.IsNil)
	c.Assert(run.set.check(), qt.IsNil)
	log := zerolog.Nop()
	return &node{set: &run.set, log: &log, metrics: metrics.New(&log)}
}

// A member loses its data folder and its process is restarted with the same flags. It
// must come up as a new member that waits to be added, and must not found a second group,
// because both groups could then grant the same key.
// Founding is therefore not a flag of run but a command of its own, which refuses a
// folder that belongs to a group.
func TestOnlyBootstrapFoundsAGroup(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	code, out, errs := call("bootstrap", "--data-dir="+dir, "--control-advertise=127.0.0.1:7401")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	c.Assert(out, qt.Contains, "founded a control group")
	code, _, errs = call("bootstrap", "--data-dir="+dir)
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(errs, qt.Contains, "already belongs")
	code, _, errs = call("run", "--role=control", "--bootstrap")
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(errs, qt.Contains, "--bootstrap")
}

// A process that is told to stop must report at once that it is not ready, while its
// roles still run, so that the load balancer stops sending callers before the port
// closes.
func TestReadyEndsBeforeTheDrainBegins(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, []string{"--role=control", "--operator-token=a-token-for-operators", "--control-listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0", "--data-dir=" + t.TempDir()})
	c.Assert(n.start(), qt.IsNil)
	n.leaveBalancer(t.Context())
	ok, missing := n.ready()
	c.Assert(ok, qt.IsFalse)
	c.Assert(missing, qt.Contains, "stopping")
	c.Assert(n.control.Ended(), qt.Not(qt.IsNil))
	select {
	case <-n.control.Ended():
		c.Fatal("stopped before its drain")
	default:
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(n.stop(ctx), qt.Equals, exitOK)
}
