package registry

import (
	"context"
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

type noObserver struct{}

func (noObserver) Changed(directory.Record, string) {}

// registryLink is a Sender that delivers messages to another registry.
type registryLink struct{ to *Registry }

func (p *registryLink) Send(m wire.Message) error {
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

// Requests go to a leaving target until every entry knows that it leaves. When Announce
// returns, the change must have been sent to all subscribers, and a later subscriber must
// get the full list.
func TestNewsGoesToAllThatFollow(t *testing.T) {
	c := qt.New(t)
	member := New(noObserver{}, nil)
	early, late := New(noObserver{}, nil), New(noObserver{}, nil)
	member.Subscribe(&registryLink{early}, Subscribe{Loads: LoadsNone})
	member.Announce(record(1, directory.StateReady))
	member.Announce(record(2, directory.StateLeaving))
	c.Assert(early.Records()[0].State, qt.Equals, directory.StateLeaving)
	member.Subscribe(&registryLink{late}, Subscribe{Loads: LoadsNone})
	c.Assert(late.Records()[0].State, qt.Equals, directory.StateLeaving)
}

// Members subscribe to each other; a change must not circulate between them for ever.
func TestNewsEndsWhereItIsKnown(t *testing.T) {
	c := qt.New(t)
	a, b := New(noObserver{}, nil), New(noObserver{}, nil)
	// A registry holds its lock while it sends, so Send must not lead back to the sender.
	// The test keeps what b sends and delivers the same record to a itself.
	var fromB []directory.Record
	b.Subscribe(&recordLog{&fromB}, Subscribe{Loads: LoadsAll})
	a.Subscribe(&registryLink{b}, Subscribe{Loads: LoadsNone})
	a.Announce(record(1, directory.StateReady))
	a.round()
	b.round()
	c.Assert(fromB, qt.HasLen, 1)
	fromB = nil
	a.Merge([]directory.Record{record(1, directory.StateReady)})
	b.Merge([]directory.Record{record(1, directory.StateReady)})
	a.round()
	b.round()
	c.Assert(fromB, qt.HasLen, 0)
}

// recordLog is a Sender that keeps the records it is sent.
type recordLog struct{ list *[]directory.Record }

func (r *recordLog) Send(m wire.Message) error {
	if records, ok := m.(*Records); ok {
		*r.list = append(*r.list, records.List...)
	}
	return nil
}

// loadLog is a Sender that keeps the load reports it is sent.
type loadLog struct{ got *[]fleetload.Report }

func (l *loadLog) Send(m wire.Message) error {
	if m, ok := m.(*Loads); ok {
		*l.got = append(*l.got, m.List...)
	}
	return nil
}

// A round must send only the newest load report of each entry, and send it once.
func TestLoadsAreToldOnceInTheirNewestForm(t *testing.T) {
	c := qt.New(t)
	member := New(noObserver{}, nil)
	var got []fleetload.Report
	member.Subscribe(&loadLog{&got}, Subscribe{Loads: LoadsAll})
	member.Load([]fleetload.Report{{Entry: "a", Whole: true}})
	newest := fleetload.Report{Entry: "a", Whole: true, List: []fleetload.TargetLoad{{Target: "t", Load: fleetload.Load{Running: 2}}}}
	member.Load([]fleetload.Report{newest})
	member.round()
	member.round()
	c.Assert(got, qt.DeepEquals, []fleetload.Report{newest})
}

// fakeLink is an entry's link to a member. It passes subscriptions and load reports to the
// member's registry.
type fakeLink struct {
	peer link.Peer
	to   *Registry
	// back is the subscriber that it registers there.
	back Sender
	// reports is the number of Loads messages sent.
	reports int
}

func (l *fakeLink) Peer() link.Peer { return l.peer }

func (l *fakeLink) Send(m wire.Message) error {
	switch m := m.(type) {
	case *Subscribe:
		l.to.Subscribe(l.back, *m)
	case *Loads:
		l.reports++
		l.to.Load(m.List)
	}
	return nil
}

// reportCounter is a Sender that counts the load reports it is sent, by entry.
type reportCounter struct{ counts map[api.InstanceID]int }

func newReportCounter() *reportCounter { return &reportCounter{counts: map[api.InstanceID]int{}} }

func (t *reportCounter) Send(m wire.Message) error {
	if m, ok := m.(*Loads); ok {
		for _, r := range m.List {
			t.counts[r.Entry]++
		}
	}
	return nil
}

// TestReportsReachEachEntryOnce guards against load reports that circulate between members,
// and against an entry that receives the same report from several members.
func TestReportsReachEachEntryOnce(t *testing.T) {
	c := qt.New(t)
	home, other := New(noObserver{}, nil), New(noObserver{}, nil)
	entry, peerOfHome, peerOfOther := newReportCounter(), newReportCounter(), newReportCounter()
	home.Subscribe(entry, Subscribe{Loads: LoadsAll})
	other.Subscribe(entry, Subscribe{Loads: LoadsNone})
	home.Subscribe(peerOfHome, Subscribe{Loads: LoadsFromEntries})
	other.Subscribe(peerOfOther, Subscribe{Loads: LoadsFromEntries})
	home.Load([]fleetload.Report{{Entry: "a", Whole: true}})
	other.Load([]fleetload.Report{{Entry: "b", Whole: true}})
	home.LoadOfPeer([]fleetload.Report{{Entry: "b", Whole: true}})
	home.round()
	other.round()
	c.Assert(entry.counts, qt.DeepEquals, map[api.InstanceID]int{"a": 1, "b": 1})
	c.Assert(peerOfHome.counts, qt.DeepEquals, map[api.InstanceID]int{"a": 1})
	c.Assert(peerOfOther.counts, qt.DeepEquals, map[api.InstanceID]int{"b": 1})
}

// TestPeersNewsComesByTheHome guards against an entry that receives each change from every
// member, and against one that misses a change known to its home.
func TestPeersNewsComesByTheHome(t *testing.T) {
	c := qt.New(t)
	member := New(noObserver{}, nil)
	var got []directory.Record
	entry := &recordLog{&got}
	member.Subscribe(entry, Subscribe{Loads: LoadsNone})
	member.Merge([]directory.Record{record(1, directory.StateReady)})
	member.round()
	c.Assert(got, qt.HasLen, 0)
	member.Subscribe(entry, Subscribe{Loads: LoadsAll, Whole: true})
	c.Assert(got, qt.HasLen, 1)
	member.Merge([]directory.Record{record(2, directory.StateLeaving)})
	member.round()
	c.Assert(got[1].State, qt.Equals, directory.StateLeaving)
	member.Subscribe(entry, Subscribe{Loads: LoadsNone})
	member.Leave("t", 1)
	c.Assert(got[2].State, qt.Equals, directory.StateGone, qt.Commentf("changes from targets that announce themselves here are sent to all subscribers"))
}

// TestHome checks which member an entry chooses as its home, and when the home moves.
func TestHome(t *testing.T) {
	c := qt.New(t)
	f := NewFollower(context.Background(), FollowerOptions{Registry: New(noObserver{}, nil), Link: link.Options{Self: link.Peer{Instance: "e", Zone: "a"}}})
	links := map[string]*fakeLink{}
	members := map[string]*member{}
	connect := func(addr string, zone api.Zone) {
		links[addr] = &fakeLink{peer: link.Peer{Zone: zone}, to: New(noObserver{}, nil), back: newReportCounter()}
		members[addr] = f.addConn(context.Background(), addr, links[addr])
	}
	// reports sends a report and returns the address of the member that received it.
	reports := func() string {
		before := map[string]int{}
		for addr, l := range links {
			before[addr] = l.reports
		}
		f.Report(fleetload.Report{Entry: "e"})
		for addr, l := range links {
			if l.reports > before[addr] {
				return addr
			}
		}
		return ""
	}
	endMinHomeDuration := func() { f.homeSince = f.homeSince.Add(-minHomeDuration) }
	c.Assert(reports(), qt.Equals, "")
	connect("1", "b")
	c.Assert(reports(), qt.Equals, "1")
	connect("2", "a")
	c.Assert(reports(), qt.Equals, "1", qt.Commentf("the home is kept for minHomeDuration"))
	endMinHomeDuration()
	c.Assert(reports(), qt.Equals, "2", qt.Commentf("a member in the entry's own zone is preferred"))
	f.peerCount(members["1"], &PeerCount{Members: 2})
	endMinHomeDuration()
	c.Assert(reports(), qt.Equals, "1", qt.Commentf("a member without links to other members is not preferred"))
	f.peerCount(members["2"], &PeerCount{Members: 2})
	endMinHomeDuration()
	c.Assert(reports(), qt.Equals, "2")
	f.removeConn(members["2"])
	delete(links, "2")
	c.Assert(reports(), qt.Equals, "1", qt.Commentf("a home whose link has ended is replaced at once"))
}

// TestHomeMovesWithoutAGap guards against an entry that misses a change while its home
// moves, and against a full list of records for a move between well-connected members.
func TestHomeMovesWithoutAGap(t *testing.T) {
	c := qt.New(t)
	f := NewFollower(context.Background(), FollowerOptions{Registry: New(noObserver{}, nil), Link: link.Options{Self: link.Peer{Instance: "e", Zone: "a"}}})
	one, two := &subscriptionLog{zone: "b"}, &subscriptionLog{zone: "a"}
	first := f.addConn(context.Background(), "1", one)
	second := f.addConn(context.Background(), "2", two)
	c.Assert(one.sent, qt.DeepEquals, []Subscribe{{Loads: LoadsAll, Whole: true}})
	c.Assert(two.sent, qt.DeepEquals, []Subscribe{{Loads: LoadsNone}})
	f.moveHome(second)
	c.Assert(two.sent[1], qt.Equals, Subscribe{Loads: LoadsAll})
	c.Assert(one.sent[1], qt.Equals, Subscribe{Loads: LoadsNone})
	f.peerCount(first, &PeerCount{Members: 3})
	f.moveHome(first)
	c.Assert(one.sent[2], qt.Equals, Subscribe{Loads: LoadsAll, Whole: true}, qt.Commentf("the old home was not well connected"))
}

// subscriptionLog is a link that keeps the subscriptions sent on it.
type subscriptionLog struct {
	zone api.Zone
	sent []Subscribe
}

func (l *subscriptionLog) Peer() link.Peer { return link.Peer{Zone: l.zone} }

func (l *subscriptionLog) Send(m wire.Message) error {
	if m, ok := m.(*Subscribe); ok {
		l.sent = append(l.sent, *m)
	}
	return nil
}

// sendCounter is a Sender that counts messages.
type sendCounter struct{ n int }

func (s *sendCounter) Send(wire.Message) error {
	s.n++
	return nil
}

// TestReadyTargetsAreToldInRounds guards against one message per target and entry when
// thousands of targets announce themselves within a second after a restart of the whole
// fleet. A record that takes a target out of use must not wait for a round.
func TestReadyTargetsAreToldInRounds(t *testing.T) {
	c := qt.New(t)
	member := New(noObserver{}, nil)
	entry := &sendCounter{}
	member.Subscribe(entry, Subscribe{Loads: LoadsAll})
	before := entry.n
	for i := range 1000 {
		member.Announce(directory.Record{Target: api.TargetID(fmt.Sprint(i)), Service: "s", Address: fmt.Sprint(i), Born: 1, Sequence: 1, State: directory.StateReady})
	}
	c.Assert(entry.n, qt.Equals, before)
	member.round()
	c.Assert(entry.n, qt.Equals, before+1)
	member.Announce(directory.Record{Target: "0", Service: "s", Address: "0", Born: 1, Sequence: 2, State: directory.StateLeaving})
	c.Assert(entry.n, qt.Equals, before+2)
}
