// Command rollout measures the time from the acceptance of a configuration until it is
// in force on every entry and agent. It runs a control group with data folders, the
// entries and the agents in one process, connected by real links on loopback.
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

// The faults that a run can inject after half of the changes: the leader stops, the
// newest link at the leader stalls, or the links from agents at the first entry stall
// (the newest 2*agents/entries of them, which is the average number per entry).
const (
	faultNone    = "none"
	faultMember  = "member"
	faultControl = "control-link"
	faultAgent   = "agent-links"
)

// options holds the command-line options of a run.
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

// waitTimeout bounds each wait: for a revision to be accepted, to be in force on all
// entries and agents, and to be reported so by the status.
const waitTimeout = 60 * time.Second

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
	if err := f.applyChanges(); err != nil {
		return err
	}
	f.result.print(os.Stdout, o)
	return nil
}
