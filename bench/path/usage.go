package main

import (
	"fmt"
	"time"

	"almondseam.dev/bench/proc"
)

// usage is what the two processes have used so far.
type usage struct{ entry, agent procUsage }

// procUsage is processor time and the high-water mark of resident memory.
type procUsage struct {
	cpu  time.Duration
	peak int64 // bytes
}

func (o *options) usage() usage { return usage{procOf(o.entry), procOf(o.agent)} }

func procOf(pid int) procUsage {
	if pid == 0 {
		return procUsage{}
	}
	return procUsage{cpu: proc.CPU(pid), peak: proc.Peak(pid)}
}

func (o *options) printCost(before, after usage, r *result) {
	printProc("entry", before.entry, after.entry, r.tokens, o.streams)
	printProc("agent", before.agent, after.agent, r.tokens, o.streams)
}

func printProc(name string, a, b procUsage, tokens int64, streams int) {
	cpu := b.cpu - a.cpu
	if cpu <= 0 {
		return
	}
	fmt.Printf("| %s | %.0f tokens a core second | %.1f us a token | peak RSS %.1f MB | %.1f KB a stream | |\n",
		name, float64(tokens)/cpu.Seconds(), float64(cpu.Microseconds())/float64(tokens),
		float64(b.peak)/1e6, float64(b.peak)/1e3/float64(streams))
}
