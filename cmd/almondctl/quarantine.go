package main

import (
	"net/http"
	"strings"

	"almondseam.dev/node/control/opapi"
	"github.com/alecthomas/kingpin/v2"
)

// addQuarantine adds the command `quarantine` with its subcommands.
func addQuarantine(c *cli, app *kingpin.Application) {
	quarantine := app.Command("quarantine", "Requests that are refused because they crash the targets that run them.")
	quarantine.Command("list", "List the refused requests, and those that further crashes may add to them.").Default().
		Action(func(*kingpin.ParseContext) error { c.run = c.quarantineList; return nil })
	var lift opapi.QuarantineLift
	cmd := quarantine.Command("lift", "Allow a request again.")
	cmd.Arg("fingerprint", "The request's fingerprint, as listed.").Required().StringVar(&lift.Fingerprint)
	cmd.Flag("author", "Who asks.").Envar("USER").Default("unknown").StringVar(&lift.Author)
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.call(http.MethodPost, opapi.PathQuarantine, nil, lift, nil) }
		return nil
	})
}

func (c *cli) quarantineList() error {
	var list []opapi.QuarantinedRequest
	if err := c.call(http.MethodGet, opapi.PathQuarantine, nil, nil, &list); err != nil {
		return err
	}
	t := &table{head: []string{"FINGERPRINT", "CUSTOMER", "REQUEST", "PART", "BODY BYTES", "REFUSED FOR", "CRASHED"}}
	for _, r := range list {
		t.add(r.Fingerprint, string(r.Customer), r.URI, r.Part, r.BodyBytes, r.Left.String(), strings.Join(r.Crashed, " "))
	}
	return c.print(list, t)
}
