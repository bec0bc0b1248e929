package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// refuseForAMinute makes a request refused.
func refuseForAMinute(q *crash.Quarantine, id *crash.Identity) {
	r := quarantine.Record{Fingerprint: id.Fingerprint(), Customer: id.Customer, BodyBytes: len(id.Body), Until: 60_000}
	q.Update(quarantine.List{Index: 1, Records: []quarantine.Record{r}})
}

// noDialer fails the test when a connection is opened.
type noDialer struct{ t *testing.T }

// DialContext implements upstream.Dialer.
func (d noDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.t.Error("a connection was opened")
	return nil, net.ErrClosed
}

// TestQuarantinedRequestIsNotSent guards against a request that was chosen a target before it was
// quarantined and is sent afterwards, or for which an engine keeps memory.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	q := crash.NewQuarantine(nil, nil)
	targets := NewTargets()
	targets.Update([]directory.Record{{Target: "t", Service: service, Address: "10.0.0.1:1", Born: 1, State: directory.StateReady}})
	r := New(Settings{}, Ports{Targets: targets, Dialect: plainDialect{}, Observer: nopObserver{}, Quarantine: q, Pool: upstream.NewPoolWithDialer(nopObserver{}, noDialer{t})})
	req := requestOf("/x", "bad")
	req.identity = &crash.Identity{Method: http.MethodPost, URI: "/x", Body: []byte("bad")}
	refuseForAMinute(q, req.identity)
	for name, send := range map[string]struct {
		use  targetstate.Use
		call bool
	}{
		"request":                   {targetstate.UseNew, false},
		"request that goes on":      {targetstate.UseHeld, false},
		"reservation for a request": {targetstate.UseNew, true},
	} {
		_, _, err := r.exchange(context.Background(), req, targets.Of(service)[0], send.use, sendStart{call: send.call}, &upstream.Request{})
		c.Check(errors.Is(err, crash.ErrQuarantined), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// TestQuarantinedRequestIsRefusedAtOnce guards against a quarantined request that waits for targets
// before it is refused.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 6, 0, 1)
		b := w.entries[0].current()
		refuseForAMinute(b.quarantine, &crash.Identity{Host: "h", Method: http.MethodPost, URI: "/pair/bad", Body: []byte("bad")})
		hr := httptest.NewRequest(http.MethodPost, "/pair/bad", strings.NewReader("bad"))
		hr.Host = "h"
		answer, began := httptest.NewRecorder(), time.Now()
		b.relay.ServeHTTP(answer, hr)
		c.Assert(answer.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(answer.Header().Get("Retry-After"), qt.Equals, "60.00")
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		w.stop()
	})
}
