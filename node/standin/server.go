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

// Options are the parts of a Server that concern wall time and faults.
type Options struct {
	// Speed divides every step's time; zero means 1.
	Speed float64
	// Faults to bring about; the zero value brings none.
	Faults Faults
}

// Faults are switches for tests. Generation requests are counted from 1.
type Faults struct {
	// DieAtRequest and DieAfterTokens: when the DieAtRequest-th request has
	// sent DieAfterTokens tokens, every connection is cut and the server
	// answers nothing more.
	DieAtRequest   int
	DieAfterTokens int
	// StallAtRequest and StallAfterTokens: the StallAtRequest-th request
	// sends nothing after StallAfterTokens tokens, and holds its connection
	// until the caller leaves or the server closes.
	StallAtRequest   int
	StallAfterTokens int
	// CutAtRequest: the connection of the CutAtRequest-th request is closed
	// after the request was read and submitted, before any byte is answered.
	CutAtRequest int
}

// Server serves an Engine over HTTP in wall time. It uses net/http because a
// handler there learns at once that its caller has gone.
type Server struct {
	opt  Options
	cfg  Config
	http *http.Server

	mu      sync.Mutex
	engine  *Engine
	streams map[string]chan int
	orders  orderBook
	wake    chan struct{}

	requests int
	stop     context.CancelFunc
	done     <-chan struct{}
	dead     bool
}

// NewServer returns a server that is not yet serving.
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
	s.orders = newOrderBook(s.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done = ctx.Done()
	s.http = &http.Server{Handler: s.handler()}
	return s
}

// Serve runs the engine and answers on ln until Close. It returns nil after Close.
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

// Close cuts every connection and stops the engine.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// Requests counts the generation requests read so far.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// loop steps the engine, waits for the step's time and hands the tokens out.
func (s *Server) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.mu.Lock()
		res := s.engine.Step(time.Now())
		s.mu.Unlock()
		if res.Took == 0 {
			if !s.waitWork() {
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

// waitWork blocks until a request is submitted; it is false when closing.
func (s *Server) waitWork() bool {
	select {
	case <-s.done:
		return false
	case <-s.wake:
		return true
	}
}

// deliver hands a step's tokens to their handlers. A stream's channel holds its
// whole output, so it never blocks.
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

// submit queues a sequence and returns its token indexes; the channel is closed
// at the end, early when the engine failed it.
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

// cancel withdraws a sequence whose caller has gone.
func (s *Server) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(id, time.Now())
	delete(s.streams, id)
}

// die cuts every connection for good.
func (s *Server) die() {
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	s.stop()
	// The handler that calls die must not wait for itself.
	go s.http.Close()
}

// Outputs returns the output length of a request that carries no
// x_output_tokens: lognormal, fixed by the seed and the prompt.
func (c Config) Outputs(prompt string) int {
	c = c.withDefaults()
	rng := rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(prompt)))
	n := c.OutputMedian * math.Exp(c.OutputSigma*rng.NormFloat64())
	return max(1, int(n))
}

// Word is the text of token i of the answer to prompt: "w0-1a2b ", where the
// hexadecimal part is fixed by the seed and the prompt, so that a test can tell
// a token of another answer from its own.
func (c Config) Word(prompt string, i int) string {
	tag := uint16(xxhash.Sum64String(prompt) ^ c.Seed)
	return "w" + strconv.Itoa(i) + "-" + strconv.FormatUint(uint64(tag), 16) + " "
}

// Answer is the whole text of n tokens for prompt.
func (c Config) Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(c.Word(prompt, i))
	}
	return b.String()
}

// PromptTokens counts a prompt's tokens: its words, at least one.
func PromptTokens(prompt string) int { return max(1, len(strings.Fields(prompt))) }
