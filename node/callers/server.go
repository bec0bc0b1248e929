// Package callers implements the HTTP interface through which an entry serves callers:
// OpenAI-compatible generation, and plain calls, which are passed on to a service.
//
// An entry is the process that accepts callers' requests, and an agent is the process
// beside a target, which runs the requests there.
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
	"almondseam.dev/node/inbound"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// Headers that callers and this system exchange.
const (
	HeaderRequestID      = "Almondseam-Request-Id"
	HeaderOutcome        = "Almondseam-Outcome"
	HeaderReason         = "Almondseam-Reason"
	HeaderHold           = "Almondseam-Hold"
	HeaderPatience       = "Almondseam-Patience"
	HeaderKind           = "X-Almondseam-Kind"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerXRequestID     = "X-Request-Id"
	headerLastEvent      = "Last-Event-ID"
)

// Dispatcher starts and resumes requests; entry.Entry implements it. Its methods are
// called from several goroutines.
type Dispatcher interface {
	Start(ctx context.Context, r *entry.Request) *entry.Answer
	Resume(ctx context.Context, r *entry.Request, from entry.ResumePoint) (*entry.Answer, error)
}

// Limiter enforces the limits of customers. It is called from several goroutines. It
// does not wait for other processes, except briefly for a customer's first request at
// this entry.
type Limiter interface {
	// Acquire admits a request and charges an estimated number of tokens, or returns a
	// refusal with outcome not_run and a RetryAfter. settle must be called once with
	// the number of tokens used, which is zero if the request did not run.
	Acquire(c *fleetconfig.Customer, tokens int, now time.Time) (settle func(used int), err *api.Error)
}

// Observer is notified of each request whose caller is told that it ended without a
// complete answer, once per request, and of each connection that is closed without a
// response because there are too many. Its method is called from several goroutines.
type Observer interface {
	Refused(c api.CustomerID, reason api.Reason)
}

type noObserver struct{}

func (noObserver) Refused(api.CustomerID, api.Reason) {}

// Config holds the settings of the callers' interface. Zero values select the defaults
// below.
type Config struct {
	// MaxBody and MaxHeader bound what the HTTP library reads of a request. The
	// configuration in force may set a lower limit on the body. MaxConnections
	// applies until a configuration is in force.
	MaxBody        int
	MaxHeader      int
	MaxConnections int
	// ReadTimeout bounds the time to read one request, so that a slow caller can't
	// occupy a connection forever. WriteTimeout bounds one write to a slow reader.
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

// maxServerConnections is the HTTP library's own limit. It is above the largest limit
// that the configuration may set, because connections that the library itself refuses
// are not counted.
const maxServerConnections = 1_000_000 + spareConnections

// Server serves callers. Use New to create one.
type Server struct {
	cfg        Config
	app        *fiber.App
	live       *fleetconfig.Live
	newest     Newest // nil if the configuration in force counts as the newest
	entry      Dispatcher
	limiter    Limiter
	claimer    Claimer
	obs        Observer
	draining   atomic.Bool
	background conc.WaitGroup // calls whose caller has disconnected, and reports to the control group
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// Ports holds what the server needs from the rest of the entry. Claimer and Observer
// may be nil; without a Claimer, calls with an Idempotency-Key that must not be
// repeated are refused.
type Ports struct {
	Live     *fleetconfig.Live
	Entry    Dispatcher
	Limiter  Limiter
	Claimer  Claimer
	Observer Observer
}

// New returns a server that does not accept connections until Serve is called.
func New(cfg Config, p Ports) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, live: p.Live, entry: p.Entry, limiter: p.Limiter, claimer: p.Claimer, obs: p.Observer}
	if s.obs == nil {
		s.obs = noObserver{}
	}
	s.baseCtx, s.cancelBase = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		AppName:           "almondseam",
		BodyLimit:         cfg.MaxBody,
		ReadBufferSize:    cfg.MaxHeader,
		Concurrency:       maxServerConnections,
		ReadTimeout:       cfg.ReadTimeout,
		WriteTimeout:      cfg.WriteTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		ErrorHandler:      s.handleError,
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
	// This must be All, not Use. After an error in reading a request, such as a
	// body that is too large or was not sent completely, the HTTP library still
	// runs the handlers that were registered with Use. The call would then be
	// made without its body, while its caller is told that it did not run.
	s.app.All("/*", s.call)
}

// callerShare is the sixteenths of a process's connections that callers may occupy.
const callerShare = 8

// Serve accepts connections on ln and serves requests until Drain is called. p bounds what callers occupy; nil sets no
// bounds.
func (s *Server) Serve(p *inbound.Process, ln net.Listener) error {
	limited := newLimitedListener(ln, s.live, s.obs, int64(s.cfg.MaxConnections))
	return p.Listen(limited, "callers", callerShare).ServeFiber(s.app, inbound.Options{MaxBody: s.cfg.MaxBody, Refuse: s.refuseInbound})
}

// Drain stops accepting connections, closes idle ones and waits until every response
// has been written or ctx is done. Requests that still arrive on open connections are
// refused as not run. When ctx is done, background work is aborted, such as a report to
// a control group that has no majority.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	err := s.app.ShutdownWithContext(ctx)
	stop := context.AfterFunc(ctx, s.cancelBase)
	defer stop()
	s.background.Wait()
	return err
}

// Abort immediately ends all requests in progress and the background work.
func (s *Server) Abort() { s.cancelBase() }
