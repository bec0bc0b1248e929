// Command losses reads the logs of entries and tells, for each kind of request, what became of
// its requests: how many were answered in time, and for what reason the others were
// not. Lines of several entries may be mixed if they are in the order of time.
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
	pause := app.Flag("pause", "Longest pause between two events of a stream that is in time.").Default("180ms").Duration()
	least := app.Flag("least", "Leave out kinds with fewer requests.").Default("20").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*logs, aims{objective: *objective, pause: *pause}, *least); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

func run(name string, a aims, least int) error {
	from := os.Stdin
	if name != "" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		from = f
	}
	log, skipped, err := read(from)
	if err != nil {
		return err
	}
	if skipped > 0 {
		fmt.Fprintln(os.Stderr, "losses: lines of other programs, left out:", skipped)
	}
	return print(os.Stdout, log.tally(a), least)
}
