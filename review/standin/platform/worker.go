package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	id, path string
	at       time.Time
	run      bool
}

// worker is a stand-in for a worker of the application service. It serves one request at a time on a
// connection, announces itself and echoes the attempt id.
type worker struct {
	id, service, zone, address string
	slots                      int
	// software is the version of the worker's software, reportsLate the time by which its status
	// reports arrive late.
	software    string
	reportsLate time.Duration
	work        time.Duration
	// serveConn serves the requests of a connection until it ends.
	serveConn func(net.Conn)
	rec       *record
	controls  []*machine
	born      int64
	sequence  atomic.Uint64
	state     atomic.Value
	ln        net.Listener
	done      chan struct{}

	// extra returns the bytes that the worker sends on a connection after the complete response to the
	// request with this number, at the point where the next response is expected; nil for none.
	extra atomic.Pointer[func(n uint64) []byte]

	answers  atomic.Uint64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	arrivals []arrival
}

func startWorker(f *fleet, rec *record, id, service, zone string, work time.Duration) (*worker, error) {
	w, err := newWorker(f, rec, id, service, zone, appSlots)
	if err != nil {
		return nil, err
	}
	w.work = work
	w.serveConn = w.serve
	w.run()
	return w, nil
}

// newWorker prepares a worker. It serves and announces itself from run on.
func newWorker(f *fleet, rec *record, id, service, zone string, slots int) (*worker, error) {
	ip, err := f.freeAddress(portWorker)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, address: net.JoinHostPort(ip, portWorker), slots: slots, software: "v1", rec: rec, controls: f.controls,
		born: time.Now().UnixMilli(), done: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	w.state.Store("ready")
	w.ln, err = net.Listen("tcp", w.address)
	return w, err
}

func (w *worker) run() {
	go w.accept()
	go w.beats()
}

func (w *worker) setExtra(f func(n uint64) []byte) { w.extra.Store(&f) }

