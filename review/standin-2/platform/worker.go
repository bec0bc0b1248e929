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

// workerSettings describe a worker.
type workerSettings struct {
	id, service, address string
	slots                int
	// born is the start of the worker by the clock of its machine.
	born int64
	// control lists the addresses for status reports.
	control []string
	// eventTime is the pause before each event of a stream, workTime how long a plain request takes.
	eventTime, workTime time.Duration
	// worksOn is set if the worker does not drop a request when its connection closes.
	worksOn bool
	copies  *copies
	record  *record
}

// worker is a stand-in for a worker, with or without an engine.
type worker struct {
	workerSettings
	sequence atomic.Uint64
	leaving  atomic.Bool
	ln       net.Listener
	done     chan struct{}
	stopOnce sync.Once

	mu      sync.Mutex
	running map[string]*run
	runs    []*run
	holds   map[string]time.Time
	last    int
	conns   map[net.Conn]struct{}
}

// run is a request while and after a worker works on it.
type run struct {
	id           string
	began, ended time.Time
	// stop is closed when a move stops the run.
	stop    chan struct{}
	stopped bool
	events  int
	// backup is the address that receives a copy of the run's memory, empty for none.
	backup string
}

// copies holds the copies of the memory of runs, by the address that holds them and their ID.
type copies struct {
	mu   sync.Mutex
	list map[string]int
}

func newCopies() *copies { return &copies{list: make(map[string]int)} }

func (c *copies) put(address, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list[address+"/"+id]++
}

// take uses a copy, and returns false if there is none.
func (c *copies) take(place string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list[place] == 0 {
		return false
	}
	delete(c.list, place)
	return true
}

func (c *copies) drop(address, id string) { c.take(address + "/" + id) }

func startWorker(s workerSettings) (*worker, error) {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	w := &worker{workerSettings: s, ln: ln, done: make(chan struct{}), holds: make(map[string]time.Time), running: make(map[string]*run), conns: make(map[net.Conn]struct{})}
	go w.accept()
	go w.reportLoop()
	return w, nil
}

// stop ends the worker as a crash does: all its connections are closed.
func (w *worker) stop() {
	w.stopOnce.Do(func() {
		close(w.done)
		_ = w.ln.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for c := range w.conns {
			_ = c.Close()
		}
	})
}

