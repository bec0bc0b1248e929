package callers

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

type confirmation bool

func (c confirmation) Await(context.Context, time.Time) bool { return bool(c) }

// TestUnknownNamesNeedTheNewestConfiguration guards against an entry that refuses a key, a model or a service
// because of a configuration that nothing confirms to be the newest.
func TestUnknownNamesNeedTheNewestConfiguration(t *testing.T) {
	requests := map[string]struct {
		method, path, body, key string
		refused                 int
		reason                  api.Reason
	}{
		"key":     {"GET", "/v1/models", "", "unknown", http.StatusUnauthorized, api.ReasonUnauthenticated},
		"model":   {"POST", pathCompletions, `{"model":"other","prompt":"x"}`, deskKey, http.StatusNotFound, api.ReasonUnknownModel},
		"service": {"GET", "/other", "", deskKey, http.StatusNotFound, api.ReasonUnknownService},
	}
	for name, r := range requests {
		for _, confirmed := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := newTestServer(t, Config{}, nil, func(*fakeAgent, *wire.Offer) {})
				f.server.SetNewest(confirmation(confirmed))
				c := f.dial()
				c.key = r.key
				resp := c.request(r.method, r.path, r.body, "")
				if confirmed {
					f.c.Assert(resp.StatusCode, qt.Equals, r.refused)
					f.c.Assert(resp.Header.Get(HeaderReason), qt.Equals, string(r.reason))
					return
				}
				f.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				f.c.Assert(resp.Header.Get(HeaderReason), qt.Equals, string(api.ReasonConfigUnconfirmed))
				f.c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "1")
			})
		}
	}
}
