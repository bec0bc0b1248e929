package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/standin"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

const (
	testKey   = "sk-desk"
	otherKey  = "sk-other"
	fleetKey  = "a-fleet-key-for-tests"
	testModel = "standin"
	testConf  = `
name: test
sites: [{id: lhr, region: pk-central, zones: [lhr-a, lhr-b]}]
customers:
  - {id: desk, keys: [%q], max_concurrent: 1000, tokens_per_second: 1000000/s, burst_tokens: 1000000}
  - {id: other, keys: [%q]}
models: [{id: standin, context_tokens: 32000, max_output_tokens: 16000}]
services: [{id: bookings, path_prefix: /bookings, repeatable: [GET], timeout: 20s}]
limits: {keepalive: 200ms}
`
	// testTimeout limits the duration of a whole test; tests check no shorter times.
	testTimeout = 60 * time.Second
)

// fleet creates entries, agents and stand-in engines on loopback in one process.
type fleet struct {
	t    *testing.T
	c    *qt.C
	live *fleetconfig.Live
}

func newFleet(t *testing.T) *fleet {
	c := qt.New(t)
	f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, testConf, fleetconfig.KeySum(testKey), fleetconfig.KeySum(otherKey))})
	c.Assert(err, qt.IsNil)
	live := &fleetconfig.Live{}
	live.Publish(fleetconfig.Compile(f).At(1, "lhr"))
	return &fleet{t: t, c: c, live: live}
}

func listenLoopback(c *qt.C) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return ln
}

// testEntry is an entry process with its addresses.
type testEntry struct {
	*Entry
	url   string
	links string
	stop  func(grace time.Duration) error
}

func (f *fleet) entry(name string) *testEntry { return f.entryWithWriteTimeout(name, 0) }

// entryWithWriteTimeout starts an entry with the given maximum duration of one write to
// a caller.
func (f *fleet) entryWithWriteTimeout(name string, write time.Duration) *testEntry {
	log := zerolog.Nop()
	callers, links := listenLoopback(f.c), listenLoopback(f.c)
	e := NewEntry(EntrySettings{Instance: api.InstanceID(name), Zone: "lhr-a", Key: []byte(fleetKey), Callers: callers, Links: links, Write: write},
		EntryPorts{Live: f.live, Metrics: metrics.New(&log), Log: &log})
	e.Start()
	te := &testEntry{Entry: e, url: "http://" + callers.Addr().String(), links: links.Addr().String()}
	te.stop = stopOnce(f.t, e.Stop)
	return te
}

// stopOnce returns a function that stops a role within a grace period. The role is
// stopped hard at the end of the test unless the test has stopped it before.
func stopOnce(t *testing.T, stop func(context.Context) error) func(time.Duration) error {
	var once sync.Once
	var err error
	f := func(grace time.Duration) error {
		once.Do(func() {
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			err = stop(ctx)
		})
		return err
	}
	t.Cleanup(func() { _ = f(0) })
	return f
}

func (f *fleet) engine(cfg standin.Config, opt standin.Options) string {
	_, addr := f.standin(cfg, opt)
	return addr
}

