package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/control/opapi"
)

// applyFlags are the flags of `config apply`.
type applyFlags struct {
	dir      string
	changeID string
	author   string
	base     int64
}

// baseCurrent as the base means the newest accepted revision. That revision is read first
// and then sent as the base, so that a change accepted in between takes precedence and
// this one is refused.
const baseCurrent = -1

// addConfigRemote adds the subcommands that send requests to the control group.
func addConfigRemote(c *cli, config *kingpin.CmdClause) {
	addApply(c, config)
	config.Command("history", "List the accepted revisions, newest last.").
		Action(func(*kingpin.ParseContext) error { c.run = c.configHistory; return nil })
	config.Command("status", "Show which revision is in force at which site.").
		Action(func(*kingpin.ParseContext) error { c.run = c.configStatus; return nil })
}

func addApply(c *cli, config *kingpin.CmdClause) {
	var f applyFlags
	cmd := config.Command("apply", "Check a folder and put it in force. Sent again with the same change ID it gets its first answer.")
	cmd.Arg("dir", "The folder.").Default(".").StringVar(&f.dir)
	cmd.Flag("change-id", "Your own name of this change; drawn by time and process when absent.").StringVar(&f.changeID)
	cmd.Flag("author", "Who makes the change.").Envar("USER").Default("unknown").StringVar(&f.author)
	cmd.Flag("base", "The revision that the change is made on; by default the one in force now.").Default(strconv.Itoa(baseCurrent)).Int64Var(&f.base)
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.configApply(f) }
		return nil
	})
}

func (c *cli) configApply(f applyFlags) error {
	document, err := encodeConfig(f.dir)
	if err != nil {
		return err
	}
	if f.changeID == "" {
		f.changeID = fmt.Sprintf("%s-%d-%d", f.author, time.Now().UnixNano(), os.Getpid())
	}
	base, err := c.baseRevision(f.base)
	if err != nil {
		return err
	}
	put := opapi.ConfigPut{ChangeID: f.changeID, Author: f.author, Base: base, Document: document}
	var r opapi.ConfigResult
	if err := c.call(http.MethodPost, opapi.PathConfig, nil, put, &r); err != nil {
		return fmt.Errorf("change %s (send it again with --change-id=%s --base=%d): %w", f.changeID, f.changeID, base, err)
	}
	if !r.Accepted {
		return &exitError{exitRefused, fmt.Errorf("change %s: %s", f.changeID, r.Message)}
	}
	t := &table{head: []string{"REVISION", "CHANGE", "AUTHOR", "REPEATED"}}
	t.add(r.Current, r.ChangeID, r.Author, r.Repeated)
	return c.print(r, t)
}

func encodeConfig(dir string) ([]byte, error) {
	files, err := readConfig(dir)
	if err != nil {
		return nil, err
	}
	document, err := files.document()
	if err != nil {
		return nil, &exitError{exitRefused, err}
	}
	return fleetconfig.EncodeDocument(document)
}

func (c *cli) baseRevision(flag int64) (api.Revision, error) {
	if flag != baseCurrent {
		return api.Revision(flag), nil
	}
	list, err := c.revisions()
	if err != nil || len(list) == 0 {
		return 0, err
	}
	return list[len(list)-1].Revision, nil
}

func (c *cli) revisions() ([]opapi.Revision, error) {
	var list []opapi.Revision
	err := c.call(http.MethodGet, opapi.PathHistory, nil, nil, &list)
	return list, err
}

func (c *cli) configHistory() error {
	list, err := c.revisions()
	if err != nil {
		return err
	}
	t := &table{head: []string{"REVISION", "ACCEPTED", "AUTHOR", "CHANGE", "BYTES"}}
	for _, r := range list {
		t.add(r.Revision, r.Accepted.Format(time.RFC3339), r.Author, r.ChangeID, r.Size)
	}
	return c.print(list, t)
}

// configStatus prints the revisions in force at each site. It fails with exitFailed while
// a site is behind, so that a script can wait until a change is in force everywhere.
func (c *cli) configStatus() error {
	var s opapi.Status
	if err := c.call(http.MethodGet, opapi.PathStatus, nil, nil, &s); err != nil {
		return err
	}
	if !s.Majority {
		return &exitError{exitUnavailable, errors.New("no majority stands behind this view")}
	}
	t := &table{head: []string{"SITE", "INSTANCES", "LOWEST", "HIGHEST", "ACCEPTED"}}
	behind := 0
	for _, site := range s.Sites {
		t.add(site.Site, site.Instances, site.Lowest, site.Highest, s.Revision)
		if site.Lowest < s.Revision {
			behind++
		}
	}
	if err := c.print(s.Sites, t); err != nil {
		return err
	}
	if behind > 0 {
		return fmt.Errorf("%d sites are behind revision %d", behind, s.Revision)
	}
	return nil
}

// addExplain adds the command `explain`.
func addExplain(c *cli, app *kingpin.Application) {
	cmd := app.Command("explain", "Show what is known of a request that ran under a claim.")
	id := cmd.Arg("request", "The request's ID.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.explain(api.RequestID(*id)) }
		return nil
	})
}

func (c *cli) explain(id api.RequestID) error {
	var claim opapi.Claim
	query := url.Values{"request": {string(id)}}
	if err := c.call(http.MethodGet, opapi.PathClaims, query, nil, &claim); err != nil {
		return err
	}
	if !claim.Found {
		return fmt.Errorf("no claim of request %s is known: it needed none, or its time has passed", id)
	}
	t := &table{head: []string{"CUSTOMER", "KEY", "STATE", "OUTCOME", "TARGET", "INCARNATION", "ATTEMPT", "ANSWER KEPT", "UNDECIDED"}}
	t.add(claim.Customer, claim.Key, claim.State, claim.Outcome, claim.Target, claim.Incarnation, claim.Attempt, claim.Kept, claim.Undecided)
	return c.print(claim, t)
}
