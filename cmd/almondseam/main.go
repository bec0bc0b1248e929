// Command almondseam runs the processes of the system: `run` starts one with the given
// roles, `routed` one on the users' platform, and `solo` all roles with the built-in
// stand-in engine. `engine` runs that engine alone, and `bootstrap` founds a control group.
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

// The exit codes. A wrong setting has its own, so that a service manager does not have to
// restart a process that cannot start.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and returns its exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("almondseam", "A serving system for generations of unknown length on crowded engines.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	app.DefaultEnvars()
	run := newRunCommand(app)
	solo := newSoloCommand(app)
	engine := newEngineCommand(app)
	bootstrap := newBootstrapCommand(app)
	routed := newRoutedCommand(app)
	helpShown := false
	app.Terminate(func(int) { helpShown = true })
	cmd, err := app.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "almondseam: %v (see almondseam --help)\n", withFlagName(app, args, err))
		return exitUsage
	}
	out := streams{stdout, stderr}
	switch cmd {
	case solo.cmd.FullCommand():
		return solo.execute(out)
	case engine.cmd.FullCommand():
		return engine.execute(out)
	case routed.cmd.FullCommand():
		return routed.execute(out)
	case bootstrap.cmd.FullCommand():
		return bootstrap.execute(out)
	}
	return run.execute(out)
}

// withFlagName adds the name of the flag to an error of app.Parse. If a flag rejects its
// value, kingpin returns the error of the value without the flag's name. Errors of values
// from environment variables are returned unchanged.
func withFlagName(app *kingpin.Application, args []string, err error) error {
	ctx, parseErr := app.ParseContext(args)
	if parseErr != nil {
		return err
	}
	for _, el := range ctx.Elements {
		flag, ok := el.Clause.(*kingpin.FlagClause)
		if !ok || el.Value == nil {
			continue
		}
		m := flag.Model()
		if setErr := m.Value.Set(*el.Value); setErr != nil && setErr.Error() == err.Error() {
			return fmt.Errorf("--%s: %w", m.Name, err)
		}
	}
	return err
}

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

func (s streams) usage(err error) int {
	fmt.Fprintf(s.err, "almondseam: %v\n", err)
	return exitUsage
}
