package registry

import (
	"testing"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

type noObserver struct{}

func (noObserver) Changed(directory.Record, string) {}

// peer is a link into another registry.
type peer struct{ to *Registry }

func (p *peer) Send(m wire.Message) error {
	switch m := m.(type) {
	case *Records:
		p.to.Merge(m.List)
	case *Loads:
		p.to.Load(m.List)
	}
	return nil
}

func record(seq uint64, s directory.State) directory.Record {
	return directory.Record{Target: "t", Service: "s", Address: "10.0.0.1:80", Born: 1, Sequence: seq, State: s}
}

// Callers are sent to a target until every entry knows that it leaves. When the
// target's announcement is answered, the news is on its way to all that follow, and
// one that follows later gets the whole list.
func TestNewsGoesToAllThatFollow(t *testing.T) {
	c := qt.New(t)
	member := New(noObserver{}, nil)
	early, late := New(noObserver{}, nil), New(noObserver{}, nil)
	member.Subscribe(&peer{early})
	member.Announce(record(1, directory.StateReady))
	member.Announce(record(2, directory.StateLeaving))
	c.Assert(early.Records()[0].State, qt.Equals, directory.StateLeaving)
	member.Subscribe(&peer{late})
	c.Assert(late.Records()[0].State, qt.Equals, directory.StateLeaving)
}

// Members follow each other; news must not go round between them for ever.
func TestNewsEndsWhereItIsKnown(t *testing.T) {
	c := qt.New(t)
	a, b := New(noObserver{}, nil), New(noObserver{}, nil)
	// Registry holds its lock while it tells, so the way back is taken by hand.
	var fromB []directory.Record
	b.Subscribe(&recorder{&fromB})
	a.Subscribe(&peer{b})
	a.Announce(record(1, directory.StateReady))
	c.Assert(fromB, qt.HasLen, 1)
	fromB = nil
	a.Merge([]directory.Record{record(1, directory.StateReady)})
	b.Merge([]directory.Record{record(1, directory.StateReady)})
	c.Assert(fromB, qt.HasLen, 0)
}

type recorder struct{ list *[]directory.Record }

func (r *recorder) Send(m wire.Message) error {
	if records, ok := m.(*Records); ok {
		*r.list = append(*r.list, records.List...)
	}
	return nil
}

type loads struct{ got *[]fleetload.Report }

func (l *loads) Send(m wire.Message) error {
	if m, ok := m.(*Loads); ok {
		*l.got = append(*l.got, m.List...)
	}
	return nil
}

// Entries' loads are told in rounds, only the newest of each, and once.
func TestLoadsAreToldOnceInTheirNewestForm(t *testing.T) {
	c := qt.New(t)
	member := New(noObserver{}, nil)
	var got []fleetload.Report
	member.Subscribe(&loads{&got})
	member.Load([]fleetload.Report{{Entry: "a", Whole: true}})
	newest := fleetload.Report{Entry: "a", Whole: true, List: []fleetload.TargetLoad{{Target: "t", Load: fleetload.Load{Running: 2}}}}
	member.Load([]fleetload.Report{newest})
	member.tellLoads()
	member.tellLoads()
	c.Assert(got, qt.DeepEquals, []fleetload.Report{newest})
}
