// Package callers is the callers' side of an entry: OpenAI-compatible
// generation over HTTP and plain calls to services.
package callers

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/entry"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// Headers that callers and this system exchange.
const (
	HeaderRequestID  = "Almondseam-Request-Id"
	HeaderOutcome    = "Almondseam-Outcome"
	HeaderReason     = "Almondseam-Reason"
	HeaderHold       = "Almondseam-Hold"
	HeaderPatience   = "Almondseam-Patience"
	HeaderKind       = "X-Almondseam-Kind"
	HeaderIdempotent = "Idempotency-Key"
	headerXRequestID = "X-Request-Id"
	headerLastEvent  = "Last-Event-ID"
)

// Dispatcher is the entry as this package uses it. Methods are called from
// several goroutines.
type Dispatcher interface {
	Start(ctx context.Context, r *entry.Request) *entry.Answer
	Resume(ctx context.Context, r *entry.Request, from entry.ResumePoint) (*entry.Answer, error)
}

// Limiter grants a customer a request. It is called from several goroutines. It
// waits for no other process, but for a customer's first request here, shortly.
type Limiter interface {
	// Acquire charges an estimate of tokens. A refusal has Outcome not_run and
	// says when to come back. settle is called once with the tokens used, zero
	// when the request did not run.
	Acquire(c *fleetconfig.Customer, tokens int, now time.Time) (settle func(used int), err *api.Error)
}

// Observer hears of each request that a caller is told has ended short of its
// whole answer, once, wherever it is told. Called from several goroutines.
type Observer interface {
	Refused(c api.CustomerID, reason api.Reason)
}

type noObserver struct{}

func (noObserver) Refused(api.CustomerID, api.Reason) {}

// Config of the callers' interface. Zero values take the defaults below.
type Config struct {
	// MaxBody and MaxHeader bound what is read before the configuration in
	// force is looked at, which may be stricter. MaxConnections holds while
	// none is in force.
	MaxBody        int
	MaxHeader      int
	MaxConnections int
	// ReadTimeout bounds reading one request, so that a slow writer holds a
	// connection but not for ever; WriteTimeout one write of a slow reader.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	Zone         api.Zone
	Clock        func() time.Time
}

// Defaults of Config.
const (
	DefaultMaxBody        = 2 << 20
	DefaultMaxHeader      = 16 << 10
	DefaultMaxConnections = 8192
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 60 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
)

// hardConnections is the HTTP library's own bound, beyond the largest that the
// configuration may set: what it refuses by itself is not counted.
const hardConnections = 1_000_000 + spareConnections

// Server serves callers. Make it with New.
type Server struct {
	cfg      Config
	app      *fiber.App
	live     *fleetconfig.Live
	entry    Dispatcher
	limiter  Limiter
	claimer  Claimer
	obs      Observer
	draining atomic.Bool
	work     conc.WaitGroup // calls that run on without their caller
	base     context.Context
	abort    context.CancelFunc
}

// Ports couples the server to the rest of an entry. Claimer and Observer may
// be nil: without a Claimer calls that must not be repeated are refused.
type Ports struct {
	Live     *fleetconfig.Live
	Entry    Dispatcher
	Limiter  Limiter
	Claimer  Claimer
	Observer Observer
}

// New makes a server that is not yet serving.
func New(cfg Config, p Ports) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, live: p.Live, entry: p.Entry, limiter: p.Limiter, claimer: p.Claimer, obs: p.Observer}
	if s.obs == nil {
		s.obs = noObserver{}
	}
	s.base, s.abort = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		AppName:           "almondseam",
		BodyLimit:         cfg.MaxBody,
		ReadBufferSize:    cfg.MaxHeader,
		Concurrency:       hardConnections,
		ReadTimeout:       cfg.ReadTimeout,
		WriteTimeout:      cfg.WriteTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		ErrorHandler:      s.onError,
		StrictRouting:     false,
		UnescapePath:      false,
		CaseSensitive:     true,
		ProxyHeader:       "",
		StreamRequestBody: false,
	})
	s.routes()
	return s
}

func (c Config) withDefaults() Config {
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxHeader = cmp.Or(c.MaxHeader, DefaultMaxHeader)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return c
}

func (s *Server) routes() {
	s.app.Get("/v1/models", s.models)
	s.app.Get("/v1/models/:id", s.model)
	s.app.Post(pathChat, s.generate)
	s.app.Post(pathCompletions, s.generate)
	// All, not Use: after an error in reading a request, such as a body beyond
	// its bound or one that was never sent whole, the HTTP library still runs
	// what is in use. The call would be made without its body, while its caller
	// is told that it did not run.
	s.app.All("/*", s.call)
}

// Serve answers on ln until Drain.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(newConnections(ln, s.live, s.obs, int64(s.cfg.MaxConnections)), fiber.ListenConfig{DisableStartupMessage: true})
}

// Drain stops accepting connections, closes idle ones and waits until every
// response has been written or ctx is done. Requests that still arrive on open
// connections are refused as not run. What runs on in the background, such as
// settlements that find no majority, is ended when ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	err := s.app.ShutdownWithContext(ctx)
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	s.work.Wait()
	return err
}

// Abort ends all requests in progress: the hard stop.
func (s *Server) Abort() { s.abort() }
