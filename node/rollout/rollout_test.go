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

// document gives the encoded document that the tests accept as revision rev.
func document(c *qt.C, rev int) []byte {
	text := fmt.Sprintf("name: demo\nsites: [{id: lhr, region: r, zones: [lhr-a]}]\nlimits: {max_connections: %d}\n", rev)
	d, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base", Data: []byte(text)}, nil)
	c.Assert(err, qt.IsNil)
	b, err := fleetconfig.EncodeDocument(d)
	c.Assert(err, qt.IsNil)
	return b
}

// majority stands for the control group: it answers with the highest revision,
// or not at all.
type majority struct {
	mu      sync.Mutex
	highest api.Revision
	lost    bool
	reads   int
	slow    time.Duration // how long a read takes
}

var errNoMajority = errors.New("no majority")

func (m *majority) HighestRevision(ctx context.Context) (api.Revision, error) {
	m.mu.Lock()
	m.reads++
	slow := m.slow
	m.mu.Unlock()
	time.Sleep(slow)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost {
		return 0, errNoMajority
	}
	return m.highest, nil
}

func (m *majority) set(highest int, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = api.Revision(highest)
	m.lost = lost
}

// end is one end of a link in memory. What is sent goes through the codec, and
// nowhere while the link is stalled.
type end struct {
	codec *wire.Codec
	to    func(wire.Message)

	mu      sync.Mutex
	stalled bool
}

func (e *end) Send(m wire.Message) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return nil
	}
	b, err := e.codec.Append(nil, m)
	if err != nil {
		return err
	}
	got, _, err := e.codec.Decode(b)
	if err != nil {
		return err
	}
	e.to(got)
	return nil
}

func (e *end) stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = true
}

// fleet is a control group in memory with entries and agents behind it.
type fleet struct {
	c      *qt.C
	ctx    context.Context
	source *majority
	codec  *wire.Codec
	wg     sync.WaitGroup
}

func newFleet(c *qt.C) (*fleet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{c: c, ctx: ctx, source: &majority{}, codec: wire.NewCodec(Protos()...)}
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

// link joins an agent to a hub; cut ends the link.
func (f *fleet) link(a *Agent, name api.InstanceID, h *Hub) (down *end, cut func()) {
	down = &end{codec: f.codec}
	up := &end{codec: f.codec}
	down.to = func(m wire.Message) { f.c.Check(a.Handle(up, m), qt.IsTrue) }
	s := h.Attach(name, down)
	up.to = func(m wire.Message) { f.c.Check(s.Handle(m), qt.IsTrue) }
	detach := a.Attach(up)
	return down, func() { s.Close(); detach() }
}

// settle lets two seconds pass, which is time enough for one repetition.
func settle() { time.Sleep(2*time.Second + time.Millisecond); synctest.Wait() }

func revision(inForce func() (api.Revision, api.Site)) int {
	rev, _ := inForce()
	return int(rev)
}

func bubble(t *testing.T, run func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, stop := newFleet(c)
		defer stop()
		run(c, f)
	})
}

// A revision is accepted: the entry puts it in force and its agent after it,
// the first whole and the next as a delta, and the entry can tell of both.
func TestAcceptedRevisionReachesTheAgent(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// An entry restarts while the control group has no majority. The one member
// that it reaches still holds revision 1, though 2 was in force before the
// restart. Nothing is in force until the majority is back and tells of 2.
func TestRestartedEntryWaitsForTheMajority(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// An agent restarts behind an entry that serves, while the control group has
// no majority: the entry's revision may be old, so the agent waits.
func TestRestartedAgentWaitsForTheMajority(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// A partition cuts the entry off: it goes on with the revision in force, and
// old news after the partition changes nothing.
func TestEntryKeepsServingWithoutAMajority(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// The link to the followed entry stalls: nothing arrives and nothing fails. A
// change is accepted meanwhile. The agent misses three beats and follows its
// other entry, which holds the change.
func TestAgentLeavesASilentEntry(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// The followed entry dies while a change is on its way; the agent's other
// entry has it.
func TestAgentFollowsAnotherEntryWhenItsLinkEnds(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// Many agents start at once and ask while a read from the majority is under
// way. That read began before their questions and may not answer them; one
// further read answers all.
func TestQuestionsShareARead(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
		f.source.set(1, false)
		e, hub := f.entry()
		e.Deliver(1, document(c, 1))
		settle()
		before := f.source.reads
		f.source.slow = 500 * time.Millisecond
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

// What can't be read or compiled is counted and leaves the last revision in
// force, and the next one that can be is taken.
func TestUnusableDocumentLeavesTheLastInForce(t *testing.T) {
	bubble(t, func(c *qt.C, f *fleet) {
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

// A large document travels in pieces. One that is lost on the way spoils the
// document, not the agent, which asks again.
func TestPartsOutOfOrderAreFetchedAgain(t *testing.T) {
	c := qt.New(t)
	a := NewAgent(AgentOptions{Zone: "lhr-a", Live: &fleetconfig.Live{}})
	whole := document(c, 1)
	half := len(whole) / 2
	first := &Part{Revision: 1, Count: 2, Bytes: whole[:half]}
	second := &Part{Revision: 1, Index: 1, Count: 2, Bytes: whole[half:]}
	c.Assert(a.part(second), qt.IsNil)
	c.Assert(a.part(first), qt.IsNil)
	c.Assert(a.part(&Part{Revision: 2, Index: 1, Count: 2}), qt.IsNil)
	c.Assert(a.part(second), qt.IsNil)
	c.Assert(a.part(first), qt.IsNil)
	c.Assert(a.part(second), qt.IsNotNil)
}
