package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"almondseam.dev/node/metrics"
	"almondseam.dev/node/process"
)

// tutorial executes docs/TUTORIAL.md. From the page's sh blocks it runs the lines that
// start with `almondctl config`, `cp -r` or `sed -i`. Each line of its text blocks must
// have been printed by one of the commands above it.
type tutorial struct {
	c        *qt.C
	printed  map[string]bool
	commands int
}

// line executes one line of an sh block.
func (tu *tutorial) line(line string) {
	words := strings.Fields(strings.Split(line, " #")[0])
	switch {
	case strings.HasPrefix(line, "almondctl config "):
		tu.runCommand(line, words[1:])
	case strings.HasPrefix(line, "cp -r "):
		tu.c.Assert(os.CopyFS(words[3], os.DirFS(words[2])), qt.IsNil)
	case strings.HasPrefix(line, "sed -i "):
		tu.edit(line)
	}
}

// runCommand runs one almondctl command and records its output. The exit code must be 0,
// or the digit that the line gives in a comment `# exits with N`.
func (tu *tutorial) runCommand(line string, args []string) {
	want := exitOK
	if _, code, ok := strings.Cut(line, "# exits with "); ok {
		want = int(code[0] - '0')
	}
	code, out, errs := run(args...)
	tu.c.Assert(code, qt.Equals, want, qt.Commentf("%s\n%s", line, errs))
	for _, l := range strings.Split(out+errs, "\n") {
		tu.printed[collapseSpace(l)] = true
	}
	tu.commands++
}

// edit executes a line of the form sed -i 's/old/new/' file.
func (tu *tutorial) edit(line string) {
	parts := strings.Split(line, "'")
	file := strings.TrimSpace(parts[2])
	s := strings.Split(parts[1], "/")
	text, err := os.ReadFile(file)
	tu.c.Assert(err, qt.IsNil)
	tu.c.Assert(string(text), qt.Contains, s[1])
	tu.c.Assert(os.WriteFile(file, []byte(strings.ReplaceAll(string(text), s[1], s[2])), 0o600), qt.IsNil)
}

func collapseSpace(line string) string { return strings.Join(strings.Fields(line), " ") }

func (tu *tutorial) runPage(page string) {
	block := ""
	for _, line := range strings.Split(page, "\n") {
		switch {
		case strings.HasPrefix(line, "```") && block == "":
			block = strings.TrimPrefix(line, "```")
		case strings.HasPrefix(line, "```"):
			block = ""
		case block == "sh":
			tu.line(line)
		case block == "text":
			tu.c.Assert(tu.printed[collapseSpace(line)], qt.IsTrue, qt.Commentf("no command printed: %s", line))
		}
	}
}

func TestTutorialSaysWhatTheCommandsPrint(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/TUTORIAL.md")
	c.Assert(err, qt.IsNil)
	dir := t.TempDir()
	c.Assert(os.CopyFS(filepath.Join(dir, "examples"), os.DirFS(examples)), qt.IsNil)
	startControl(c)
	t.Chdir(dir)
	tu := &tutorial{c: c, printed: map[string]bool{}}
	tu.runPage(string(page))
	c.Assert(tu.commands > 10, qt.IsTrue, qt.Commentf("%d commands ran", tu.commands))
}

// startControl starts a control group of one member, sets almondctl's environment
// variables to its address and token, and waits until it answers.
func startControl(c *qt.C) {
	const token = "a token for the tutorial's test"
	log := zerolog.Nop()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return ln
	}
	operators := listen()
	ctl, err := process.NewControl(process.ControlSettings{
		Instance: "lhr-a-1", Zone: "lhr-a", Key: []byte("a fleet key for the tutorial's test"), Token: token,
		Dir: c.TempDir(), Links: listen(), Operator: operators, Bootstrap: true,
	}, metrics.New(&log), &log)
	c.Assert(err, qt.IsNil)
	ctl.Start()
	c.Cleanup(func() { c.Check(ctl.Stop(context.Background()), qt.IsNil) })
	c.Setenv("ALMONDCTL_SERVER", operators.Addr().String())
	c.Setenv("ALMONDCTL_TOKEN", token)
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		code, _, errs := run("config", "history")
		if code == exitOK {
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", errs))
	}
}
