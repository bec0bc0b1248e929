package main

import "github.com/alecthomas/kingpin/v2"

// addConfig adds `config` and its commands. Those that work on local files are
// in config_local.go.
func addConfig(c *cli, app *kingpin.Application) {
	config := app.Command("config", "Check, render, compare and apply the fleet's configuration.")
	addConfigLocal(c, config)
	addConfigRemote(c, config)
}
