package inbound

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// Options is how a listener is served with fasthttp.
type Options struct {
	// MaxBody is the largest body in bytes; zero allows none.
	MaxBody int
	// OneAtATime is set if requests are costly: each begins only once the processor has turned around.
	OneAtATime bool
	// Refuse writes the response to a request that was refused unread. If it is nil, the response is the reason as text.
	Refuse func(*fasthttp.RequestCtx, Refusal)
}

// Refusal is why a request was refused before it was looked at. The request has not run.
type Refusal struct {
	Status int
	Reason api.Reason
	// RetryAfter is when the client may come back, zero if the same request would be refused again.
	RetryAfter time.Duration
	Err        error
}

const (
	// readTimeout bounds the time for reading a request, writeTimeout that for writing a response, and idleTimeout
	// that between two requests, unless the server has its own.
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	// retryBodyMemory is when there is room for another body again: those that arrive slowly are given up.
	retryBodyMemory = time.Second
	// libraryBodyLimit is the size above which fasthttp leaves a body to its handler, or refuses it unread.
	libraryBodyLimit = 1
)

// ServeFast serves the listener with s until s is shut down, like fasthttp.Server.Serve.
func (l *Listener) ServeFast(s *fasthttp.Server, o Options) error {
	l.configure(s, o)
	return s.Serve(l)
}

// ServeFiber serves the listener with app until app is shut down.
func (l *Listener) ServeFiber(app *fiber.App, o Options) error {
	return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true, BeforeServeFunc: func(app *fiber.App) error {
		l.configure(app.Server(), o)
		return nil
	}})
}

// configure makes s read no body that has no memory, and keep nothing for idle clients.
func (l *Listener) configure(s *fasthttp.Server, o Options) {
	s.StreamRequestBody = o.MaxBody > 0
	s.MaxRequestBodySize = libraryBodyLimit
	s.DisablePreParseMultipartForm = true
	s.ReduceMemoryUsage = true
	s.Logger = faultLog{l}
	if s.ErrorHandler == nil {
		s.ErrorHandler = handleError
	}
	s.ReadTimeout = cmp.Or(s.ReadTimeout, readTimeout)
	s.WriteTimeout = cmp.Or(s.WriteTimeout, writeTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, idleTimeout)
	s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		switch state {
		case fasthttp.StateIdle:
			c.(*Conn).answered()
		case fasthttp.StateHijacked:
			c.(*Conn).takeOver()
		default:
		}
	}
	s.Handler = l.handler(s.Handler, o)
}

// faultLog receives what the library logs, once for each connection that it ends for a fault of the client.
type faultLog struct{ listener *Listener }

// Printf implements fasthttp.Logger.
func (l faultLog) Printf(format string, args ...any) {
	l.listener.process.obs.ConnectionFault(l.listener.name, fmt.Errorf(format, args...))
}

// handleError responds to a request that the library could not read, or refused by its head.
func handleError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(fasthttp.StatusMessage(status), status)
}

// handler reads the body of each request before next handles it.
func (l *Listener) handler(next fasthttp.RequestHandler, o Options) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c := ctx.Conn().(*Conn)
		if ctx.Request.IsBodyStream() {
			if refusal := l.readBody(ctx, c, o.MaxBody); refusal != nil {
				l.refuse(ctx, *refusal, o)
				return
			}
		}
		c.received()
		if o.OneAtATime {
			l.process.lane.wait(false)
		}
		next(ctx)
	}
}

// readBody replaces the stream of a body by the whole body. It returns nil unless the request is to be refused.
func (l *Listener) readBody(ctx *fasthttp.RequestCtx, c *Conn, most int) *Refusal {
	length := int64(ctx.Request.Header.ContentLength())
	if length > int64(most) {
		return &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: api.ReasonTooLarge, Err: fasthttp.ErrBodyTooLarge}
	}
	abort := func() { _ = c.SetReadDeadline(time.Now()) } // fails only once the connection is closed
	memory := l.process.memory
	body, err := memory.ReadBody(io.LimitReader(ctx.Request.BodyStream(), int64(most)+1), max(length, -1), abort)
	switch {
	case errors.Is(err, ErrBodyMemory):
		return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: api.ReasonQueueFull, RetryAfter: retryBodyMemory, Err: err}
	case err != nil:
		return &Refusal{Status: fasthttp.StatusRequestTimeout, Reason: api.ReasonSlowCaller, Err: err}
	case len(body) > most:
		memory.Release(cap(body))
		return &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: api.ReasonTooLarge, Err: fasthttp.ErrBodyTooLarge}
	case length >= 0 && int64(len(body)) < length:
		memory.Release(cap(body))
		return &Refusal{Status: fasthttp.StatusBadRequest, Reason: api.ReasonBadRequest, Err: io.ErrUnexpectedEOF}
	}
	c.hold(cap(body))
	ctx.Request.SetBodyRaw(body)
	return nil
}

// refuse answers a request whose body has not been read to its end, so that the connection cannot be used again.
func (l *Listener) refuse(ctx *fasthttp.RequestCtx, r Refusal, o Options) {
	l.process.obs.InboundRefused(l.name, r.Reason, l.process.memory.Reserved())
	ctx.SetConnectionClose()
	if o.Refuse != nil {
		o.Refuse(ctx, r)
		return
	}
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	ctx.SetStatusCode(r.Status)
	ctx.SetBodyString(string(r.Reason) + "\n")
}
