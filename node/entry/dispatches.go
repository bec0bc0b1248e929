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

// dispatch is one attempt of a request at one agent, or a returning caller's
// attachment to a running request.
type dispatch struct {
	key    wire.Key
	req    *Request
	answer *Answer
	target api.TargetID
	inc    api.Incarnation
	obs    Observer
	echo   time.Duration // reading of the agent's clock that goes with a claimed call
	// acceptReceived is set on the link's reading goroutine when the agent's
	// Accepted arrives. On a busy machine, the goroutine that drives the request
	// may process that message much later. If it went by its own state, its timeout
	// would send a tombstone for a request that is running, and the agent would end
	// it.
	acceptReceived atomic.Bool
	// badHead is set once the agent has reported a head that is no final response's.
	badHead atomic.Bool
	// received carries the agent's messages, other than items, valid heads and states, to
	// the goroutine that drives the request. A message that finds the buffer full
	// is dropped. It can only be a repetition, because an attempt needs fewer
	// messages than the buffer holds.
	received chan wire.Message

	mu              sync.Mutex
	link            sender
	resumeRequested uint64 // offset of the last Resume for missing items, plus one; 0 for none on this link
}

const messageBuffer = 16

func newDispatch(r *Request, a *Answer, n api.Attempt, p *peer, obs Observer) *dispatch {
	return &dispatch{
		key:      wire.Key{Request: r.ID, Attempt: n},
		req:      r,
		answer:   a,
		target:   p.target,
		inc:      p.inc,
		obs:      obs,
		received: make(chan wire.Message, messageBuffer),
		link:     p.link,
	}
}

// currentLink returns the link that the dispatch uses now.
func (d *dispatch) currentLink() sender {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.link
}

// relink switches the dispatch to a new link of its agent.
func (d *dispatch) relink(link sender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.link = link
	d.resumeRequested = 0
}

// deliver passes a message to the goroutine that drives the request, or drops it if
// the buffer is full.
func (d *dispatch) deliver(m wire.Message) {
	select {
	case d.received <- m:
	default:
		d.obs.Dropped("news_full")
	}
}

// onData processes items. It runs on the link's reading goroutine.
func (d *dispatch) onData(m *wire.Data) {
	if d.badHead.Load() {
		return
	}
	v, err := d.answer.accept(d.target, m)
	if err != nil {
		d.obs.Dropped("malformed")
		return
	}
	switch v {
	case stream.Gap:
		d.obs.Dropped("gap")
		d.requestMissing()
	case stream.Duplicate:
		d.obs.Dropped("duplicate")
	case stream.OtherGeneration:
		d.obs.Dropped("foreign")
	}
}

// requestMissing requests the items from the first missing one on. It does so once
// per offset and link, because frames behind the gap keep arriving until the agent
// has processed the request.
func (d *dispatch) requestMissing() {
	next, _ := d.answer.nextOffset()
	d.mu.Lock()
	again := d.resumeRequested == next+1
	d.resumeRequested = next + 1
	link := d.link
	d.mu.Unlock()
	if !again {
		_ = link.Send(d.resume())
	}
}

// resume returns the message that requests all items from the next expected one on.
func (d *dispatch) resume() *wire.Resume {
	off, gen := d.answer.nextOffset()
	return &wire.Resume{Key: d.key, Generation: gen, Customer: d.req.Size.Customer, Offset: off}
}

// dispatches maps keys to dispatches, to find the dispatch that a frame belongs to.
// It is split into shards so that the reading goroutines of different links seldom
// contend for a lock.
type dispatches struct {
	seed   maphash.Seed
	shards [dispatchShards]dispatchShard
}

const dispatchShards = 64

type dispatchShard struct {
	mu sync.RWMutex
	m  map[wire.Key]*dispatch
}

func newDispatches() *dispatches {
	ds := &dispatches{seed: maphash.MakeSeed()}
	for i := range ds.shards {
		ds.shards[i].m = make(map[wire.Key]*dispatch)
	}
	return ds
}

func (ds *dispatches) shard(r api.RequestID) *dispatchShard {
	return &ds.shards[maphash.String(ds.seed, string(r))%dispatchShards]
}

// add adds a dispatch, unless another customer has one under the same key. Other
// customers may learn the ID of a request. Without this check, one that uses the ID
// would replace the owner's dispatch and receive the frames that are on their way
// to the owner.
func (ds *dispatches) add(d *dispatch) bool {
	s := ds.shard(d.key.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.m[d.key]; other != nil && other.req.Size.Customer != d.req.Size.Customer {
		return false
	}
	s.m[d.key] = d
	return true
}

func (ds *dispatches) remove(d *dispatch) {
	s := ds.shard(d.key.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[d.key] == d {
		delete(s.m, d.key)
	}
}

// find returns the dispatch that a frame belongs to, or nil. A dispatch of attempt
// 0 belongs to a caller that came back and does not know the number of the attempt.
// It gets the frames of the request only after the agent, which checks that the
// request is the customer's own, has accepted it, and from then on in place of the
// dispatch that the caller has left.
func (ds *dispatches) find(k wire.Key) *dispatch {
	s := ds.shard(k.Request)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if d := s.m[wire.Key{Request: k.Request}]; d != nil && d.acceptReceived.Load() {
		return d
	}
	return s.m[k]
}

// exact returns the dispatch with a key, or nil.
func (ds *dispatches) exact(k wire.Key) *dispatch {
	s := ds.shard(k.Request)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.m[k]
}
