package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// A machine is taken away for good, and another one loses its disk as soon as the successor of the
// first no longer counts as lost: the group is left without a majority for good.
func TestGroupOutlivesLossesCatchUpApart(t *testing.T) {
	new(fasthttp.ResponseHeader).Header()
	for name, leads := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, 1)
				defer h.stopEverything()
				h.found()
				time.Sleep(catchUp)
				first := h.machineThatLeads(leads)
				first.stop(stopKill)
				first.retired = true
				next := h.addMachine(false)
				h.exchange(first.addr, next.addr)
				next.start()
				time.Sleep(catchUp)
				second := h.inService()[0]
				second.stop(stopPower)
				second.wipe()
				second.start()
				time.Sleep(recovery)
				ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
				defer cancel()
				qt.Check(t, next.put(ctx, 1, document(1, "ana")), qt.IsNil)
			})
		})
	}
}
