package main

import (
	"errors"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"almondseam.dev/node/control/opapi"
)

// addStatus adds the commands `status` and `targets`.
func addStatus(c *cli, app *kingpin.Application) {
	app.Command("status", "Who leads, who lags, which site runs which revision, which targets leave.").
		Action(func(*kingpin.ParseContext) error { c.run = c.status; return nil })
	app.Command("targets", "List the announced targets.").
		Action(func(*kingpin.ParseContext) error { c.run = c.targets; return nil })
}

func (c *cli) status() error {
	var s opapi.Status
	if err := c.call(http.MethodGet, opapi.PathStatus, nil, nil, &s); err != nil {
		return err
	}
	fleet := &table{head: []string{"LEADER", "TERM", "MAJORITY", "COMMIT", "REVISION", "CLAIMS", "ANSWERED BY"}}
	fleet.add(s.Leader, s.Term, s.Majority, s.Commit, s.Revision, s.Claims, s.Answered)
	if err := c.print(s, fleet, membersTable(s.Members), sitesTable(s.Sites), targetsTable(s.Targets)); err != nil {
		return err
	}
	if !s.Majority {
		return &exitError{exitUnavailable, errors.New("no majority stands behind this view")}
	}
	return nil
}

func (c *cli) targets() error {
	var targets []opapi.Target
	if err := c.call(http.MethodGet, opapi.PathTargets, nil, nil, &targets); err != nil {
		return err
	}
	return c.print(targets, targetsTable(targets))
}

func membersTable(members []opapi.Member) *table {
	t := &table{head: []string{"MEMBER", "ADDRESS", "OPERATOR", "ROLE", "LAG", "ACTIVE"}}
	for _, m := range members {
		t.add(m.ID, m.Address, m.Operator, m.Role, m.Lag, m.Active)
	}
	return t
}

func sitesTable(sites []opapi.Site) *table {
	t := &table{head: []string{"SITE", "INSTANCES", "LOWEST", "HIGHEST"}}
	for _, s := range sites {
		t.add(s.Site, s.Instances, s.Lowest, s.Highest)
	}
	return t
}

func targetsTable(targets []opapi.Target) *table {
	t := &table{head: []string{"TARGET", "INCARNATION", "ZONE", "STATE", "SEEN"}}
	for _, x := range targets {
		t.add(x.ID, x.Incarnation, x.Zone, x.State, x.Seen.Format(time.RFC3339))
	}
	return t
}
