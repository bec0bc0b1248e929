package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/rollout"
	"almondseam.dev/node/wire"
)

// document returns an encoded document for revision rev. Its max_connections is rev, so
// that each revision has different content.
func document(c *qt.C, rev int) []byte {
	text := fmt.Sprintf("name: demo\nsites: [{id: lhr, region: r, zones: [lhr-a]}]\nlimits: {max_connections: %d}\n", rev)
	d, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base", Data: []byte(text)}, nil)
	c.Assert(err, qt.IsNil)
	b, err := fleetconfig.EncodeDocument(d)
	c.Assert(err, qt.IsNil)
	return b
}

// fakeSource is a Source that returns a fixed highest revision, or an error while the
// majority is unavailable.
type fakeSource struct {
	mu          sync.Mutex
	highest     api.Revision
	unavailable bool
	reads       int
	readDelay   time.Duration // duration of a read
}

var errNoMajority = errors.New("no majority")

func (m *fakeSource) HighestRevision(ctx context.Context) (api.Revision, error) {
	m.mu.Lock()
	m.reads++
	readDelay := m.readDelay
	m.mu.Unlock()
	time.Sleep(readDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, errNoMajority
	}
	return m.highest, nil
}

func (m *fakeSource) set(highest int, unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = api.Revision(highest)
	m.unavailable = unavailable
}

// linkEnd is one end of an in-memory link. Messages are encoded and decoded by the codec.
// While the link is stalled they are dropped without an error.
type linkEnd struct {
	codec   *wire.Codec
	deliver func(wire.Message)

	mu      sync.Mutex
	stalled bool
}

func (e *linkEnd) Send(m wire.Message) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return nil
	}
	b, err := e.codec.Append(nil, m)
	if err != nil {
		return err
	}
	decoded, _, err := e.codec.Decode(b)
	if err != nil {
		return err
	}
	e.deliver(decoded)
	return nil
}

func (e *linkEnd) stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = true
}

// fleet consists of a fake control group and the entries and agents that use it.
type fleet struct {
	c      *qt.C
	ctx    context.Context
	source *fakeSource
	codec  *wire.Codec
	wg     sync.WaitGroup
}

func newFleet(c *qt.C) (*fleet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{c: c, ctx: ctx, source: &fakeSource{}, codec: wire.NewCodec(Protos()...)}
	return f, func() { cancel(); f.wg.Wait() }
}

func (f *fleet) entry() (*Entry, *Hub) {
	hub := NewHub(HubOptions{Source: f.source})
	e := NewEntry(EntryOptions{Zone: "lhr-a", Live: &fleetconfig.Live{}, Source: f.source, Hub: hub})
	f.wg.Go(func() { e.Run(f.ctx) })
	f.wg.Go(func() { hub.Run(f.ctx) })
	return e, hub
}

func (f *fleet) agent() *Agent {
	a := NewAgent(AgentOptions{Zone: "lhr-a", Live: &fleetconfig.Live{}})
	f.wg.Go(func() { a.Run(f.ctx) })
	return a
}

// link connects an agent to a hub. It returns the end on which the hub sends; cut ends
// the link.
func (f *fleet) link(a *Agent, name api.InstanceID, h *Hub) (down *linkEnd, cut func()) {
	down = &linkEnd{codec: f.codec}
	up := &linkEnd{codec: f.codec}
	down.deliver = func(m wire.Message) { f.c.Check(a.Handle(up, m), qt.IsTrue) }
	s := h.Attach(name, down)
	up.deliver = func(m wire.Message) { f.c.Check(s.Handle(m), qt.IsTrue) }
	detach := a.Attach(up)
	return down, func() { s.Close(); detach() }
}

// settle lets two seconds pass, long enough for one repetition of an unanswered request.
func settle() { time.Sleep(2*time.Second + time.Millisecond); synctest.Wait() }

func revision(inForce func() (api.Revision, api.Site)) int {
	rev, _ := inForce()
	return int(rev)
}

func withFleet(t *testing.T, run func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, stop := newFleet(c)
		defer stop()
		run(c, f)
	})
}

// Accepted revisions are put in force at the entry and at its agent, the first as a
// whole document and the later ones as deltas. The hub lists the agent's revision.
func TestAcceptedRevisionReachesTheAgent(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		e, hub := f.entry()
		a := f.agent()
		f.link(a, "g1", hub)
		f.source.set(1, false)
		for rev := 1; rev <= 3; rev++ {
			f.source.set(rev, false)
			e.Deliver(api.Revision(rev), document(c, rev))
			settle()
			c.Assert(revision(e.InForce), qt.Equals, rev)
			c.Assert(revision(a.InForce), qt.Equals, rev)
			c.Assert(a.opt.Live.Load().Limits().MaxConnections, qt.Equals, rev)
			c.Assert(hub.Nodes(), qt.DeepEquals, []rollout.Report{{Instance: "g1", Site: "lhr", Revision: api.Revision(rev)}})
		}
	})
}

// An entry restarts while the control group has no majority. The only member that it
// reaches still holds revision 1, although revision 2 was in force before the restart.
// Nothing may be put in force until the majority is back and has reported revision 2,
// and then only revision 2.
func TestRestartedEntryWaitsForTheMajority(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(2, true)
		e, hub := f.entry()
		a := f.agent()
		f.link(a, "g1", hub)
		e.Deliver(1, document(c, 1))
		settle()
		c.Assert(revision(e.InForce), qt.Equals, 0)
		f.source.set(2, false)
		settle()
		c.Assert(revision(e.InForce), qt.Equals, 0)
		e.Deliver(2, document(c, 2))
		settle()
		c.Assert(revision(e.InForce), qt.Equals, 2)
		c.Assert(revision(a.InForce), qt.Equals, 2)
	})
}

