package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// fakeLink is the entry's end of an agent's link; the test plays the agent. The
// entry's pace is kept apart: it may come at any time and asks for no answer.
type fakeLink struct {
	sent  chan wire.Message
	done  chan struct{}
	paces []time.Duration
}

func newFakeLink() *fakeLink {
	return &fakeLink{sent: make(chan wire.Message, 1000), done: make(chan struct{})}
}

func (l *fakeLink) Send(m wire.Message) error {
	if p, ok := m.(*wire.Pace); ok {
		l.paces = append(l.paces, p.Every)
		return nil
	}
	l.sent <- m
	return nil
}

func (l *fakeLink) Done() <-chan struct{} { return l.done }

// fakeAgent is one agent under the test's hand.
type fakeAgent struct {
	c    *qt.C
	id   api.TargetID
	link *fakeLink
	at   *AgentLink
}

func (b *bench) agent(id api.TargetID, inc api.Incarnation) *fakeAgent {
	l := newFakeLink()
	a := &fakeAgent{c: b.c, id: id, link: l, at: b.entry.Attach(l)}
	a.say(&wire.Announce{Target: id, Incarnation: inc, Zone: "a", Models: []api.ModelID{"m"}, Services: []api.ServiceID{"s"}})
	return a
}

func (a *fakeAgent) say(m wire.Message) { a.at.Handle(m) }

func (a *fakeAgent) lose() {
	close(a.link.done)
	a.at.Closed()
}

// hear waits for the next message of type T that is no acknowledgement.
func hear[T wire.Message](a *fakeAgent) T {
	a.c.Helper()
	for {
		switch m := (<-a.link.sent).(type) {
		case T:
			return m
		case *wire.Ack:
		case *wire.Cancel: // of a bid that wasn't taken
		case *wire.BidRequest:
			a.say(&wire.Bid{Key: m.Key})
		default:
			a.c.Fatalf("agent %s heard %T", a.id, m)
		}
	}
}

// hush tells that nothing but acknowledgements is on its way to the agent.
func (a *fakeAgent) hush() {
	a.c.Helper()
	synctest.Wait()
	for {
		select {
		case m := <-a.link.sent:
			switch m.(type) {
			case *wire.Ack:
			default:
				a.c.Fatalf("agent %s heard %T", a.id, m)
			}
		default:
			return
		}
	}
}

func (a *fakeAgent) accept(o *wire.Offer) {
	a.say(&wire.Accepted{Key: o.Key, Generation: "g-" + api.GenerationID(a.id)})
}

func (a *fakeAgent) data(o *wire.Offer, gen api.GenerationID, off uint64, items ...string) {
	var packed []byte
	for _, it := range items {
		packed = stream.Append(packed, []byte(it))
	}
	a.say(&wire.Data{Key: o.Key, Generation: gen, Offset: off, N: len(items), Packed: packed})
}

func (a *fakeAgent) final(o *wire.Offer, gen api.GenerationID, items ...string) {
	b := stream.NewBuffer(1 << 20)
	for _, it := range items {
		b.Append([]byte(it))
	}
	a.say(&wire.Final{Key: o.Key, Generation: gen, Count: b.End(), Sum: b.Sum(), Outcome: api.OutcomeCompleted})
}

// fail ends an accepted request of which nothing was sent.
func (a *fakeAgent) fail(o *wire.Offer, outcome api.Outcome, reason api.Reason) {
	a.say(&wire.Final{Key: o.Key, Sum: stream.NewBuffer(0).Sum(), Outcome: outcome, Reason: reason})
}

// drops counts what the entry did not take, and keeps what it told of targets.
type drops struct {
	noObserver
	n       map[string]int
	targets []string
}

func (d *drops) tell(what string, t TargetView) {
	d.targets = append(d.targets, fmt.Sprintf("%s %d", what, t.Incarnation))
}

func (d *drops) TargetAnnounced(t TargetView) { d.tell("announced", t) }
func (d *drops) TargetLeaving(t TargetView)   { d.tell("leaving", t) }
func (d *drops) TargetGone(t TargetView)      { d.tell("gone", t) }

func (d *drops) Dropped(why string) { d.n[why]++ }

// bench is an entry between fake agents and a caller.
type bench struct {
	c     *qt.C
	entry *Entry
	drops *drops
}

func newBench(t *testing.T) *bench {
	d := &drops{n: make(map[string]int)}
	return &bench{c: qt.New(t), drops: d, entry: New(Config{}, newTestPlacer(), Attempts{Max: 3}, d)}
}

// testPlacer asks every target in the order of its name, without chance.
type testPlacer struct{ *TablePlacer }

func newTestPlacer() testPlacer {
	return testPlacer{NewTablePlacer(routing.Options{Ask: 8, Local: 16, Foreign: 16})}
}

func (p testPlacer) Choose(q routing.Query, now time.Time) []routing.Candidate {
	out := p.router.Choose(nil, q, now, rand.New(rand.NewPCG(1, 1)))
	if len(out) > 1 && out[0].ID > out[1].ID {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

func (b *bench) start(r *Request) *Answer {
	r.ID = "r1"
	r.Arrived = time.Now()
	r.Size.Customer = "c1"
	if r.Service == "" {
		r.Query.Model = "m"
	}
	return b.entry.Start(context.Background(), r)
}

func generation() *Request { return &Request{Repeatable: true} }

func booking() *Request {
	return &Request{Service: "s", Query: routing.Query{Service: "s"}, Method: "POST"}
}

// told is all that the caller was given.
type told struct {
	text string
	end  End
}

func read(a *Answer) told {
	var got told
	for {
		e := a.Next(time.Hour)
		switch e.Kind {
		case EventItems:
			packed := e.Packed
			for len(packed) > 0 {
				item, rest, err := stream.Next(packed)
				if err != nil {
					panic(err)
				}
				got.text += string(item)
				packed = rest
			}
		case EventEnd:
			got.end = e.End
			return got
		}
	}
}

// accepted is a bench with one generation that its one agent has accepted.
func accepted(t *testing.T) (*bench, *fakeAgent, *Answer, *wire.Offer) {
	b := newBench(t)
	a := b.agent("t1", 1)
	ans := b.start(generation())
	o := hear[*wire.Offer](a)
	a.accept(o)
	return b, a, ans, o
}
