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

// The run below is a fleet in virtual time: three control members, of which
// some lag behind what was accepted, three entries that follow them, and six
// agents that follow entries. The ways between them lose, repeat, delay and
// reorder; processes restart and forget; senders are swapped. Checked at each
// step: what a process serves is what was accepted under that revision, never
// goes back while it runs, and after a restart is never older than what had
// been accepted before the restart. Once the ways heal, all reach the newest.

const (
	members  = 3
	entries  = 3
	agents   = 6
	runSteps = 1500
)

// process is one node, with a log to answer those behind it.
type process struct {
	id      int
	node    *Node
	log     *Log
	sender  int // process it follows; below zero a control member
	started api.Revision
	served  api.Revision
}

// envelope is a message on its way.
type envelope struct {
	to      int
	message Message
	fetch   *Fetch
	ask     *question
}

type question struct {
	ask  uint64
	from int
}

type world struct {
	c        *qt.C
	rng      *rand.Rand
	now      time.Time
	accepted api.Revision
	member   [members]*Log
	all      []*process
	bag      []envelope
	healed   bool
}

func newWorld(c *qt.C, seed uint64) *world {
	w := &world{c: c, rng: rand.New(rand.NewPCG(seed, 5)), now: start}
	for i := range w.member {
		w.member[i] = NewLog(4)
	}
	for id := range entries + agents {
		w.all = append(w.all, &process{id: id})
		w.restart(w.all[id])
	}
	return w
}

func (w *world) restart(p *process) {
	p.node = NewNode(w.rng.Uint64()|1, 0)
	p.log = NewLog(4)
	p.started = w.accepted
	p.served = 0
	w.connect(p)
}

// connect picks a sender; an agent's is an entry, an entry's a control member.
func (w *world) connect(p *process) {
	p.sender = -1 - w.rng.IntN(members)
	if p.id >= entries {
		p.sender = w.rng.IntN(entries)
	}
	w.carryOut(p, p.node.Connect(w.now))
}

func (w *world) send(e envelope) {
	if !w.healed && w.rng.IntN(5) == 0 {
		return
	}
	w.bag = append(w.bag, e)
	if !w.healed && w.rng.IntN(6) == 0 {
		w.bag = append(w.bag, e)
	}
}

// carryOut does what a Ready says, in its order.
func (w *world) carryOut(p *process, r Ready) {
	if r.Publish != nil {
		w.check(p, r)
		if d := p.log.Append(r.Publish); d != nil {
			w.push(p.id, &Change{d})
		}
	}
	if r.Fetch != nil {
		w.send(envelope{to: p.sender, fetch: r.Fetch, ask: &question{from: p.id}})
	}
	if r.Ask > 0 {
		w.send(envelope{to: p.sender, ask: &question{ask: r.Ask, from: p.id}})
	}
}

func (w *world) check(p *process, r Ready) {
	rev := r.Publish.Revision
	at := qt.Commentf("process %d, revision %d", p.id, rev)
	w.c.Assert(rev > p.served, qt.IsTrue, at)
	w.c.Assert(rev >= p.started, qt.IsTrue, at)
	w.c.Assert(r.Publish.Digest(), qt.Equals, docs[rev].Digest(), at)
	w.c.Assert(p.node.Serving(), qt.Equals, r.Publish, at)
	p.served = rev
}

func (w *world) push(sender int, m Message) {
	for _, p := range w.all {
		if p.sender == sender {
			w.send(envelope{to: p.id, message: m})
		}
	}
}

// accept makes a new revision; only some members hear of it at once.
func (w *world) accept() {
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

func (w *world) catchUp(i int) {
	if w.accepted == 0 {
		return
	}
	if d := w.member[i].Append(docs[w.accepted]); d != nil {
		w.push(-1-i, &Change{d})
	}
}

func (w *world) deliver(e envelope) {
	switch {
	case e.message != nil:
		p := w.all[e.to]
		w.carryOut(p, p.node.Step(w.now, e.message))
	case e.fetch != nil:
		w.answer(e.to, e.ask.from, *e.fetch)
	case e.to >= 0: // an entry hands the question on
		w.send(envelope{to: w.all[e.to].sender, ask: e.ask})
	default:
		// The member asks a majority now, whatever it has applied itself.
		w.send(envelope{to: e.ask.from, message: &Confirmed{Ask: e.ask.ask, Revision: w.accepted}})
	}
}

func (w *world) logOf(sender int) *Log {
	if sender < 0 {
		return w.member[-1-sender]
	}
	return w.all[sender].log
}

func (w *world) answer(sender, to int, f Fetch) {
	log := w.logOf(sender)
	deltas, all := log.Answer(f)
	if all {
		w.send(envelope{to: to, message: &Whole{log.Current()}})
	}
	for _, d := range deltas {
		w.send(envelope{to: to, message: &Change{d}})
	}
}

// corrupt turns a delta on its way into one made against another content.
func (w *world) corrupt(e *envelope) {
	if ch, ok := e.message.(*Change); ok && w.rng.IntN(10) == 0 {
		d := *ch.Delta
		d.Base = fleetconfig.Digest{1}
		e.message = &Change{&d}
	}
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond)
	switch k := w.rng.IntN(100); {
	case k < 70 && len(w.bag) > 0:
		i := w.rng.IntN(len(w.bag))
		e := w.bag[i]
		w.bag[i] = w.bag[len(w.bag)-1]
		w.bag = w.bag[:len(w.bag)-1]
		if !w.healed {
			w.corrupt(&e)
		}
		w.deliver(e)
	case k < 80:
		p := w.all[w.rng.IntN(len(w.all))]
		w.carryOut(p, p.node.Tick(w.now))
	case k < 85:
		w.beat()
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

// beat sends the repeated note of one sender.
func (w *world) beat() {
	sender := w.rng.IntN(members+entries) - members
	l := w.logOf(sender).Latest()
	w.push(sender, &l)
}

func (w *world) converged() bool {
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
			w := newWorld(c, seed)
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
