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
	bootstrap := newBootstrapCommand(app)
	routed := newRoutedCommand(app)
	helped := false
	app.Terminate(func(int) { helped = true })
	cmd, err := app.Parse(args)
	if helped {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "almondseam: %v (see almondseam --help)\n", named(app, args, err))
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

// named adds the flag to an error of kingpin's that lacks it: for a value that a
// flag refuses kingpin gives the value's error alone. Values of the environment
// stay without.
func named(app *kingpin.Application, args []string, err error) error {
	ctx, perr := app.ParseContext(args)
	if perr != nil {
		return err
	}
	for _, el := range ctx.Elements {
		flag, ok := el.Clause.(*kingpin.FlagClause)
		if !ok || el.Value == nil {
			continue
		}
		m := flag.Model()
		if verr := m.Value.Set(*el.Value); verr != nil && verr.Error() == err.Error() {
			return fmt.Errorf("--%s: %w", m.Name, err)
		}
	}
	return err
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
