package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id, path string
	entry    string
	sent     time.Time
	ended    time.Time
	// status is zero if the connection ended without an answer.
	status int
	seal   string
	body   string
	err    error
}

// clients send requests one after the other, each on a new connection.
type clients struct {
	fronts   []*machine
	host     string
	key      string
	patience time.Duration
	rec      *record

	mu       sync.Mutex
	outcomes []outcome
	stopped  chan struct{}
	work     sync.WaitGroup
}

func newClients(f *fleet, rec *record, host, key string, patience time.Duration) *clients {
	return &clients{fronts: f.fronts, host: host, key: key, patience: patience, rec: rec, stopped: make(chan struct{})}
}

// run starts n clients that send method requests for a path with a pause between them.
func (c *clients) run(n int, method, path string, pause time.Duration) {
	for i := range n {
		c.work.Go(func() {
			for k := i; ; k++ {
				select {
				case <-c.stopped:
					return
				case <-time.After(pause):
				}
				c.send(c.fronts[k%len(c.fronts)], method, path)
			}
		})
	}
}

func (c *clients) stop() {
	close(c.stopped)
	c.work.Wait()
}

func (c *clients) send(m *machine, method, path string) {
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, entry: m.name, sent: time.Now()}
	o.status, o.seal, o.body, o.err = c.exchange(m, method, path, o.id)
	o.ended = time.Now()
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	c.rec.add("client %s %s id=%s entry=%s status=%d seal=%q bytes=%d err=%v", method, path, o.id, o.entry, o.status, o.seal, len(o.body), o.err)
}

func (c *clients) exchange(m *machine, method, path, id string) (status int, seal, body string, err error) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(m.ip, portFront), time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.patience + time.Second))
	payload := ""
	if method == http.MethodPost {
		payload = "seat for " + id
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, c.host, id, c.patience.Milliseconds(), c.key, len(payload), payload)
	if err != nil {
		return 0, "", "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Response-Seal"), string(b), err
}

func (c *clients) all() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}

// tally counts outcomes by status.
func tally(list []outcome) map[int]int {
	out := make(map[int]int)
	for _, o := range list {
		out[o.status]++
	}
	return out
}
