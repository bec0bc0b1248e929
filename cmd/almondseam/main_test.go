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

// output is a stream that several goroutines write to, as they do to a file.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// call runs a command line as a shell would.
func call(args ...string) (code int, stdout, stderr string) {
	var out, err output
	code = execute(args, &out, &err)
	return code, out.String(), err.String()
}

const testKey = "--fleet-key=a-fleet-key-for-tests"

// A wrong setting ends the process with 2, so that a service manager leaves it
// alone, and the message names the flag to mend.
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
			code, _, stderr := call(with(tc.args, tc.more)...)
			c.Assert(code, qt.Equals, exitUsage, qt.Commentf("%s", stderr))
			c.Assert(stderr, qt.Contains, tc.want)
		})
	}
}

// with gives a command line with more in place of flags of the same names.
func with(args, more []string) []string {
	out := append([]string{args[0]}, more...)
	for _, a := range args[1:] {
		name, _, _ := strings.Cut(a, "=")
		same := func(m string) bool { return strings.HasPrefix(m, name+"=") }
		if !slices.ContainsFunc(more, same) {
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

// A newcomer tries the system with one command: it shows a generation of the
// length asked for and ends in order.
func TestSoloOnce(t *testing.T) {
	c := qt.New(t)
	code, stdout, stderr := call("solo", "--once", "--listen=127.0.0.1:0", "--tokens=7")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
	c.Assert(regexp.MustCompile(`(?m)^7 tokens in `).MatchString(stdout), qt.IsTrue, qt.Commentf("%s", stdout))
}

// A process that can do nothing yet must not pass for ready: an agent whose entry
// is away, and a control member that was never added to a group.
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

// newNode reads settings as run does and stops short of starting.
func newNode(c *qt.C, args []string) *node {
	app := kingpin.New("almondseam", "")
	run := newRunCommand(app)
	_, err := app.Parse(append([]string{"run", "--instance=i", "--zone=z", testKey}, args...))
	c.Assert(err, qt.IsNil)
	c.Assert(run.set.check(), qt.IsNil)
	log := zerolog.Nop()
	return &node{set: &run.set, log: &log, metrics: metrics.New(&log)}
}

// A member's folder is lost and its process is started again as before. It must
// come up as a new member that waits to be added, and found no second group: a
// key could then be granted by both. Founding is a command of its own, which
// refuses a folder that belongs to a group.
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

// The process is told to stop. The balancer must see it at once, while callers
// that it still sends are served: the port closes only after the delay.
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
