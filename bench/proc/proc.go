// Package proc reads what a process uses from the proc file system, for the
// measurements.
package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks a second in /proc/PID/stat; Linux fixes it at 100 for user space.
const clockTicks = 100

// CPU is the processor time that a process has used, 0 if it is gone.
func CPU(pid int) time.Duration {
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
	return time.Duration(number(f[11])+number(f[12])) * time.Second / clockTicks
}

// RSS is the resident memory of a process and Peak its high-water mark, both
// in bytes.
func RSS(pid int) int64 { return status(pid, "VmRSS:") }

// Peak is the high-water mark of RSS.
func Peak(pid int) int64 { return status(pid, "VmHWM:") }

func status(pid int, field string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, field); ok {
			return number(strings.Fields(v)[0]) << 10
		}
	}
	return 0
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