func (w *worker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

var reportClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// reportLoop sends status reports until the worker stops.
func (w *worker) reportLoop() {
	for {
		w.report()
		select {
		case <-w.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one status report to one member after another, and returns which has acknowledged it.
func (w *worker) report() (by string) {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	n := w.sequence.Add(1)
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": n, "born": w.born, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	return w.call("Instances.Heartbeat", body, int(n))
}

func (w *worker) call(name string, body []byte, first int) (by string) {
	for i := range w.control {
		at := w.control[(first+i)%len(w.control)]
		resp, err := reportClient.Post("http://"+at+"/almondseam/"+name+"/"+w.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return at
		}
	}
	return ""
}

// drain reports that the worker is draining until a member acknowledges it, and returns when that was.
func (w *worker) drain() time.Time {
	w.leaving.Store(true)
	for {
		if by := w.report(); by != "" {
			w.record.add(w.id, "is draining; acknowledged by %s", by)
			return time.Now()
		}
	}
}

// leave deregisters the worker.
func (w *worker) leave() {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	w.record.add(w.id, "leaves; acknowledged by %s", w.call("Instances.Leave", body, 0))
}

// connection is one connection, on which requests are served one after the other.
type connection struct {
	net.Conn
	// gone is closed when the other side has closed the connection.
	gone     chan struct{}
	requests chan *received
}

// received is a request with its body.
type received struct {
	*http.Request
	body []byte
}

func (w *worker) serve(nc net.Conn) {
	defer nc.Close()
	c := &connection{Conn: nc, gone: make(chan struct{}), requests: make(chan *received, 16)}
	go c.read()
	for r := range c.requests {
		if !w.answer(c, r) {
			return
		}
	}
}

func (c *connection) read() {
	defer close(c.requests)
	defer close(c.gone)
	r := bufio.NewReader(c.Conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c.requests <- &received{req, body}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (w *worker) answer(c *connection, r *received) bool {
	path := r.URL.Path
	switch {
	case path == "/almondseam/hold-take":
		return w.hold(c)
	case strings.HasPrefix(path, "/almondseam/hold-drop/"):
		w.mu.Lock()
		delete(w.holds, strings.TrimPrefix(path, "/almondseam/hold-drop/"))
		w.mu.Unlock()
		return w.reply(c, http.StatusOK, nil, "{}")
	case path == "/almondseam/report":
		return w.reply(c, http.StatusOK, nil, fmt.Sprintf(`{"stage":"both","born":%d,"busy":false,"sequence":0}`, w.born))
	case path == "/almondseam/kv-move":
		return w.move(c, r.body)
	case strings.HasPrefix(path, "/almondseam/kv-handle/"):
		w.copies.drop(w.address, strings.TrimPrefix(path, "/almondseam/kv-handle/"))
		return w.reply(c, http.StatusOK, nil, "{}")
	case strings.HasPrefix(path, "/almondseam/"):
		return w.reply(c, http.StatusNotFound, nil, "")
	}
	return w.execute(c, r)
}

// reply writes an answer of a known length.
func (w *worker) reply(c *connection, status int, header map[string]string, body string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if w.leaving.Load() {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

const holdTime = 2 * time.Second

// hold reserves a slot, if one is free.
func (w *worker) hold(c *connection) bool {
	w.mu.Lock()
	id := ""
	if w.free() {
		w.last++
		id = fmt.Sprintf("h-%s-%d", w.id, w.last)
		w.holds[id] = time.Now().Add(holdTime)
	}
	w.mu.Unlock()
	if id == "" {
		return w.reply(c, http.StatusServiceUnavailable, nil, "")
	}
	return w.reply(c, http.StatusOK, nil, fmt.Sprintf(`{"hold":%q}`, id))
}

// free reports whether a slot is free. The caller holds w.mu.
func (w *worker) free() bool {
	now := time.Now()
	for id, until := range w.holds {
		if until.Before(now) {
			delete(w.holds, id)
		}
	}
	return len(w.running)+len(w.holds) < w.slots
}

// move copies the memory of a run to another worker, and stops the run first if that is asked.
func (w *worker) move(c *connection, body []byte) bool {
	var m struct {
		Identifier string `json:"identifier"`
		Target     string `json:"target"`
		Last       bool   `json:"last"`
	}
	if json.Unmarshal(body, &m) != nil {
		return w.reply(c, http.StatusBadRequest, nil, "")
	}
	w.mu.Lock()
	r := w.running[m.Identifier]
	if r == nil {
		w.mu.Unlock()
		return w.reply(c, http.StatusNotFound, nil, "")
	}
	if m.Last && !r.stopped {
		r.stopped = true
		close(r.stop)
	}
	made := r.events
	w.mu.Unlock()
	time.Sleep(moveTime)
	handle := "m-" + m.Identifier
	w.copies.put(w.address, handle)
	w.record.add(w.id, "moves %s to %s, last %v", m.Identifier, m.Target, m.Last)
	return w.reply(c, http.StatusOK, nil, fmt.Sprintf(`{"handle":%q,"made":%d}`, handle, made))
}

const moveTime = 20 * time.Millisecond

// execute runs a request, or rejects it.
func (w *worker) execute(c *connection, r *received) bool {
	id := r.Header.Get("X-Attempt-Id")
	notRun := map[string]string{"X-Attempt-Id": id, "X-Not-Executed": "1"}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		return w.reply(c, http.StatusMisdirectedRequest, notRun, "")
	}
	from := r.Header.Get("Kv-From")
	if from != "" && !w.copies.take(from) {
		w.record.add(w.id, "has no copy %s", from)
		return w.reply(c, http.StatusServiceUnavailable, notRun, "")
	}
	w.mu.Lock()
	_, held := w.holds[r.Header.Get("X-Hold")]
	if from == "" && !held && !w.free() || w.running[id] != nil {
		w.mu.Unlock()
		return w.reply(c, http.StatusServiceUnavailable, notRun, "")
	}
	delete(w.holds, r.Header.Get("X-Hold"))
	x := &run{id: id, began: time.Now(), stop: make(chan struct{}), backup: r.Header.Get("X-Kv-Backup")}
	w.running[id] = x
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	w.record.add(w.id, "runs %s from %q after event %q", id, from, r.Header.Get("Last-Event-Id"))
	open := w.work(c, r, x)
	w.mu.Lock()
	delete(w.running, id)
	x.ended = time.Now()
	w.mu.Unlock()
	w.record.add(w.id, "ends %s", id)
	return open
}

// work runs a request and writes its answer, and reports whether the connection stays open.
func (w *worker) work(c *connection, r *received, x *run) bool {
	gone := (<-chan struct{})(c.gone)
	if w.worksOn {
		gone = nil
	}
	seal := "seal." + x.id
	_, count, isStream := strings.Cut(r.URL.Path, "/events/")
	if !isStream {
		select {
		case <-gone:
			return false
		case <-w.done:
			return false
		case <-time.After(w.workTime):
		}
		return w.reply(c, http.StatusOK, map[string]string{"X-Attempt-Id": x.id, "X-Response-Seal": seal}, "answer to "+x.id)
	}
	if x.backup != "" {
		w.copies.put(x.backup, x.id)
	}
	leaving := ""
	if w.leaving.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", x.id, seal, leaving)
	n, _ := strconv.Atoi(count)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= n; i++ {
		select {
		case <-gone:
			return false
		case <-w.done:
			return false
		case <-x.stop:
			return false
		case <-time.After(w.eventTime):
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, x.id, i)
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		if err != nil && !w.worksOn {
			return false
		}
		w.mu.Lock()
		x.events = i
		w.mu.Unlock()
	}
	if x.backup != "" {
		w.copies.take(x.backup + "/" + x.id) // until the run has ended successfully
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// allRuns returns copies of the runs so far.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]run, len(w.runs))
	for i, x := range w.runs {
		out[i] = *x
		if x.ended.IsZero() {
			out[i].ended = time.Now()
		}
	}
	return out
}
