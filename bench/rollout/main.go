// Command rollout measures how long an accepted configuration takes to be in
// force on every process: a control group with data folders, entries and agents
// in one process, over real links on loopback.
//
// Usage: go run ./bench/rollout [--fault=none|member|control-link|agent-links] ...
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// The faults that a run may bring about at its middle: the leader stops, the
// newest link at the leader stalls, or all links from agents at one entry do.
const (
	faultNone    = "none"
	faultMember  = "member"
	faultControl = "control-link"
	faultAgent   = "agent-links"
)

// options of one run.
type options struct {
	members   int
	entries   int
	agents    int
	customers int
	changes   int
	every     time.Duration
	fault     string
	silence   time.Duration
}

func main() {
	var o options
	app := kingpin.New("rollout", "Measure how long an accepted configuration takes to be in force everywhere.")
	app.Flag("members", "Control members.").Default("3").IntVar(&o.members)
	app.Flag("entries", "Entries.").Default("10").IntVar(&o.entries)
	app.Flag("agents", "Agents, each linked to two entries.").Default("100").IntVar(&o.agents)
	app.Flag("customers", "Customers in the configuration.").Default("10").IntVar(&o.customers)
	app.Flag("changes", "Changes to accept.").Default("40").IntVar(&o.changes)
	app.Flag("every", "Time from one change to the next.").Default("250ms").DurationVar(&o.every)
	app.Flag("silence", "Silence bound of links to the control group; 0 takes the default.").DurationVar(&o.silence)
	app.Flag("fault", "What fails once half of the changes are accepted.").Default(faultNone).
		EnumVar(&o.fault, faultNone, faultMember, faultControl, faultAgent)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "rollout:", err)
		os.Exit(1)
	}
}

// patience bounds the set-up and the wait for the last change.
const patience = 60 * time.Second

func run(o options) error {
	dir, err := os.MkdirTemp("", "rollout")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFleet(ctx, o)
	defer f.stop()
	if err := f.startMembers(dir); err != nil {
		return err
	}
	if err := f.startNodes(); err != nil {
		return err
	}
	if err := f.changeAll(); err != nil {
		return err
	}
	f.result.print(os.Stdout, o)
	return nil
}
