package main

import (
	"net/http"

	"almondseam.dev/node/control/opapi"
	"github.com/alecthomas/kingpin/v2"
)

// addZones adds the command `zones` with its subcommands.
func addZones(c *cli, app *kingpin.Application) {
	zones := app.Command("zones", "Evacuate availability zones and take them back.")
	zones.Command("list", "List the zones that have been evacuated or taken back.").Default().
		Action(func(*kingpin.ParseContext) error { c.run = c.zonesList; return nil })
	addZoneOrder(c, zones, "evacuate", "Send nothing new to the targets of a zone; what runs there is finished.", true)
	addZoneOrder(c, zones, "finish", "Take a zone back after its evacuation.", false)
}

func addZoneOrder(c *cli, zones *kingpin.CmdClause, name, help string, evacuated bool) {
	o := opapi.ZoneOrder{Evacuated: evacuated}
	cmd := zones.Command(name, help)
	cmd.Arg("zone", "The availability zone.").Required().StringVar((*string)(&o.Zone))
	cmd.Flag("author", "Who asks.").Envar("USER").Default("unknown").StringVar(&o.Author)
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.zoneOrder(o) }
		return nil
	})
}

func (c *cli) zoneOrder(o opapi.ZoneOrder) error {
	if err := c.call(http.MethodPost, opapi.PathZones, nil, o, nil); err != nil {
		return err
	}
	return c.print(o, zoneTable(o))
}

func (c *cli) zonesList() error {
	var list []opapi.ZoneOrder
	if err := c.call(http.MethodGet, opapi.PathZones, nil, nil, &list); err != nil {
		return err
	}
	return c.print(list, zoneTable(list...))
}

func zoneTable(list ...opapi.ZoneOrder) *table {
	t := &table{head: []string{"ZONE", "EVACUATED", "AUTHOR"}}
	for _, z := range list {
		t.add(string(z.Zone), z.Evacuated, z.Author)
	}
	return t
}
