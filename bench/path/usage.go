package main

import (
	"fmt"
	"time"

	"almondseam.dev/bench/proc"
)

// pathUsage holds the resources that the entry and the agent have used so far.
type pathUsage struct{ entry, agent procUsage }

// procUsage holds the processor time of a process and its high-water mark of resident
// memory.
type procUsage struct {
	cpu  time.Duration
	peak int64 // bytes
}

func (o *options) pathUsage() pathUsage {
	return pathUsage{readUsage(o.entryPID), readUsage(o.agentPID)}
}

// readUsage returns the usage of a process, zero if pid is 0.
func readUsage(pid int) procUsage {
	if pid == 0 {
		return procUsage{}
	}
	return procUsage{cpu: proc.CPU(pid), peak: proc.Peak(pid)}
}

func (o *options) printCost(before, after pathUsage, r *result) {
	printProc("entry", before.entry, after.entry, r.tokens, o.streams)
	printProc("agent", before.agent, after.agent, r.tokens, o.streams)
}

// printProc prints the cost per token and per stream of one process. It prints nothing
// if the process used no processor time between before and after.
func printProc(name string, before, after procUsage, tokens int64, streams int) {
	cpu := after.cpu - before.cpu
	if cpu <= 0 {
		return
	}
	fmt.Printf("| %s | %.0f tokens a core second | %.1f us a token | peak RSS %.1f MB | %.1f KB a stream | |\n",
		name, float64(tokens)/cpu.Seconds(), float64(cpu.Microseconds())/float64(tokens),
		float64(after.peak)/1e6, float64(after.peak)/1e3/float64(streams))
}