func (w *worker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.serveConn(c)
			_ = c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

func (w *worker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			w.rec.add("extra worker=%s before the answer to %s", w.id, req.Header.Get("X-Attempt-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		if n, ok := eventCount(req); ok && req.Header.Get("X-Attempt-Id") != "" && !w.mismatch(req) {
			after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 without the header
			if !w.stream(c, req.Header.Get("X-Attempt-Id"), after, n) {
				return
			}
			continue
		}
		answer, n := w.answer(req, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if extra := w.extra.Load(); extra != nil && n > 0 {
			late = (*extra)(n)
		}
	}
}

// answer runs a request and returns the response with its number; the number is zero if the worker
// did not run the request.
func (w *worker) answer(req *http.Request, body []byte) ([]byte, uint64) {
	id := req.Header.Get("X-Attempt-Id")
	switch {
	case req.URL.Path == "/almondseam/report":
		text := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"sequence":0,"waiting_requests":0,"running_requests":0,"born":%d}`, w.born)
		return response("200 OK", text, "Content-Type: application/json"), 0
	case req.URL.Path == "/health":
		return response("200 OK", "", "X-Instance-Id: "+w.id), 0
	case id == "":
		return response("400 Bad Request", "", "X-Not-Executed: 1"), 0
	}
	if w.mismatch(req) {
		w.reached(id, req.URL.Path, false)
		return response("421 Misdirected Request", "", "X-Attempt-Id: "+id, "X-Instance-Id: "+w.id), 0
	}
	w.reached(id, req.URL.Path, true)
	time.Sleep(w.work)
	return response("200 OK", bodyFor(id, w.id), "X-Attempt-Id: "+id, "X-Response-Seal: "+sealFor(id, w.id), "Content-Type: text/plain", "Keep-Alive: timeout=5"), w.answers.Add(1)
}

// mismatch reports whether the request is for another worker.
func (w *worker) mismatch(req *http.Request) bool {
	want := req.Header.Get("X-Expected-Instance")
	return want != "" && want != w.id
}

// eventCount returns the number of events that a request of the streaming route asks for.
func eventCount(req *http.Request) (int, bool) {
	rest, ok := strings.CutPrefix(req.URL.Path, pathNotes)
	if !ok {
		rest, ok = strings.CutPrefix(req.URL.Path, pathTags)
	}
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil
}

// stream runs a request whose answer is a stream of events, from the one after the given event on. It returns false if the connection has ended.
func (w *worker) stream(c net.Conn, id string, after, events int) bool {
	w.reached(id, pathNotes, true)
	w.rec.add("runs worker=%s software=%s id=%s after event %d", w.id, w.software, id, after)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + sealFor(id, w.id) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for i := after + 1; i <= events; i++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, id, w.software)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			w.rec.add("cut worker=%s id=%s after event %d of %d", w.id, id, i-1, events)
			return false
		}
	}
	w.rec.add("made worker=%s id=%s all %d events", w.id, id, events)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (w *worker) reached(id, path string, run bool) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, path, time.Now(), run})
	w.mu.Unlock()
	w.rec.add("reach worker=%s id=%s run=%v", w.id, id, run)
}

// arrivedAfter returns the requests that reached the worker after a time and were not answered 421.
func (w *worker) arrivedAfter(t time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.arrivals {
		if a.run && a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.arrivals {
		if a.run && a.id == id {
			n++
		}
	}
	return n
}

func bodyFor(id, worker string) string { return "done " + id + " by " + worker + "\n" }

func sealFor(id, worker string) string { return "seal." + id + "." + worker }

func response(status, body string, headers ...string) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// beat is a status report with all the fields that the pages list.
func (w *worker) beat() []byte {
	b, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots, "state": w.state.Load(),
		"cold_remaining_ms": 0, "sequence": w.sequence.Add(1), "born": w.born,
	})
	return b
}

func (w *worker) beats() {
	select {
	case <-time.After(w.reportsLate):
	case <-w.done:
	}
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		w.report(n, "Heartbeat", w.beat())
		select {
		case <-tick.C:
		case <-w.done:
			return
		}
	}
}

// report sends a call to one control machine after the other until one acknowledges it, and returns
// the time of the acknowledgement.
func (w *worker) report(from int, call string, body []byte) (time.Time, bool) {
	for i := range w.controls {
		m := w.controls[(from+i)%len(w.controls)]
		if status := postInstance(m, call, w.id, body); status/100 == 2 {
			if call != "Heartbeat" || strings.Contains(string(body), "draining") {
				w.rec.add("ack worker=%s call=%s by=%s body=%s", w.id, call, m.name, body)
			}
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// postInstance sends a call about a worker and returns the status, zero if there was no answer.
func postInstance(m *machine, call, id string, body []byte) int {
	url := "http://" + net.JoinHostPort(m.ip, portControl) + "/almondseam/Instances." + call + "/" + id
	resp, err := operatorClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// drain reports that the worker is draining and returns the time of the first acknowledgement.
func (w *worker) drain() (time.Time, bool) {
	w.state.Store("draining")
	return w.report(0, "Heartbeat", w.beat())
}

// leave sends the last call of the worker and ends it.
func (w *worker) leave() {
	b, _ := json.Marshal(map[string]any{"born": w.born})
	w.report(0, "Leave", b)
	w.end()
}

// restart ends the worker as a crash does and starts it again at once, at its address and under its
// identifier, with other software. Its status reports arrive late.
func (w *worker) restart(software string, late time.Duration) (*worker, error) {
	w.end()
	next := &worker{
		id: w.id, service: w.service, zone: w.zone, address: w.address, slots: w.slots, work: w.work, rec: w.rec, controls: w.controls,
		software: software, reportsLate: late, born: time.Now().UnixMilli(), done: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	next.state.Store("ready")
	next.serveConn = next.serve
	var err error
	if next.ln, err = net.Listen("tcp", next.address); err != nil {
		return nil, err
	}
	next.run()
	return next, nil
}

func (w *worker) end() {
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	_ = w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}
