// Package ops serves the operations port of a process: metrics, liveness, readiness
// and profiles over HTTP.
package ops

import (
	"context"
	"time"

	"almondseam.dev/node/inbound"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/pprof"
	"github.com/prometheus/client_golang/prometheus"
)

// Ready reports whether the process can serve requests and, if it cannot, what is
// missing. It is called from several goroutines.
type Ready func() (ok bool, missing string)

// Server serves the operations port.
type Server struct {
	app *fiber.App
	ln  *inbound.Listener
}

// New returns a server for the metrics in reg and the readiness that ready reports. It
// answers requests on ln once Serve is called.
func New(reg *prometheus.Registry, ready Ready, ln *inbound.Listener) *Server {
	app := fiber.New(fiber.Config{AppName: "almondseam-ops"})
	metrics := &exposition{gatherer: reg, clock: time.Now}
	app.Get("/metrics", metrics.serve)
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		ok, missing := ready()
		if !ok {
			return c.Status(fiber.StatusServiceUnavailable).SendString(missing + "\n")
		}
		return c.SendString("ready\n")
	})
	app.Use(pprof.New())
	return &Server{app: app, ln: ln}
}

// Serve answers requests until Close is called.
func (s *Server) Serve() error {
	return s.ln.ServeFiber(s.app, inbound.Options{OneAtATime: true})
}

// Close stops the server and closes its listener. It may be called before Serve.
func (s *Server) Close(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	_ = s.ln.Close()
	return err
}
