package main

import "github.com/alecthomas/kingpin/v2"

// addConfig adds the command `config` with its subcommands. config_local.go contains
// those that work on local files, config_remote.go those that need the control group.
func addConfig(c *cli, app *kingpin.Application) {
	config := app.Command("config", "Check, render, compare and apply the fleet's configuration.")
	addConfigLocal(c, config)
	addConfigRemote(c, config)
}