// An agent restarts while its entry serves and the control group has no majority. The
// entry's revision may be outdated, so the agent must wait for the majority.
func TestRestartedAgentWaitsForTheMajority(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(1, false)
		e, hub := f.entry()
		e.Deliver(1, document(c, 1))
		settle()
		f.source.set(2, true)
		a := f.agent()
		f.link(a, "g1", hub)
		settle()
		c.Assert(revision(a.InForce), qt.Equals, 0)
		f.source.set(2, false)
		settle()
		c.Assert(revision(a.InForce), qt.Equals, 0)
		e.Deliver(2, document(c, 2))
		settle()
		c.Assert(revision(a.InForce), qt.Equals, 2)
	})
}

// A partition separates the entry from the majority. The entry must keep the revision in
// force, and an older revision that arrives late must not replace it.
func TestEntryKeepsServingWithoutAMajority(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(2, false)
		e, _ := f.entry()
		e.Deliver(2, document(c, 2))
		settle()
		f.source.set(3, true)
		settle()
		c.Assert(revision(e.InForce), qt.Equals, 2)
		e.Deliver(1, document(c, 1))
		c.Assert(revision(e.InForce), qt.Equals, 2)
		e.Deliver(3, document(c, 3))
		c.Assert(revision(e.InForce), qt.Equals, 3)
	})
}

// The link to the followed entry stalls: no message arrives and no error is reported. A
// change is accepted meanwhile. After three missed announcements the agent must follow
// its other entry, which holds the change.
func TestAgentLeavesASilentEntry(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(1, false)
		e1, hub1 := f.entry()
		e2, hub2 := f.entry()
		a := f.agent()
		down, _ := f.link(a, "g1", hub1)
		f.link(a, "g1", hub2)
		e1.Deliver(1, document(c, 1))
		e2.Deliver(1, document(c, 1))
		settle()
		c.Assert(revision(a.InForce), qt.Equals, 1)
		down.stall()
		e1.Deliver(2, document(c, 2))
		e2.Deliver(2, document(c, 2))
		synctest.Wait()
		c.Assert(revision(a.InForce), qt.Equals, 1)
		settle()
		settle()
		c.Assert(revision(a.InForce), qt.Equals, 2)
		c.Assert(hub1.Nodes(), qt.HasLen, 0)
		c.Assert(hub2.Nodes(), qt.HasLen, 1)
	})
}

// The link to the followed entry ends before the agent has received a change. The agent
// must get it from its other entry.
func TestAgentFollowsAnotherEntryWhenItsLinkEnds(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(1, false)
		e1, hub1 := f.entry()
		e2, hub2 := f.entry()
		a := f.agent()
		_, cut := f.link(a, "g1", hub1)
		f.link(a, "g1", hub2)
		e1.Deliver(1, document(c, 1))
		e2.Deliver(1, document(c, 1))
		settle()
		e2.Deliver(2, document(c, 2))
		cut()
		synctest.Wait()
		c.Assert(revision(a.InForce), qt.Equals, 2)
	})
}

// Many agents start at once and send their queries while a read from the majority is in
// progress. That read began before their queries and must not answer them; a single
// further read must answer all of them.
func TestQuestionsShareARead(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(1, false)
		e, hub := f.entry()
		e.Deliver(1, document(c, 1))
		settle()
		before := f.source.reads
		f.source.readDelay = 500 * time.Millisecond
		f.link(f.agent(), "first", hub)
		synctest.Wait()
		var agents []*Agent
		for i := range 20 {
			a := f.agent()
			f.link(a, api.InstanceID(fmt.Sprint(i)), hub)
			agents = append(agents, a)
		}
		settle()
		for _, a := range agents {
			c.Assert(revision(a.InForce), qt.Equals, 1)
		}
		c.Assert(f.source.reads-before, qt.Equals, 2)
	})
}

// A document that cannot be decoded must leave the last revision in force, and the next
// valid document must be put in force.
func TestUnusableDocumentLeavesTheLastInForce(t *testing.T) {
	withFleet(t, func(c *qt.C, f *fleet) {
		f.source.set(1, false)
		e, _ := f.entry()
		e.Deliver(1, document(c, 1))
		settle()
		e.Deliver(2, []byte("not a document"))
		c.Assert(revision(e.InForce), qt.Equals, 1)
		e.Deliver(3, document(c, 3))
		c.Assert(revision(e.InForce), qt.Equals, 3)
	})
}

// A large document is sent in parts. If a part is missing or out of order, the agent must
// discard the parts collected so far and accept the document when it is sent again.
func TestPartsOutOfOrderAreFetchedAgain(t *testing.T) {
	c := qt.New(t)
	a := NewAgent(AgentOptions{Zone: "lhr-a", Live: &fleetconfig.Live{}})
	whole := document(c, 1)
	half := len(whole) / 2
	first := &Part{Revision: 1, Count: 2, Bytes: whole[:half]}
	second := &Part{Revision: 1, Index: 1, Count: 2, Bytes: whole[half:]}
	c.Assert(a.assemble(second), qt.IsNil)
	c.Assert(a.assemble(first), qt.IsNil)
	c.Assert(a.assemble(&Part{Revision: 2, Index: 1, Count: 2}), qt.IsNil)
	c.Assert(a.assemble(second), qt.IsNil)
	c.Assert(a.assemble(first), qt.IsNil)
	c.Assert(a.assemble(second), qt.IsNotNil)
}
