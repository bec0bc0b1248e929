// Command losses reads the logs of entries and prints, for each kind of request, how
// many requests were answered in time and for what reasons the others were not. A log
// may mix the lines of several entries if the lines are in chronological order.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("losses", "Tells from the logs of entries why requests were not served in time.")
	logs := app.Arg("log", "Log of the entries; standard input if none is given.").ExistingFile()
	objective := app.Flag("objective", "Objective of routes whose log lines don't give one.").Default("1.5s").Duration()
	maxGap := app.Flag("pause", "Longest pause between two events of a stream that is in time.").Default("180ms").Duration()
	minRequests := app.Flag("least", "Leave out kinds with fewer requests.").Default("20").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*logs, bounds{objective: *objective, maxGap: *maxGap}, *minRequests); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

func run(name string, b bounds, minRequests int) error {
	in := os.Stdin
	if name != "" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	log, skipped, err := readLog(in)
	if err != nil {
		return err
	}
	if skipped > 0 {
		fmt.Fprintln(os.Stderr, "losses: lines of other programs, left out:", skipped)
	}
	return printTable(os.Stdout, log.tally(b), minRequests)
}
