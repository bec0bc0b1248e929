package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host   = "notes.example"
	zone   = "zone-a"
	apiKey = "key-of-the-choir"
)

// limits and tenants of all desired states.
func desiredState(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "choir", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// load sends requests and keeps the answers.
type load struct {
	fleet  *fleet
	record *record
	next   atomic.Int64
	stop   chan struct{}
	work   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]answer
}

func newLoad(f *fleet) *load {
	return &load{fleet: f, record: f.record, stop: make(chan struct{}), answers: make(map[string]answer)}
}

// send sends one request to an entry and returns the answer.
func (l *load) send(entry int, c call) (string, answer) {
	e := l.fleet.entries[entry%len(l.fleet.entries)]
	c.id = fmt.Sprintf("a%05d", l.next.Add(1))
	c.entry, c.host, c.key = fmt.Sprintf("%s:%d", e.host, l.fleet.ports.callers), host, apiKey
	l.record.add(e.name, "is sent %s", c.id)
	a := c.do()
	l.record.add(e.name, "answers %s: %s", c.id, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[c.id] = a
	return c.id, a
}

// keep lets a caller send one request after the other until the load ends.
func (l *load) keep(entry int, c call, pause time.Duration) {
	l.work.Go(func() {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(pause):
				l.send(entry, c)
			}
		}
	})
}

func (l *load) end() {
	close(l.stop)
	l.work.Wait()
}

// byStatus counts the answers.
func (l *load) byStatus() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[int]int)
	for _, a := range l.answers {
		out[a.status]++
	}
	return out
}
