package standin

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options are the settings of a Server that do not concern its Engine.
type Options struct {
	// Speed is the factor by which steps run faster than simulated. Default 1.
	Speed float64
	// Faults are the faults to inject; the zero value injects none.
	Faults Faults
}

// Faults selects the faults that a Server injects, for tests. Generation requests
// are counted from 1; requests that are malformed or name a model that is not
// loaded are not counted.
type Faults struct {
	// DieAtRequest and DieAfterTokens make the server close all connections for
	// good, and answer nothing more, when request number DieAtRequest has sent
	// DieAfterTokens tokens.
	DieAtRequest   int
	DieAfterTokens int
	// StallAtRequest and StallAfterTokens make request number StallAtRequest send
	// nothing more after StallAfterTokens tokens. Its connection stays open until
	// the client disconnects or the server closes.
	StallAtRequest   int
	StallAfterTokens int
	// CutAtRequest makes the server close the connection of request number
	// CutAtRequest after it has read and submitted the request, before it sends
	// any byte of the response.
	CutAtRequest int
}

// Server serves an Engine over HTTP in wall-clock time. It uses net/http because
// net/http cancels the context of a request as soon as the client disconnects.
type Server struct {
	opt  Options
	cfg  Config
	http *http.Server

	mu      sync.Mutex
	engine  *Engine
	streams map[string]chan int
	orders  orderState
	wake    chan struct{}

	requests int
	stop     context.CancelFunc
	done     <-chan struct{}
	dead     bool
}

// NewServer returns a server; Serve starts it.
func NewServer(cfg Config, opt Options) *Server {
	if opt.Speed <= 0 {
		opt.Speed = 1
	}
	s := &Server{
		opt:     opt,
		engine:  NewEngine(cfg),
		streams: map[string]chan int{},
		wake:    make(chan struct{}, 1),
	}
	s.cfg = s.engine.Config()
	s.orders = newOrderState(s.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done = ctx.Done()
	s.http = &http.Server{Handler: s.handler()}
	return s
}

// Serve runs the engine and handles requests on ln until Close is called or the
// fault of DieAtRequest occurs. It returns nil in both cases.
func (s *Server) Serve(ln net.Listener) error {
	var wg sync.WaitGroup
	wg.Go(s.loop)
	err := s.http.Serve(ln)
	s.stop()
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes all connections and stops the engine.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// Requests returns the number of generation requests counted so far, as described
// at Faults.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// loop runs the steps of the engine, waits for the duration of each step and
// delivers its tokens.
func (s *Server) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.mu.Lock()
		res := s.engine.Step(time.Now())
		s.mu.Unlock()
		if res.Took == 0 {
			if !s.waitForWork() {
				return
			}
			continue
		}
		timer.Reset(time.Duration(float64(res.Took) / s.opt.Speed))
		select {
		case <-s.done:
			return
		case <-timer.C:
		}
		s.deliver(res)
	}
}

// waitForWork blocks until a sequence is submitted. It returns false when the server
// closes.
func (s *Server) waitForWork() bool {
	select {
	case <-s.done:
		return false
	case <-s.wake:
		return true
	}
}

// deliver sends the tokens of a step to their request handlers. The send never
// blocks, because the channel of a request has room for its whole output.
func (s *Server) deliver(res *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range res.Tokens {
		ch, ok := s.streams[t.ID]
		if !ok {
			continue
		}
		ch <- t.Index
		if t.Last {
			close(ch)
			delete(s.streams, t.ID)
		}
	}
	for _, id := range res.Failed {
		if ch, ok := s.streams[id]; ok {
			close(ch)
			delete(s.streams, id)
		}
	}
}

// submit adds a sequence to the engine and returns the channel of its token indexes.
// The channel is closed after the last token, or early if the engine fails the
// sequence.
func (s *Server) submit(q Seq) (<-chan int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.engine.Submit(q); err != nil {
		return nil, err
	}
	ch := make(chan int, max(q.Output, 1))
	s.streams[q.ID] = ch
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return ch, nil
}

// cancel removes a sequence when its request handler returns. It has no effect on a
// sequence that is complete.
func (s *Server) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(id, time.Now())
	delete(s.streams, id)
}

// die closes all connections and stops the engine for good.
func (s *Server) die() {
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	s.stop()
	// Close runs in its own goroutine so that the handler that calls die does not
	// wait for it.
	go s.http.Close()
}

// Outputs returns the output length of a request without x_output_tokens. The length
// is lognormal and determined by Seed and the prompt.
func (c Config) Outputs(prompt string) int {
	c = c.withDefaults()
	rng := rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(prompt)))
	n := c.OutputMedian * math.Exp(c.OutputSigma*rng.NormFloat64())
	return max(1, int(n))
}

// Word returns the text of output token i for prompt, such as "w0-1a2b ". The
// hexadecimal part is determined by Seed and the prompt, so that a test can detect
// a token that belongs to another request.
func (c Config) Word(prompt string, i int) string {
	tag := uint16(xxhash.Sum64String(prompt) ^ c.Seed)
	return "w" + strconv.Itoa(i) + "-" + strconv.FormatUint(uint64(tag), 16) + " "
}

// Answer returns the text of the first n output tokens for prompt.
func (c Config) Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(c.Word(prompt, i))
	}
	return b.String()
}

// PromptTokens returns the length of prompt in tokens: the number of its words, at
// least 1.
func PromptTokens(prompt string) int { return max(1, len(strings.Fields(prompt))) }
