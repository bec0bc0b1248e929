package entry

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
)

// leg is one dispatch of a request to one agent.
type leg struct {
	key    wire.Key
	req    *Request
	answer *Answer
	target api.TargetID
	inc    api.Incarnation
	obs    Observer
	echo   time.Duration // the agent's clock, for a claimed call
	// heard is set, on the link's reading goroutine, once the agent has answered
	// the offer. The driver may be far behind on a busy machine: going by its own
	// reading it would bury a request that is running, and cut it off.
	heard atomic.Bool
	// news carries everything but items to the driver. It is buffered; what
	// finds it full is a repeat that the driver does not need.
	news chan wire.Message

	mu    sync.Mutex
	to    sender
	asked uint64 // offset of the last resume after a gap, plus one
}

const newsBuffer = 16

func newLeg(r *Request, a *Answer, n api.Attempt, p *peer, obs Observer) *leg {
	return &leg{
		key:    wire.Key{Request: r.ID, Attempt: n},
		req:    r,
		answer: a,
		target: p.target,
		inc:    p.inc,
		obs:    obs,
		news:   make(chan wire.Message, newsBuffer),
		to:     p.to,
	}
}

func (l *leg) link() sender {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to
}

func (l *leg) relink(to sender) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
	l.asked = 0
}

func (l *leg) tell(m wire.Message) {
	select {
	case l.news <- m:
	default:
		l.obs.Dropped("news_full")
	}
}

// onData takes items, on the link's reading goroutine.
func (l *leg) onData(m *wire.Data) {
	v, err := l.answer.accept(l.target, m)
	if err != nil {
		l.obs.Dropped("malformed")
		return
	}
	switch v {
	case stream.Gap:
		l.obs.Dropped("gap")
		l.refetch()
	case stream.Duplicate:
		l.obs.Dropped("duplicate")
	case stream.OtherGeneration:
		l.obs.Dropped("foreign")
	}
}

// refetch asks for the items from the first missing one on, once for each
// place: frames behind the gap keep arriving until the agent has heard.
func (l *leg) refetch() {
	next, _ := l.answer.received()
	l.mu.Lock()
	again := l.asked == next+1
	l.asked = next + 1
	to := l.to
	l.mu.Unlock()
	if !again {
		_ = to.Send(l.resume())
	}
}

func (l *leg) resume() *wire.Resume {
	off, gen := l.answer.received()
	return &wire.Resume{Key: l.key, Generation: gen, Customer: l.req.Size.Customer, Offset: off}
}

// legs finds the leg that a frame belongs to. It is split into shards so that
// the readers of different links seldom meet.
type legs struct {
	seed   maphash.Seed
	shards [legShards]legShard
}

const legShards = 64

type legShard struct {
	mu sync.RWMutex
	m  map[wire.Key]*leg
}

func newLegs() *legs {
	l := &legs{seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].m = make(map[wire.Key]*leg)
	}
	return l
}

func (l *legs) shard(r api.RequestID) *legShard {
	return &l.shards[maphash.String(l.seed, string(r))%legShards]
}

// add makes a leg known, unless another customer has one under the same key. A
// request's ID may become known to others: whoever quoted it would take the place
// of its owner's leg, and be given the frames that are on their way to it.
func (l *legs) add(g *leg) bool {
	s := l.shard(g.key.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.m[g.key]; other != nil && other.req.Size.Customer != g.req.Size.Customer {
		return false
	}
	s.m[g.key] = g
	return true
}

func (l *legs) remove(g *leg) {
	s := l.shard(g.key.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[g.key] == g {
		delete(s.m, g.key)
	}
}

// find gives the leg of a frame. A leg of attempt 0 belongs to a caller that came
// back and does not know the attempt; it is given the request's frames only once
// the agent, which checks whose request it is, has accepted it.
func (l *legs) find(k wire.Key) *leg {
	s := l.shard(k.Request)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if g := s.m[k]; g != nil {
		return g
	}
	if g := s.m[wire.Key{Request: k.Request}]; g != nil && g.heard.Load() {
		return g
	}
	return nil
}
