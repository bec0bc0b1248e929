package main

import (
	"fmt"
	"time"
)

// The case of a stream that goes on at its standby while the worker before still works on it.
const (
	writers      = "writers"
	writerCount  = 6
	writerSlots  = 8
	streamEvents = 90
	eventTime    = 40 * time.Millisecond
	streamCalls  = 20
	startPause   = 180 * time.Millisecond // spreads the streams
	warmUp       = 6 * time.Second
	coolDown     = 6 * time.Second
	// worksOnLimit is how long the worker before may work on after the stream goes on elsewhere.
	worksOnLimit = 400 * time.Millisecond
)

// engineState returns a desired state with one route for streams.
func engineState() map[string]any {
	return desiredState(1, []map[string]any{{
		"name": "r-notes", "host": host, "path_prefix": "/notes/", "kind": "streaming", "timeout_ms": 39000, "target_latency_ms": 1800,
		"priority": 0, "service": writers, "max_attempts": 1, "public": false, "sticky": true, "can_resume": false, "gap_target_ms": 180,
	}}, []map[string]any{{
		"name": writers, "health_path": "/health", "connection_limit": 252, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": writerSlots, "kv_tokens": 34319, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true,
			"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
		},
	}})
}

// startEngines starts the fleet, workers with engines and callers of streams. worksOn is the number of the worker
// that does not drop requests when their connection closes, negative for none.
func startEngines(f *fleet, state map[string]any, worksOn int) (*load, []*worker, error) {
	if err := f.start(3, 2); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Second)
	shared := newCopies()
	var workers []*worker
	for i := range writerCount {
		w, err := startWorker(workerSettings{
			id: fmt.Sprintf("i-%d", i), service: writers, address: fmt.Sprintf("%s:8080", f.workerHost(i)), slots: writerSlots,
			born: time.Now().UnixMilli(), control: f.seeds(), eventTime: eventTime, worksOn: i == worksOn, copies: shared, record: f.record,
		})
		if err != nil {
			return nil, workers, err
		}
		workers = append(workers, w)
	}
	if err := f.replaceConfiguration(state); err != nil {
		return nil, workers, err
	}
	if err := f.awaitReady(); err != nil {
		return nil, workers, err
	}
	l := newLoad(f)
	for i := range streamCalls {
		time.Sleep(startPause)
		l.keep(i, call{path: fmt.Sprintf("/notes/events/%d", streamEvents), patience: 39 * time.Second, header: map[string]string{
			"X-Model": "m", "X-Token-Counts": "400,2000", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%x:321", i+1),
		}}, 100*time.Millisecond)
	}
	return l, workers, nil
}

func stopAll(workers []*worker) {
	for _, w := range workers {
		w.stop()
	}
}

func standbyCase(f *fleet, trouble bool) (broken int, err error) {
	l, workers, err := startEngines(f, engineState(), 0)
	defer func() { stopAll(workers) }()
	if err != nil {
		return 0, err
	}
	time.Sleep(warmUp)
	if trouble {
		workers[0].drain()
	}
	time.Sleep(coolDown)
	l.end()
	return checkTwice(f.record, l, workers), nil
}

// checkTwice counts the streams that went on at another worker while the worker before worked on for longer
// than worksOnLimit.
func checkTwice(rec *record, l *load, workers []*worker) (broken int) {
	moved := 0
	byID := make(map[string][]run)
	for _, w := range workers {
		for _, x := range w.allRuns() {
			byID[x.id] = append(byID[x.id], x)
		}
	}
	for id, list := range byID {
		for i := range list {
			for j := range list {
				if !list[j].began.After(list[i].began) {
					continue
				}
				moved++
				over := list[i].ended.Sub(list[j].began)
				rec.add("check", "%s goes on elsewhere; the worker before works on for %v", id, over)
				if over > worksOnLimit {
					broken++
				}
			}
		}
	}
	report(rec, "%d requests, by status %v; %d went on elsewhere; TWICE %d", len(l.answers), l.byStatus(), moved, broken)
	return broken
}
