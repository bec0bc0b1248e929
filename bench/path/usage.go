package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what the two processes have used so far.
type usage struct{ entry, agent procUsage }

// procUsage is processor time and the high-water mark of resident memory.
type procUsage struct {
	cpu  time.Duration
	peak int64 // bytes
}

// clockTicks a second in /proc/PID/stat; Linux fixes it at 100 for user space.
const clockTicks = 100

func (o *options) usage() usage { return usage{procOf(o.entry), procOf(o.agent)} }

func procOf(pid int) procUsage {
	if pid == 0 {
		return procUsage{}
	}
	return procUsage{cpu: cpuOf(pid), peak: peakOf(pid)}
}

func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name in parentheses may hold spaces; user and system time are the
	// 14th and 15th fields, the 12th and 13th behind it.
	_, after, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(after)
	if !ok || len(f) < 13 {
		return 0
	}
	return (ticks(f[11]) + ticks(f[12])) * time.Second / clockTicks
}

func ticks(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n)
}

func peakOf(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return int64(ticks(strings.Fields(v)[0])) << 10
		}
	}
	return 0
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
