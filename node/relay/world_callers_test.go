package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"almondseam.dev/core/api"
)

// callerWriter is a caller's side of a response.
type callerWriter struct {
	*httptest.ResponseRecorder
	w    *world
	boot string
	once sync.Once
}

// WriteHeader implements http.ResponseWriter.
func (c *callerWriter) WriteHeader(status int) {
	c.once.Do(func() { c.w.forwarded(c.boot, c.Header()) })
	c.ResponseRecorder.WriteHeader(status)
}

// ask makes one caller's request and returns the response.
func (e *simEntry) ask(ctx context.Context, id int64, path string) *httptest.ResponseRecorder {
	return e.askFor(ctx, id, path, "a prompt")
}

// askFor is ask with a body and header fields, each a name and a value.
func (e *simEntry) askFor(ctx context.Context, id int64, path, body string, header ...string) *httptest.ResponseRecorder {
	b := e.current()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("Id", strconv.FormatInt(id, 10))
	r.Header.Set("Most", "100")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	e.w.mu.Lock()
	e.w.sent[api.RequestID(r.Header.Get("Id"))] = time.Now()
	e.w.mu.Unlock()
	c := &callerWriter{ResponseRecorder: httptest.NewRecorder(), w: e.w, boot: b.name}
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		b.relay.ServeHTTP(c, r)
	}()
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if c.Code == http.StatusServiceUnavailable && c.Header().Get("Retry-After") == "" {
		e.w.t.Errorf("refused without a Retry-After: %s", c.Body)
	}
	switch {
	case ctx.Err() != nil && c.Body.String() == string(api.ReasonCancelled)+"\n":
		e.w.left++
	case c.Code == http.StatusOK:
		e.w.served++
	case c.Code == http.StatusServiceUnavailable:
		e.w.refused++
	default:
		e.w.otherwise++
	}
	return c.ResponseRecorder
}
