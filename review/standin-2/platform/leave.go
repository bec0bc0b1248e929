package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The case of clients that leave: they close their side of the connection and read what still comes.
const (
	bookings     = "bookings"
	bookingCount = 3
	bookingWork  = 120 * time.Millisecond
	bookingCalls = 12
	// patience is the time limit of the bookings, leaveAfter when those leave that do: half the objective.
	patience   = 1500 * time.Millisecond
	leaveAfter = 75 * time.Millisecond
	// Of leaveEvery clients one leaves, a share of 0.2; leaveTime is for how long some do.
	leaveEvery = 5
	leaveTime  = 5500 * time.Millisecond
	calmTime   = 3 * time.Second
	pauses     = 40 * time.Millisecond
	// textEvents is the number of events of a stream, textPause the time between two.
	textEvents = 15
	textPause  = 20 * time.Millisecond
)

func bookingState() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": patience.Milliseconds(), "target_latency_ms": 150,
			"priority": 1, "service": bookings, "max_attempts": attempts, "public": false, "sticky": false, "can_resume": false,
		}
	}
	return desiredState(1, []map[string]any{route("r-book", "/book/", "unsafe", 1), route("r-look", "/look/", "safe", 2), route("r-text", "/text/", "streaming", 1)}, []map[string]any{{
		"name": bookings, "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false,
	}})
}

func leaveCase(f *fleet, trouble bool) (broken int, err error) {
	if err := f.start(3, 2); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var workers []*worker
	defer func() { stopAll(workers) }()
	for i := range bookingCount {
		w, err := startWorker(workerSettings{
			id: fmt.Sprintf("i-%d", i), service: bookings, address: fmt.Sprintf("%s:8080", f.workerHost(i)), slots: 6,
			born: time.Now().UnixMilli(), control: f.seeds(), workTime: bookingWork, eventTime: textPause, copies: newCopies(), record: f.record,
		})
		if err != nil {
			return 0, err
		}
		workers = append(workers, w)
	}
	if err := f.replaceConfiguration(bookingState()); err != nil {
		return 0, err
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	l := newLoad(f)
	var leaving, sent, left, unsealed, cut atomic.Int64
	leaves := func() bool { return trouble && leaving.Load() > 0 && sent.Add(1)%leaveEvery == 0 }
	for i := range bookingCalls {
		path := []string{"/book/1", "/look/1", fmt.Sprintf("/text/events/%d", textEvents)}[i%3]
		l.work.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(pauses):
				}
				a := l.callOnce(i, path, leaves())
				if a.left {
					left.Add(1)
				}
				if a.status/100 == 2 && a.sealed && a.whole && strings.Contains(path, "/events/") && a.events < textEvents {
					cut.Add(1)
					f.record.add("check", "ORDER: %s (left: %v) ends as complete after %d of %d events", a.id, a.left, a.events, textEvents)
				}
				if a.status/100 == 2 && !a.sealed {
					unsealed.Add(1)
					f.record.add("check", "MIXED: %s (left: %v) got a success without a seal: %q", a.id, a.left, a.head)
				}
			}
		})
	}
	for range 3 {
		time.Sleep(calmTime)
		leaving.Store(1)
		time.Sleep(leaveTime)
		leaving.Store(0)
	}
	l.end()
	report(f.record, "%d requests, by status %v (0: closed without an answer); %d clients left; MIXED %d, ORDER %d", len(l.answers), l.byStatus(), left.Load(), unsealed.Load(), cut.Load())
	return int(unsealed.Load() + cut.Load()), nil
}

// rawAnswer is what a client has received on a connection of its own.
type rawAnswer struct {
	answer
	id   string
	left bool
	head string
	// events is the number of events of a stream.
	events int
}

// callOnce sends one request on a connection of its own. A client that leaves closes its side of the connection
// after leaveAfter, and then reads to the end of the connection.
func (l *load) callOnce(entry int, path string, leaves bool) rawAnswer {
	e := l.fleet.entries[entry%len(l.fleet.entries)]
	a := rawAnswer{id: fmt.Sprintf("a%05d", l.next.Add(1))}
	l.record.add(e.name, "is sent %s %s", a.id, path)
	err := l.exchange(fmt.Sprintf("%s:%d", e.host, l.fleet.ports.callers), path, leaves, &a)
	l.record.add(e.name, "answers %s (left: %v): status %d sealed %v, %v", a.id, a.left, a.status, a.sealed, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[a.id] = a.answer
	return a
}

// headBytes is how much of an answer is recorded.
const headBytes = 200

var errNoAnswer = errors.New("closed without an answer")

func (l *load) exchange(address, path string, leaves bool, a *rawAnswer) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience + time.Second))
	body := "body of " + a.id
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		path, host, a.id, patience.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		return err
	}
	if leaves {
		time.Sleep(leaveAfter)
		a.left = true
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
	}
	all, err := io.ReadAll(c)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return errNoAnswer
	}
	a.head = string(all[:min(len(all), headBytes)])
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(all))), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("X-Response-Seal") == "seal."+a.id
	text, err := io.ReadAll(resp.Body)
	a.whole, a.events = err == nil, strings.Count(string(text), "\n\n")
	return err
}
