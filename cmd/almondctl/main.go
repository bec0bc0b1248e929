// Command almondctl operates a fleet. It sends requests to the operator interface of a
// control member. `config check`, `render`, `diff` and `reference` work without one.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 refused by the fleet (the
// message gives the reason), 4 unavailable (no member answered, or no majority).
package main

/*
#include <stdlib.h>
*/
import "C"

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// The exit codes. Scripts depend on them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnavailable = 4
)

// exitError is an error with an exit code of its own. A command that returns
// any other error exits with exitFailed.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// cli holds the global flags and the output streams. The Action of a command only sets
// run, which is called once the whole command line has been parsed. Errors from parsing
// are thus wrong usage, and errors from run are failures of the command.
type cli struct {
	stdout  io.Writer
	stderr  io.Writer
	format  string
	servers []string
	token   string
	timeout time.Duration
	run     func() error
}

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns its exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	c := &cli{stdout: stdout, stderr: stderr}
	app := newApp(c)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(stderr, "almondctl: %v (see almondctl --help)\n", err)
		return exitUsage
	}
	if c.run == nil {
		return exitOK
	}
	err := c.run()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "almondctl: %v\n", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

// newApp returns the command tree. Each top-level command with its subcommands is added
// by an add function.
func newApp(c *cli) *kingpin.Application {
	app := kingpin.New("almondctl", "Operate an almondseam fleet.")
	app.UsageWriter(c.stdout)
	app.ErrorWriter(c.stderr)
	app.Flag("output", "Output format: table or json.").Default(formatTable).EnumVar(&c.format, formatTable, formatJSON)
	app.Flag("server", "Operator address of a control member, host:port; repeat for more.").
		Envar("ALMONDCTL_SERVER").Default("127.0.0.1:7402").StringsVar(&c.servers)
	app.Flag("token", "Operator token.").Envar("ALMONDCTL_TOKEN").StringVar(&c.token)
	app.Flag("timeout", "Time allowed for the whole command.").Default("15s").DurationVar(&c.timeout)
	addConfig(c, app)
	addStatus(c, app)
	addDrain(c, app)
	addZones(c, app)
	addQuarantine(c, app)
	addOrders(c, app)
	addMembers(c, app)
	addExplain(c, app)
	return app
}
