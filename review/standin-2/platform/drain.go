package main

import (
	"time"
)

// The case of a stream that goes on at a standby which has been draining for longer than drainLimit.
const (
	// drainLimit is drain_ms of the settings.
	drainLimit = 2 * time.Second
	// crashAfter is the time from the confirmation to the crash of a worker.
	crashAfter = 2700 * time.Millisecond
	// longEvents makes streams last for some twelve seconds.
	longEvents = 300
)

func drainCase(f *fleet, trouble bool) (broken int, err error) {
	l, workers, err := startEngines(f, engineState(true, 2), longEvents, -1)
	defer func() { stopAll(workers) }()
	if err != nil {
		return 0, err
	}
	time.Sleep(warmUp)
	drains, crashes, copies := busiestPair(workers)
	f.record.add("check", "%s holds copies of %d runs of %s", drains.id, copies, crashes.id)
	confirmed := drains.drain()
	time.Sleep(crashAfter)
	f.record.add("check", "%s holds copies of %d runs of %s", drains.id, crashes.backups()[drains.address], crashes.id)
	if trouble {
		f.record.add("trouble", "%s crashes", crashes.id)
		crashes.stop()
	}
	time.Sleep(coolDown)
	drains.leave()
	drains.stop()
	l.end()
	for _, x := range drains.allRuns() {
		if after := x.began.Sub(confirmed); after > drainLimit {
			broken++
			f.record.add("check", "DRAIN: %s reaches %s %v after the confirmation", x.id, drains.id, after)
		}
	}
	report(f.record, "%d requests, by status %v; DRAIN %d", len(l.answers), l.byStatus(), broken)
	return broken, nil
}

// busiestPair returns the worker that holds copies of the most runs of another one, that one, and their number.
func busiestPair(workers []*worker) (holder, runner *worker, copies int) {
	holder, runner = workers[0], workers[1]
	for _, r := range workers {
		for address, n := range r.backups() {
			for _, h := range workers {
				if h.address == address && n > copies {
					holder, runner, copies = h, r, n
				}
			}
		}
	}
	return holder, runner, copies
}
