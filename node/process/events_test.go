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

// logBook keeps what is logged, for the numbers of its events.
type logBook struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBook) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// count gives the lines of an event.
func (b *logBook) count(e events.Event) int {
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

func newLogBook() (*logBook, *zerolog.Logger) {
	b := &logBook{}
	log := zerolog.New(b)
	return b, &log
}

// An entry's only control member is there, goes, and stays away. The gauge shows
// one link and then none, never fewer, and the log tells that control cannot be
// reached: once, for the entry goes on trying several times a second.
func TestEntryTellsOfItsLinkToControl(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(1)
	book, log := newLogBook()
	m := metrics.New(log)
	coupling := NewEntryControl(ControlLinkSettings{Instance: "e1", Zone: "lhr-a", Key: []byte(fleetKey), Seeds: g.addrs}, m, log)
	stop := stopOnce(t, coupling.Stop)
	coupling.Start()
	f.until("a link to control", func() bool { return values(f, m, "almondseam_links")["control"] == 1 })
	f.c.Assert(book.count(events.LinkUp), qt.Equals, 1)
	f.c.Assert(g.stops[0](patience), qt.IsNil)
	f.until("a failed dial", func() bool { return book.count(events.LinkDialFailed) > 0 })
	f.c.Assert(values(f, m, "almondseam_links"), qt.DeepEquals, map[string]float64{})
	f.c.Assert(stop(patience), qt.IsNil)
	f.c.Assert(book.count(events.LinkDialFailed), qt.Equals, 1)
}
