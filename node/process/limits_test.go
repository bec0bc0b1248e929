package process

import (
	"net"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Two entries share a customer's limit of 64 concurrent requests over a link. Requests are
// started at both until the whole limit is in use. The total must never exceed the limit by
// more than the slack of 7, however the limit is divided between the entries.
func TestEntriesShareALimitOverALink(t *testing.T) {
	f := newFleet(t)
	log := zerolog.Nop()
	names := []api.InstanceID{"e1", "e2"}
	links := []net.Listener{listenLoopback(f.c), listenLoopback(f.c)}
	var entries []*Entry
	for i, name := range names {
		other := 1 - i
		e := NewEntry(EntrySettings{
			Instance: name, Zone: "lhr-a", Key: []byte(fleetKey), Callers: listenLoopback(f.c), Links: links[i],
			Peers: []EntryPeer{{Instance: names[other], Addr: links[other].Addr().String()}},
		}, EntryPorts{Live: f.live, Metrics: metrics.New(&log), Log: &log})
		e.Start()
		stopOnce(t, e.Stop)
		entries = append(entries, e)
	}
	customer, ok := f.live.Load().Customer("other")
	f.c.Assert(ok, qt.IsTrue)
	total := 0
	f.until("64 requests under way", func() bool {
		for _, e := range entries {
			if settle, err := e.limits.Acquire(customer, 0, time.Now()); err == nil {
				total++
				t.Cleanup(func() { settle(0) })
			}
		}
		f.c.Assert(total <= 64+7, qt.IsTrue)
		return total >= 64
	})
}

// Without a target, every request is refused as not run. The tokens charged at its start
// must be refunded; otherwise the customer would soon be refused for its token rate
// instead.
func TestRefusedRequestsCostNoTokens(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	prompt := strings.Repeat("a long prompt that counts ", 2000)
	for range 10 {
		s := f.open(e.url, otherKey, prompt, 50)
		f.c.Assert(s.err, qt.IsNotNil)
		f.c.Assert(s.err.Code, qt.Equals, api.ReasonNoTarget)
	}
}
