package control

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Entries that start never get a document of 3 MiB over links of 10 Mbit/s: the read that releases it is
// answered after it, and a link that is closed for want of the answer has to carry it again.
func TestEntriesStartOverSlowLinks(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts a goroutine that never ends, outside of the bubble
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 1)
		h.limits.Config.MaxDocument = 4 << 20
		h.foundWith(3)
		time.Sleep(5 * time.Second)
		h.putLarge(h.machineThatLeads(false), 1)
		h.net.mu.Lock()
		h.net.rate = slowRate
		h.net.mu.Unlock()
		for _, e := range h.entries {
			e.stop(true)
		}
		for _, e := range h.entries {
			e.start()
		}
		time.Sleep(recovery)
		h.mu.Lock()
		for _, e := range h.entries {
			qt.Check(t, e.served, qt.Equals, uint64(1), qt.Commentf("%s", e.name))
		}
		h.mu.Unlock()
		h.stopEverything()
		if t.Failed() {
			for _, line := range h.log {
				t.Log(line)
			}
		}
	})
}
