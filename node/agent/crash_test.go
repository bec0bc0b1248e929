package agent

import (
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// TestFinalStatesACrash guards against requests that are blamed for an answer that was lost while
// the target still runs, and against crashes that entries are not notified of.
func TestFinalStatesACrash(t *testing.T) {
	for name, gone := range map[string]bool{"target ended": true, "connection lost": false} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, Config{}, 8, func(b *harness) {
				b.target.gone.Store(gone)
				b.target.mu.Lock()
				b.target.startErr = &api.Error{Step: api.StepEngine, Outcome: api.OutcomeUnknown, Reason: api.ReasonEngineDied}
				b.target.mu.Unlock()
				b.send(newOffer("r1"))
				receiveOne[*wire.Accepted](b.c, b.link)
				b.advance(time.Second)
				f := receiveOne[*wire.Final](b.c, b.link)
				if (f.Crash != nil) != gone {
					t.Errorf("crash %+v, process ended: %v", f.Crash, gone)
				}
			})
		})
	}
}
