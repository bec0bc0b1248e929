// Package ops is the operations port of a process: metrics, liveness, readiness
// and profiles over HTTP.
package ops

import (
	"context"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/gofiber/fiber/v3/middleware/pprof"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Ready tells whether the process can serve, with what is missing if not. It is
// called from several goroutines.
type Ready func() (ok bool, missing string)

// Server serves the operations port.
type Server struct {
	app *fiber.App
	ln  net.Listener
}

// New makes a server over a registry that will answer on ln.
func New(reg *prometheus.Registry, ready Ready, ln net.Listener) *Server {
	app := fiber.New(fiber.Config{AppName: "almondseam-ops"})
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})))
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

// Serve answers until Close.
func (s *Server) Serve() error {
	return s.app.Listener(s.ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Close stops the server, also one whose Serve has yet to begin.
func (s *Server) Close(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	_ = s.ln.Close()
	return err
}
