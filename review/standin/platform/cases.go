package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	pathBooking = "/pule252/2f"
	pathLookup  = "/puxa403/2f"
	// pathNotes is the prefix of the streaming route; the number of events follows.
	pathNotes = "/lohu930/"
	// eventPause is the time between two events of a stream.
	eventPause = 100 * time.Millisecond
	// workTime is how long the application service works on a request.
	workTime = 30 * time.Millisecond
	patience = 1500 * time.Millisecond
)

// startApp starts the fleet with three workers of the application service and clients of both routes.
func startApp(s *setup) ([]*worker, *clients, error) {
	var workers []*worker
	for i, zone := range zones {
		w, err := startWorker(s.fleet, s.rec, fmt.Sprintf("i-7f3a91c%d", i), appName, zone, workTime)
		if err != nil {
			return nil, nil, err
		}
		workers = append(workers, w)
	}
	if err := s.fleet.startAll(desiredState(7)); err != nil {
		return nil, nil, err
	}
	if err := s.fleet.awaitReady(); err != nil {
		return nil, nil, err
	}
	s.rec.say("started: three control machines, %d entries, %d workers", len(s.fleet.fronts), len(workers))
	c := newClients(s.fleet, s.rec, host, key, patience)
	c.run(6, "POST", pathBooking, 50*time.Millisecond)
	c.run(4, "GET", pathLookup, 50*time.Millisecond)
	time.Sleep(settleTime)
	return workers, c, nil
}

// malformedReport checks that a status report with missing fields, from another writer, does not
// hide a worker's own report that it drains.
func malformedReport(s *setup) (bool, error) {
	workers, c, err := startApp(s)
	if err != nil {
		return false, err
	}
	w := workers[0]
	if s.trouble {
		// zone, version, slots, cold_remaining_ms and born are missing; the writer counts by its clock.
		b, _ := json.Marshal(map[string]any{"service": w.service, "address": w.address, "state": "ready", "sequence": time.Now().Unix()})
		status := postInstance(s.fleet.controls[1], "Heartbeat", w.id, b)
		s.rec.say("a status report from another writer about %s: %s; answered %d", w.id, b, status)
	}
	time.Sleep(stableTime)
	acked, ok := w.drain()
	if !ok {
		return false, fmt.Errorf("no control machine acknowledged that %s drains", w.id)
	}
	s.rec.say("%s reports draining; acknowledged", w.id)
	// The worker serves for drain_ms and some seconds longer, and repeats its report meanwhile.
	time.Sleep(drainBound + 4*time.Second)
	left := time.Now()
	w.leave()
	s.rec.say("%s left", w.id)
	time.Sleep(2 * time.Second)
	c.stop()
	for _, other := range workers[1:] {
		other.end()
	}
	late := w.arrivedAfter(acked.Add(drainBound))
	s.rec.say("requests that reached %s later than %v after the acknowledgement: %d", w.id, drainBound, len(late))
	broke := 0
	for _, o := range c.all() {
		if o.path == pathBooking && w.ran(o.id) > 0 && o.status != 200 && o.ended.After(left.Add(-time.Second)) {
			broke++
		}
	}
	s.rec.say("bookings that %s had begun and whose clients got no answer from it: %d; all answers by status: %v", w.id, broke, tally(c.all()))
	return len(late) > 0, nil
}

