package main

import (
	"fmt"

	"almondseam.dev/node/process"
	"github.com/alecthomas/kingpin/v2"
)

const bootstrapHelp = `Found a new control group of one in an empty data folder, and end.

Once in a fleet's life, before its first control member is run. It is no flag of
run: left in a service's settings it would found a second group under the same
name on the day that the folder is lost, and a key could be granted by both.

Example:
  almondseam bootstrap --data-dir=data-1 --control-advertise=10.1.0.4:7401`

// bootstrapCommand holds the flags of `almondseam bootstrap`.
type bootstrapCommand struct {
	cmd       *kingpin.CmdClause
	dir       string
	advertise string
}

func newBootstrapCommand(app *kingpin.Application) *bootstrapCommand {
	c := &bootstrapCommand{cmd: app.Command("bootstrap", bootstrapHelp)}
	c.cmd.Flag("data-dir", "The empty data folder.").Required().StringVar(&c.dir)
	c.cmd.Flag("control-advertise", "Address by which the other members will dial this one.").Default("127.0.0.1:7401").StringVar(&c.advertise)
	return c
}

func (c *bootstrapCommand) execute(out streams) int {
	id, err := process.Bootstrap(c.dir, c.advertise)
	if err != nil {
		fmt.Fprintf(out.err, "almondseam: --data-dir: %v\n", err)
		return exitFailed
	}
	fmt.Fprintf(out.out, "founded a control group; its first member is %d at %s\n", id, c.advertise)
	return exitOK
}