func (f *fleet) standin(cfg standin.Config, opt standin.Options) (*standin.Server, string) {
	cfg.Model = testModel
	if opt.Speed == 0 {
		opt.Speed = 20
	}
	s := standin.NewServer(cfg, opt)
	ln := listenLoopback(f.c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	f.t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s, ln.Addr().String()
}

func (f *fleet) agent(name, target string, seeds ...string) (*Agent, func(time.Duration) error) {
	log := zerolog.Nop()
	a := NewAgent(AgentSettings{
		Instance: api.InstanceID(name), Zone: "lhr-a", Key: []byte(fleetKey), Seeds: seeds,
		Target: api.TargetID(name), TargetAddr: target,
		Queue:  1000,
		Models: []api.ModelID{testModel}, Services: []api.ServiceID{"bookings"},
	}, AgentPorts{Metrics: metrics.New(&log), Log: &log})
	a.Start()
	return a, stopOnce(f.t, a.Stop)
}

// until waits until a condition holds and fails the test after testTimeout.
func (f *fleet) until(what string, cond func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) untilTargets(e *testEntry, n int) {
	f.t.Helper()
	f.until(fmt.Sprintf("%d targets at %s", n, e.url), func() bool { return e.Targets() == n })
}

// streamed is a streamed response as its caller sees it.
type streamed struct {
	resp   *http.Response
	lines  *bufio.Scanner
	text   strings.Builder
	tokens int
	lastID string
	err    *callerError
	done   bool
}

type callerError struct {
	Message string      `json:"message"`
	Code    api.Reason  `json:"code"`
	Outcome api.Outcome `json:"outcome"`
}

type header struct{ name, value string }

// open requests a streamed generation of n tokens.
func (f *fleet) open(url, key, prompt string, n int, headers ...header) *streamed {
	f.t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": testModel, "stream": true, "x_output_tokens": n,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	f.c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+key)
	for _, h := range headers {
		req.Header.Set(h.name, h.value)
	}
	resp, err := testClient.Do(req)
	f.c.Assert(err, qt.IsNil)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	s := &streamed{resp: resp, lines: bufio.NewScanner(resp.Body)}
	if resp.StatusCode != http.StatusOK {
		b, err := io.ReadAll(resp.Body)
		f.c.Assert(err, qt.IsNil)
		s.parseData(string(b))
	}
	return s
}

var testClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}

// read reads events until n tokens have arrived in total or the stream ends.
func (s *streamed) read(n int) {
	for s.tokens < n && !s.done && s.err == nil && s.lines.Scan() {
		line := s.lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.lastID = id
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.parseData(data)
		}
	}
}

func (s *streamed) readAll() { s.read(1 << 30) }

func (s *streamed) parseData(data string) {
	if data == "[DONE]" {
		s.done = true
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *callerError `json:"error"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return
	}
	s.err = chunk.Error
	for _, c := range chunk.Choices {
		if c.Delta.Content != "" {
			s.tokens++
			s.text.WriteString(c.Delta.Content)
		}
	}
}

// expectedAnswer returns the text that a stand-in engine with the given seed generates
// for a chat prompt. Engines with different seeds generate different texts, so a test
// detects a response that is spliced together from two generations.
func expectedAnswer(seed uint64, prompt string, n int) string {
	return standin.Config{Seed: seed}.Answer(prompt+"\n", n)
}

// stallingProxy is a TCP proxy that can be stalled, so that bytes wait as on a stalled
// link, and whose connections can be cut.
type stallingProxy struct {
	ln      net.Listener
	to      string
	mu      sync.Mutex
	stalled bool
	open    chan struct{}
	conns   []net.Conn
}

func (f *fleet) stallingProxy(to string) *stallingProxy {
	v := &stallingProxy{ln: listenLoopback(f.c), to: to, open: make(chan struct{})}
	close(v.open)
	go v.accept()
	f.t.Cleanup(v.close)
	return v
}

func (v *stallingProxy) addr() string { return v.ln.Addr().String() }

func (v *stallingProxy) accept() {
	for {
		in, err := v.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", v.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		v.mu.Lock()
		v.conns = append(v.conns, in, out)
		v.mu.Unlock()
		go v.copy(out, in)
		go v.copy(in, out)
	}
}

func (v *stallingProxy) copy(to, from net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			v.mu.Lock()
			open := v.open
			v.mu.Unlock()
			<-open
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// stall holds all bytes back until resume is called.
func (v *stallingProxy) stall() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stalled = true
	v.open = make(chan struct{})
}

func (v *stallingProxy) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stalled {
		v.stalled = false
		close(v.open)
	}
}

// cut closes every connection. Connections that are opened later are relayed.
func (v *stallingProxy) cut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.conns {
		_ = c.Close()
	}
	v.conns = nil
}

func (v *stallingProxy) close() {
	_ = v.ln.Close()
	v.resume()
	v.cut()
}