// strayAnswer checks that additional bytes that a faulty worker sends after a complete response are
// not passed on as the answer to the next request.
func strayAnswer(s *setup) (bool, error) {
	workers, c, err := startApp(s)
	if err != nil {
		return false, err
	}
	// One worker of three sends additional bytes after one of twenty responses.
	const every, garbled = 20, 5500 * time.Millisecond
	w := workers[0]
	from := time.Now()
	if s.trouble {
		s.rec.say("%s begins to send additional bytes after one of %d responses", w.id, every)
		w.setExtra(func(n uint64) []byte {
			if n%every != 0 || time.Since(from) > garbled {
				return nil
			}
			return response("200 OK", "", "X-Instance-Id: "+w.id)
		})
	}
	time.Sleep(garbled + 4*time.Second)
	c.stop()
	for _, w := range workers {
		w.end()
	}
	broken := 0
	for _, o := range c.all() {
		if o.status/100 != 2 || o.err != nil {
			continue
		}
		by := ""
		for _, w := range workers {
			if o.seal == sealFor(o.id, w.id) && o.body == bodyFor(o.id, w.id) {
				by = w.id
			}
		}
		if by != "" {
			continue
		}
		broken++
		runs := 0
		for _, w := range workers {
			runs += w.ran(o.id)
		}
		s.rec.say("client of %s got %d with seal %q and body %q; workers ran the request %d times", o.id, o.status, o.seal, o.body, runs)
	}
	s.rec.say("successes without the worker's seal and body: %d; all answers by status: %v", broken, tally(c.all()))
	return broken > 0, nil
}

const (
	graceBound = 8 * time.Second
	// The clients of lateRequest connect while the balancer still sends new connections, at most two
	// checks after the signal, and send their request within header_timeout_ms (3,000).
	connectAfter = 1200 * time.Millisecond
	sendAfter    = 3500 * time.Millisecond
	// lateEvents take 4.6 s.
	lateEvents  = 46
	lateClients = 5
	// lateWindow is until when the signal counts as planned work: 1 s after grace_s.
	lateWindow = graceBound + time.Second
)

// streamResult is what the client of a stream saw.
type streamResult struct {
	id       string
	sent     time.Duration
	ended    time.Duration
	status   int
	events   int
	complete bool
	err      error
}

// lateRequest checks that an entry which was told to stop does not cut off the stream of a request that
// it has taken.
func lateRequest(s *setup) (bool, error) {
	workers, c, err := startApp(s)
	if err != nil {
		return false, err
	}
	entry := s.fleet.fronts[0]
	began := time.Now()
	if s.trouble {
		if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		s.rec.say("SIGTERM to %s", entry.name)
	}
	results := make([]streamResult, lateClients)
	var work sync.WaitGroup
	for i := range results {
		work.Go(func() { results[i] = s.lateStream(entry, began) })
	}
	time.Sleep(time.Until(began.Add(graceBound)))
	if s.trouble && entry.running() {
		s.rec.say("%s still runs after grace_s and is killed", entry.name)
		entry.kill()
	}
	work.Wait()
	c.stop()
	for _, w := range workers {
		w.end()
	}
	broken := 0
	for _, r := range results {
		ran := 0
		for _, w := range workers {
			ran += w.ran(r.id)
		}
		s.rec.say("stream %s: sent %.2f s after the signal, ended at %.2f s, status %d, %d of %d events, complete %v, passed on to %d workers, %v",
			r.id, r.sent.Seconds(), r.ended.Seconds(), r.status, r.events, lateEvents, r.complete, ran, r.err)
		if ran > 0 && !r.complete && r.ended < lateWindow {
			broken++
		}
	}
	s.rec.say("requests sent later than 3 s after the signal, passed on and cut: %d of %d", broken, len(results))
	return broken > 0, nil
}

// lateStream opens a connection and sends the request for a stream on it a little later.
func (s *setup) lateStream(entry *machine, began time.Time) (r streamResult) {
	r.id = fmt.Sprintf("%016x", rand.Uint64())
	time.Sleep(time.Until(began.Add(connectAfter)))
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(entry.ip, portFront), time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	time.Sleep(time.Until(began.Add(sendAfter)))
	r.sent = time.Since(began)
	defer func() { r.ended = time.Since(began) }()
	_ = conn.SetDeadline(time.Now().Add(39 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 39000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", pathNotes, lateEvents, host, r.id, key)
	s.rec.add("client POST %s id=%s entry=%s sent", pathNotes, r.id, entry.name)
	if err != nil {
		r.err = err
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	r.events, r.err = strings.Count(string(b), "id: "), err
	// A refusal of the entry's own is a complete answer too.
	r.complete = err == nil && (r.events == lateEvents || r.status/100 != 2)
	return r
}
