// Command almondseam runs the processes of the system: `run` one with the given
// roles, `solo` all of them with the built-in stand-in engine.
package main

/*
#include <stdlib.h>
*/
import "C"

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes. A wrong setting is told apart from a failure, so that a service
// manager need not start it again.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and gives its exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("almondseam", "A serving system for generations of unknown length on crowded engines.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	app.DefaultEnvars()
	run := newRunCommand(app)
	solo := newSoloCommand(app)
	engine := newEngineCommand(app)
	cmd, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "almondseam: %v (see almondseam --help)\n", err)
		return exitUsage
	}
	out := streams{stdout, stderr}
	switch cmd {
	case solo.cmd.FullCommand():
		return solo.execute(out)
	case engine.cmd.FullCommand():
		return engine.execute(out)
	}
	return run.execute(out)
}

// streams are the outputs of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

func (s streams) usage(err error) int {
	fmt.Fprintf(s.err, "almondseam: %v\n", err)
	return exitUsage
}
