package main

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
	"unsafe"
)

// quota limits a process to a part of a processor, as a container's quota does: in each period it
// runs until its part is used up, and is suspended for the rest of the period.
type quota struct {
	// share is the part of one processor.
	share  float64
	period time.Duration
}

// quotaPoll is how often the processor time of a running process is read.
const quotaPoll = 100 * time.Microsecond

// apply limits a process until the function that it returns is called, which returns the longest time
// for which the process was suspended.
func (q quota) apply(n *node) (release func() time.Duration, err error) {
	pid := n.pid()
	used, err := processorTime(pid)
	if err != nil {
		return func() time.Duration { return 0 }, err
	}
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		runtime.LockOSThread() // wakes up sooner
		span := q.enforce(pid, used, done)
		_ = syscall.Kill(pid, syscall.SIGCONT) // it may have ended
		longest <- span
	}()
	return func() time.Duration { close(done); return <-longest }, nil
}

// enforce suspends and resumes a process until done is closed or the process ends. What the process
// uses beyond its part is taken off the next one.
func (q quota) enforce(pid int, used time.Duration, done <-chan struct{}) (longest time.Duration) {
	part := time.Duration(q.share * float64(q.period))
	limit, suspended := used+part, false
	var since time.Time
	for periodEnd := time.Now().Add(q.period); ; {
		select {
		case <-done:
			return longest
		default:
		}
		now, err := processorTime(pid)
		if err != nil {
			return longest // the process has ended
		}
		switch {
		case now >= limit && !suspended:
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			suspended, since = true, time.Now()
		case now < limit && suspended:
			_ = syscall.Kill(pid, syscall.SIGCONT)
			suspended = false
			longest = max(longest, time.Since(since))
		}
		if suspended {
			time.Sleep(time.Until(periodEnd))
		} else {
			time.Sleep(quotaPoll)
		}
		if !time.Now().Before(periodEnd) {
			limit = min(limit, now) + part // an unused part is lost
			periodEnd = periodEnd.Add(q.period)
		}
	}
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	const processClock = 2 // CPUCLOCK_SCHED of the process, see clock_getcpuclockid(3)
	var ts syscall.Timespec
	clock := uintptr(int32(^pid)<<3 | processClock)
	_, _, e := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&ts)), 0)
	if e != 0 {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, e)
	}
	return time.Duration(ts.Nano()), nil
}
