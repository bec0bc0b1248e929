package entry

import (
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// countingPlacer records how many targets the entry counts when the first one is announced to it.
type countingPlacer struct {
	*TablePlacer
	entry   *Entry
	counted []int
}

// Announce implements Placer.
func (p *countingPlacer) Announce(t routing.Target) {
	p.counted = append(p.counted, p.entry.Targets())
	p.TablePlacer.Announce(t)
}

// TestTargetIsCountedOnceItCanBeChosen guards against an entry that reports a target, and so that it
// is ready, and refuses a request for want of a target.
func TestTargetIsCountedOnceItCanBeChosen(t *testing.T) {
	c := qt.New(t)
	p := &countingPlacer{TablePlacer: NewTablePlacer(routing.Options{})}
	p.entry = New(Config{}, p, nil, nil)
	link := p.entry.Attach(newFakeLink())
	link.Handle(&wire.Announce{Target: "t", Incarnation: 1, Zone: "a", Models: []api.ModelID{"m"}})
	c.Assert(p.counted[0], qt.Equals, 0)
	c.Assert(p.entry.Targets(), qt.Equals, 1)
}
