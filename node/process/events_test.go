package process

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"almondseam.dev/node/events"
	"almondseam.dev/node/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// logRecorder stores log lines, so that a test can count events by their IDs.
type logRecorder struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logRecorder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// count returns the number of log lines of an event.
func (b *logRecorder) count(e events.Event) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range bytes.Lines(b.buf.Bytes()) {
		var l struct{ Event int }
		if json.Unmarshal(line, &l) == nil && l.Event == e.ID {
			n++
		}
	}
	return n
}

func newLogRecorder() (*logRecorder, *zerolog.Logger) {
	b := &logRecorder{}
	log := zerolog.New(b)
	return b, &log
}

// An entry's only control member stops. The gauge must show one link and then none, never a
// negative number. The failed dials must be logged once, although the entry retries several
// times a second.
func TestEntryTellsOfItsLinkToControl(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	recorder, log := newLogRecorder()
	m := metrics.New(log)
	coupling := NewEntryControl(ControlLinkSettings{Instance: "e1", Zone: "lhr-a", Key: []byte(fleetKey), Seeds: g.addrs}, m, log)
	stop := stopOnce(t, coupling.Stop)
	coupling.Start()
	f.until("a link to control", func() bool { return metricValues(f, m, "almondseam_links")["control"] == 1 })
	f.c.Assert(recorder.count(events.LinkUp), qt.Equals, 1)
	f.c.Assert(g.stops[0](testTimeout), qt.IsNil)
	f.until("a failed dial", func() bool { return recorder.count(events.LinkDialFailed) > 0 })
	f.c.Assert(metricValues(f, m, "almondseam_links"), qt.DeepEquals, map[string]float64{})
	f.c.Assert(stop(testTimeout), qt.IsNil)
	f.c.Assert(recorder.count(events.LinkDialFailed), qt.Equals, 1)
}
