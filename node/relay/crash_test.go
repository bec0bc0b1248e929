package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// TestOnlyEndedProcessesCountAsCrashed guards against requests being blamed for responses that
// were lost for another reason than the end of the target's process.
func TestOnlyEndedProcessesCountAsCrashed(t *testing.T) {
	for name, test := range map[string]struct {
		drains, listens, succeeded bool
		crashed                    bool
	}{
		"process ended":               {crashed: true},
		"connection was reset":        {listens: true},
		"another process took over":   {listens: true, succeeded: true, crashed: true},
		"target drains and has ended": {drains: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer ln.Close()
			if !test.listens {
				c.Assert(ln.Close(), qt.IsNil)
			}
			targets := NewTargets()
			targets.Update([]directory.Record{{Target: "t", Service: service, Address: ln.Addr().String(), Born: 1, State: directory.StateReady}})
			target := targets.Of(service)[0]
			if test.drains {
				target.drain()
			}
			if test.succeeded {
				targets.Update([]directory.Record{{Target: "u", Service: service, Address: ln.Addr().String(), Born: 2, State: directory.StateReady}})
			}
			crashes := make(chan []LostRequest, 1)
			m := newCrashMonitor(upstream.NewPool(nopObserver{}), func(_ *Target, lost []LostRequest) { crashes <- lost })
			req := requestOf("/x", "body")
			m.responseLost(req, target, time.Now().Add(-time.Second))
			m.work.Wait()
			m.stop()
			c.Assert(len(crashes) == 1, qt.Equals, test.crashed)
			if test.crashed {
				lost := <-crashes
				c.Assert(lost[0].Request, qt.Equals, req)
				c.Assert(lost[0].InProgress >= time.Second, qt.IsTrue)
			}
		})
	}
}

// requestOf returns a request as it is after admission.
func requestOf(uri, body string) *Request {
	hr := httptest.NewRequest(http.MethodPost, uri, strings.NewReader(body))
	return &Request{Ask: Ask{Request: api.RequestID("r")}, received: received{httpRequest: hr, uri: uri, body: []byte(body)}}
}
