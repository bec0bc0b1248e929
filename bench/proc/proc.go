// Package proc reads the processor time and memory of a process from /proc, for the
// measuring programs in bench.
package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of clock ticks per second in /proc/PID/stat. Linux fixes it
// at 100 for user space.
const clockTicks = 100

// CPU returns the user and system time that a process has used, 0 if it doesn't exist.
func CPU(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The second field, the command name in parentheses, may contain spaces. User and
	// system time are the 14th and 15th fields, which are the 12th and 13th after it.
	_, after, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(after)
	if !ok || len(f) < 13 {
		return 0
	}
	return time.Duration(parseInt(f[11])+parseInt(f[12])) * time.Second / clockTicks
}

// RSS returns the resident memory of a process in bytes, 0 if it can't be read.
func RSS(pid int) int64 { return statusBytes(pid, "VmRSS:") }

// Peak returns the high-water mark of RSS in bytes, 0 if it can't be read.
func Peak(pid int) int64 { return statusBytes(pid, "VmHWM:") }

// statusBytes returns a field of /proc/PID/status, which the kernel gives in kB, in bytes.
func statusBytes(pid int, field string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, field); ok {
			return parseInt(strings.Fields(v)[0]) << 10
		}
	}
	return 0
}

// parseInt returns the decimal number in s, 0 if s is not a number.
func parseInt(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
