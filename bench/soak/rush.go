package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
	"github.com/sourcegraph/conc"
)

const (
	// rushBusy is the number of processes that keep the processor busy on which the entry runs.
	rushBusy = 6
	// Each rate of rushRates, in new connections a second, lasts rushTime, of which the part after
	// rushSettle counts.
	rushTime   = 8 * time.Second
	rushSettle = 3 * time.Second
	// rushShare is the least share of requests that an entry serves of those that it has read.
	rushShare = 0.75
	// rushPatience is how long a caller waits.
	rushPatience = 2 * time.Second
	rushTick     = 5 * time.Millisecond
)

var rushRates = []int{200, 600, 2000, 200}

// rushCounts counts what came of requests, each on a connection of its own.
type rushCounts struct {
	asked, served, failed, unread, refused, unanswered atomic.Int64
}

func (c *rushCounts) String() string {
	return fmt.Sprintf("%d connections: %d served, %d failed, %d closed unread, %d not accepted, %d without an answer",
		c.asked.Load(), c.served.Load(), c.failed.Load(), c.unread.Load(), c.refused.Load(), c.unanswered.Load())
}

// runRush opens more connections to one entry, which shares a processor with busy processes, than the
// entry can serve. It is started by hand: its figures depend on the machine.
func runRush(ctx context.Context, config settings) error {
	config.dir, config.entries = filepath.Join(config.dir, "rush"), 2
	s, err := startSite(config)
	defer s.stop()
	if err != nil {
		return err
	}
	f := s.fleet
	ops := &operators{members: f.operators(), check: s.check}
	if err := bootstrap(ctx, f, ops, rand.New(rand.NewPCG(config.seed, 1))); err != nil {
		return err
	}
	release, err := squeeze(f.entries[0])
	defer release()
	if err != nil {
		return err
	}
	return rushAll(ctx, config, f.entries[0].config.Callers)
}

func rushAll(ctx context.Context, config settings, entry string) error {
	var failed error
	var next atomic.Int64
	for _, rate := range rushRates {
		counts := rush(ctx, entry, rate, &next)
		fmt.Fprintf(config.out, "%d a second: %s\n", rate, counts)
		read := counts.asked.Load() - counts.unread.Load() - counts.refused.Load()
		if float64(counts.served.Load()) < rushShare*float64(read) {
			failed = errors.Join(failed, fmt.Errorf("at %d new connections a second %d of %d requests were served that were read", rate, counts.served.Load(), read))
		}
	}
	return failed
}

// rush opens connections at a rate for rushTime and returns what came of those after rushSettle.
func rush(ctx context.Context, entry string, rate int, next *atomic.Int64) *rushCounts {
	var settling, counted rushCounts
	var work conc.WaitGroup
	defer work.Wait()
	tick := time.NewTicker(rushTick)
	defer tick.Stop()
	started := time.Now()
	due := 0.0
	for time.Since(started) < rushTime && ctx.Err() == nil {
		<-tick.C
		into := &counted
		if time.Since(started) < rushSettle {
			into = &settling
		}
		for due += float64(rate) * rushTick.Seconds(); due >= 1; due-- {
			work.Go(func() { into.ask(entry, fmt.Sprintf("%016x", next.Add(1))) })
		}
	}
	work.Wait()
	return &counted
}

// ask sends one request on a connection of its own.
func (c *rushCounts) ask(entry, id string) {
	c.asked.Add(1)
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		c.refused.Add(1)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(rushPatience)) // never fails on an open connection
	call := standin.Call{Entry: entry, Host: host, Path: "/look/x", Key: key, Request: api.RequestID(id), Patience: rushPatience}
	err = call.Write(conn)
	if err != nil {
		c.unread.Add(1)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.unanswered.Add(1)
	case err != nil:
		c.unread.Add(1)
	default:
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			c.failed.Add(1)
			return
		}
		c.served.Add(1)
	}
}

// squeeze pins a process to one processor with busy processes. The function that it returns ends
// these.
func squeeze(n *node) (release func(), err error) {
	var busy []*exec.Cmd
	release = func() {
		for _, cmd := range busy {
			_ = cmd.Process.Kill() // it may have ended
			_ = cmd.Wait()         // reports that it was killed
		}
	}
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return release, err
	}
	for _, t := range threads {
		id, err := strconv.Atoi(strings.TrimSpace(t.Name()))
		if err == nil {
			err = pin(id)
		}
		if err != nil {
			return release, err
		}
	}
	for range rushBusy {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		if err := cmd.Start(); err != nil {
			return release, err
		}
		busy = append(busy, cmd)
		if err := pin(cmd.Process.Pid); err != nil {
			return release, err
		}
	}
	return release, nil
}

// pin lets a thread run on the first processor only.
func pin(thread int) error {
	mask := uint64(1)
	_, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, uintptr(thread), unsafe.Sizeof(mask), uintptr(unsafe.Pointer(&mask)))
	if e != 0 {
		return fmt.Errorf("pin thread %d: %w", thread, e)
	}
	return nil
}
