// Command standin starts the processes of the system, and stand-ins for the platform, callers and workers, for
// the cases of a review. It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(f *fleet, trouble bool) (broken int, err error){
	"standby": standbyCase,
	"leave":   leaveCase,
}

func main() { os.Exit(runCase()) }

// runCase runs the case that the first argument names, with the program and the folder of the second and third.
func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		return exitFailed
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "almondseam-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(dir, binary, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.stop()
	stopOnSignal(f)
	broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("check", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// report writes the result of a case to its record and to the standard output.
func report(rec *record, format string, args ...any) {
	rec.add("check", format, args...)
	fmt.Printf(format+"\n", args...)
}

// stopOnSignal ends the processes of a fleet if this process is told to end.
func stopOnSignal(f *fleet) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		f.stop()
		os.Exit(exitFailed)
	}()
}
