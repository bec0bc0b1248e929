package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

// The test below simulates a fleet in virtual time: three control members, some of
// which lag behind the accepted revision, three entry instances that follow them, and
// six agents that follow entry instances. Messages are lost, duplicated, delayed and
// reordered; processes restart without their state; processes switch to other
// senders. At each step, what a process serves must be the content accepted under that
// revision, must not go back while the process runs, and after a restart must not be
// older than what was accepted before the restart. Once the network is healed, all
// processes must reach the newest revision.

const (
	members  = 3
	entries  = 3
	agents   = 6
	runSteps = 1500
)

// process is one node with a log from which it answers its followers.
type process struct {
	id      int
	node    *Node
	log     *Log
	sender  int // ID of the process it follows; below zero a control member
	started api.Revision
	served  api.Revision
}

// envelope is a message in flight.
type envelope struct {
	to      int
	message Message
	fetch   *Fetch
	ask     *query
}

type query struct {
	ask  uint64
	from int
}

type simulation struct {
	c        *qt.C
	rng      *rand.Rand
	now      time.Time
	accepted api.Revision
	member   [members]*Log
	all      []*process
	inFlight []envelope
	healed   bool
}

func newSimulation(c *qt.C, seed uint64) *simulation {
	w := &simulation{c: c, rng: rand.New(rand.NewPCG(seed, 5)), now: start}
	for i := range w.member {
		w.member[i] = NewLog(4)
	}
	for id := range entries + agents {
		w.all = append(w.all, &process{id: id})
		w.restart(w.all[id])
	}
	return w
}

func (w *simulation) restart(p *process) {
	p.node = NewNode(w.rng.Uint64()|1, 0)
	p.log = NewLog(4)
	p.started = w.accepted
	p.served = 0
	w.connect(p)
}

// connect picks a random sender: an entry instance for an agent, a control member for
// an entry instance.
func (w *simulation) connect(p *process) {
	p.sender = -1 - w.rng.IntN(members)
	if p.id >= entries {
		p.sender = w.rng.IntN(entries)
	}
	w.handleReady(p, p.node.Connect(w.now))
}

func (w *simulation) send(e envelope) {
	if !w.healed && w.rng.IntN(5) == 0 {
		return
	}
	w.inFlight = append(w.inFlight, e)
	if !w.healed && w.rng.IntN(6) == 0 {
		w.inFlight = append(w.inFlight, e)
	}
}

// handleReady does what a Ready lists, in its order.
func (w *simulation) handleReady(p *process, r Ready) {
	if r.Publish != nil {
		w.check(p, r)
		if d := p.log.Append(r.Publish); d != nil {
			w.push(p.id, &Change{d})
		}
	}
	if r.Fetch != nil {
		w.send(envelope{to: p.sender, fetch: r.Fetch, ask: &query{from: p.id}})
	}
	if r.Ask > 0 {
		w.send(envelope{to: p.sender, ask: &query{ask: r.Ask, from: p.id}})
	}
}

func (w *simulation) check(p *process, r Ready) {
	rev := r.Publish.Revision
	at := qt.Commentf("process %d, revision %d", p.id, rev)
	w.c.Assert(rev > p.served, qt.IsTrue, at)
	w.c.Assert(rev >= p.started, qt.IsTrue, at)
	w.c.Assert(r.Publish.Digest(), qt.Equals, docs[rev].Digest(), at)
	w.c.Assert(p.node.Serving(), qt.Equals, r.Publish, at)
	p.served = rev
}

func (w *simulation) push(sender int, m Message) {
	for _, p := range w.all {
		if p.sender == sender {
			w.send(envelope{to: p.id, message: m})
		}
	}
}

// accept adds a new revision, which only some of the members apply at once.
func (w *simulation) accept() {
	if int(w.accepted) == len(docs)-1 {
		return
	}
	w.accepted++
	for i := range w.member {
		if w.rng.IntN(3) > 0 {
			w.catchUp(i)
		}
	}
}

func (w *simulation) catchUp(i int) {
	if w.accepted == 0 {
		return
	}
	if d := w.member[i].Append(docs[w.accepted]); d != nil {
		w.push(-1-i, &Change{d})
	}
}

func (w *simulation) deliver(e envelope) {
	switch {
	case e.message != nil:
		p := w.all[e.to]
		w.handleReady(p, p.node.Step(w.now, e.message))
	case e.fetch != nil:
		w.answer(e.to, e.ask.from, *e.fetch)
	case e.to >= 0: // an entry instance forwards the query
		w.send(envelope{to: w.all[e.to].sender, ask: e.ask})
	default:
		// The member queries a majority, regardless of what it has applied itself.
		w.send(envelope{to: e.ask.from, message: &Confirmed{Ask: e.ask.ask, Revision: w.accepted}})
	}
}

func (w *simulation) logOf(sender int) *Log {
	if sender < 0 {
		return w.member[-1-sender]
	}
	return w.all[sender].log
}

func (w *simulation) answer(sender, to int, f Fetch) {
	log := w.logOf(sender)
	deltas, all := log.Answer(f)
	if all {
		w.send(envelope{to: to, message: &Whole{log.Current()}})
	}
	for _, d := range deltas {
		w.send(envelope{to: to, message: &Change{d}})
	}
}

// corrupt turns one in ten deltas into one with a different base.
func (w *simulation) corrupt(e *envelope) {
	if ch, ok := e.message.(*Change); ok && w.rng.IntN(10) == 0 {
		d := *ch.Delta
		d.Base = fleetconfig.Digest{1}
		e.message = &Change{&d}
	}
}

func (w *simulation) step() {
	w.now = w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond)
	switch k := w.rng.IntN(100); {
	case k < 70 && len(w.inFlight) > 0:
		i := w.rng.IntN(len(w.inFlight))
		e := w.inFlight[i]
		w.inFlight[i] = w.inFlight[len(w.inFlight)-1]
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
		if !w.healed {
			w.corrupt(&e)
		}
		w.deliver(e)
	case k < 80:
		p := w.all[w.rng.IntN(len(w.all))]
		w.handleReady(p, p.node.Tick(w.now))
	case k < 85:
		w.announceLatest()
	case w.healed:
	case k < 89:
		w.accept()
	case k < 91:
		w.catchUp(w.rng.IntN(members))
	case k < 93:
		w.restart(w.all[w.rng.IntN(len(w.all))])
	case k < 95:
		w.connect(w.all[w.rng.IntN(len(w.all))])
	}
}

// announceLatest sends the periodic Latest message of one random sender.
func (w *simulation) announceLatest() {
	sender := w.rng.IntN(members+entries) - members
	l := w.logOf(sender).Latest()
	w.push(sender, &l)
}

func (w *simulation) converged() bool {
	for _, p := range w.all {
		if p.served != w.accepted {
			return false
		}
	}
	return true
}

func TestRevisionsNeverGoBackAndAllConverge(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, seed)
			w.accept()
			for range runSteps {
				w.step()
			}
			w.healed = true
			for i := range w.member {
				w.catchUp(i)
			}
			for range 20 * runSteps {
				if w.converged() {
					return
				}
				w.step()
			}
			t.Fatalf("not all reached revision %d", w.accepted)
		})
	}
}
