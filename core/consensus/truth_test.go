package consensus

import (
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

const simKeys = 3

// command writes one register.
type command struct {
	Call  uint64
	Key   int
	Value int
}

func (c command) encode() []byte {
	b, _ := Encode(c)
	return b
}

// registers is the replicated state machine: simKeys registers, and a digest of all
// entries applied so far, in order.
type registers struct {
	Values [simKeys]int
	Digest uint64
	index  uint64
}

func newRegisters() *registers { return &registers{} }

func (r *registers) encode() []byte {
	b, _ := Encode(r)
	return append(b, make([]byte, 300)...) // padding, so that a snapshot takes several chunks
}

func decodeRegisters(b []byte) *registers {
	r := newRegisters()
	if len(b) > 300 {
		_ = Decode(b[:len(b)-300], r)
	}
	return r
}

func entryDigest(prior uint64, e Entry) uint64 {
	b, _ := Encode(e)
	return xxhash.Sum64(append(b, byte(prior), byte(prior>>8), byte(prior>>16), byte(prior>>24), byte(prior>>32), byte(prior>>40), byte(prior>>48), byte(prior>>56)))
}

func (r *registers) apply(e Entry) {
	r.index = e.Index
	r.Digest = entryDigest(r.Digest, e)
	var c command
	if e.Type == EntryCommand && Decode(e.Data, &c) == nil {
		r.Values[c.Key] = c.Value
	}
}

// invariants records what all members of the group have done so far, and checks
// each new batch against it.
type invariants struct {
	leaders map[uint64]MemberID      // by term
	entries map[[2]uint64][2]uint64  // (index, term) → (digest, term of the preceding entry)
	commits map[uint64][2]uint64     // index → (term of the entry, term of the first member to apply it)
	digests map[uint64]uint64        // state digest after index
	voters  map[[2]uint64]Membership // unused
	highest uint64                   // highest committed index
}

func newInvariants() invariants {
	return invariants{map[uint64]MemberID{}, map[[2]uint64][2]uint64{}, map[uint64][2]uint64{}, map[uint64]uint64{}, map[[2]uint64]Membership{}, 0}
}

func (t *invariants) checkReady(s *sim, h *host, rd Ready) {
	if h.node.role == RoleLeader {
		t.checkLeader(s, h)
	}
	for _, e := range rd.Entries {
		t.checkEntry(s, h, e)
	}
	if h.node.log.commit < h.disk.HardState.Commit {
		s.fatalf("member %d: commit index decreased to %d", h.id, h.node.log.commit)
	}
}

// checkLeader checks that each term has at most one leader, and that a leader has
// all entries that were committed in earlier terms.
func (t *invariants) checkLeader(s *sim, h *host) {
	n := h.node
	if first, ok := t.leaders[n.term]; ok {
		if first != h.id {
			s.fatalf("term %d has leaders %d and %d", n.term, first, h.id)
		}
		return
	}
	t.leaders[n.term] = h.id
	for i := n.log.base + 1; i <= t.highest; i++ {
		c, ok := t.commits[i]
		if ok && c[1] < n.term && !n.log.matches(i, c[0]) {
			s.fatalf("leader %d of term %d lacks entry %d committed in term %d", h.id, n.term, i, c[1])
		}
	}
}

// checkEntry checks the log matching property: an index and term identify one entry
// and the term of its predecessor. It also checks that a membership entry adds or
// removes at most one voter.
func (t *invariants) checkEntry(s *sim, h *host, e Entry) {
	prior, _ := h.node.log.term(e.Index - 1)
	key := [2]uint64{e.Index, e.Term}
	val := [2]uint64{entryDigest(0, e), prior}
	if old, ok := t.entries[key]; ok {
		if old != val {
			s.fatalf("two different entries at index %d, term %d", e.Index, e.Term)
		}
		return
	}
	t.entries[key] = val
	if e.Type != EntryMembership {
		return
	}
	before, after := h.node.membershipHistory.at(e.Index-1), h.node.membershipHistory.at(e.Index)
	changed := 0
	for _, v := range after.Voters {
		if !before.IsVoter(v.ID) {
			changed++
		}
	}
	for _, v := range before.Voters {
		if !after.IsVoter(v.ID) {
			changed++
		}
	}
	if changed > 1 {
		s.fatalf("majorities of voters %v and of voters %v need not overlap", before.Voters, after.Voters)
	}
}

// checkCommitted checks that committed entries are applied in order without gaps,
// and that all members apply the same entry at an index.
func (t *invariants) checkCommitted(s *sim, h *host, e Entry, term uint64) {
	if e.Index != h.app.index+1 {
		s.fatalf("member %d applies %d after %d", h.id, e.Index, h.app.index)
	}
	if old, ok := t.commits[e.Index]; ok {
		if old[0] != e.Term {
			s.fatalf("index %d committed with terms %d and %d", e.Index, old[0], e.Term)
		}
		return
	}
	t.commits[e.Index] = [2]uint64{e.Term, term}
	t.highest = max(t.highest, e.Index)
}

// checkDigest checks that all members have the same state at the same index.
func (t *invariants) checkDigest(s *sim, h *host) {
	if d, ok := t.digests[h.app.index]; ok && d != h.app.Digest {
		s.fatalf("member %d: state at index %d differs from that of another member", h.id, h.app.index)
	}
	t.digests[h.app.index] = h.app.Digest
}

// call is one client call in progress.
type call struct {
	op         porcupine.Operation
	host       MemberID
	key        int
	index      uint64 // a read completes once this index is applied
	indexKnown bool   // the ReadState of a read has been received, so index is set
}

// clientCalls makes client calls to the registers and records their history.
type clientCalls struct {
	next    uint64
	waiting map[uint64]*call
	history []porcupine.Operation
}

type input struct {
	key   int
	write bool
	value int
}

// start makes one call to a member that considers itself the leader, unless four
// calls are in progress.
func (c *clientCalls) start(s *sim) {
	var able []*host
	for _, id := range s.order {
		if h := s.hosts[id]; h.node != nil && h.node.role == RoleLeader {
			able = append(able, h)
		}
	}
	if len(able) == 0 || len(c.waiting) >= 4 {
		return
	}
	h := able[s.rng.IntN(len(able))]
	c.next++
	in := input{key: s.rng.IntN(simKeys), write: s.rng.IntN(2) == 0, value: int(c.next)}
	var err error
	if in.write {
		err = h.node.Propose(command{Call: c.next, Key: in.key, Value: in.value}.encode())
	} else {
		err = h.node.ReadIndex(c.next)
	}
	if err == nil {
		c.waiting[c.next] = &call{host: h.id, key: in.key, op: porcupine.Operation{ClientId: int(c.next), Input: in, Call: 2 * int64(s.now)}}
	}
}

func (c *clientCalls) finish(s *sim, id uint64, out int) {
	k := c.waiting[id]
	k.op.Output, k.op.Return = out, 2*int64(s.now)+1
	c.history = append(c.history, k.op)
	delete(c.waiting, id)
}

// abandon ends a call with an unknown outcome. A write stays in the history as
// one that never returned, because it may still take effect.
func (c *clientCalls) abandon(id uint64) {
	if k := c.waiting[id]; k.op.Input.(input).write {
		k.op.Output, k.op.Return = 0, math.MaxInt64
		c.history = append(c.history, k.op)
	}
	delete(c.waiting, id)
}

func (c *clientCalls) each(f func(uint64, *call)) {
	ids := make([]uint64, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f(id, c.waiting[id])
	}
}

func (c *clientCalls) hostCrashed(s *sim, h MemberID) {
	c.each(func(id uint64, k *call) {
		if k.host == h {
			c.abandon(id)
		}
	})
}

func (c *clientCalls) expire(s *sim) {
	c.each(func(id uint64, k *call) {
		if 2*int64(s.now)-k.op.Call > int64(20*s.opt.electionTicks) {
			c.abandon(id)
		}
	})
}

func (c *clientCalls) applied(s *sim, h *host, e Entry) {
	var cmd command
	if e.Type == EntryCommand && Decode(e.Data, &cmd) == nil {
		if k := c.waiting[cmd.Call]; k != nil && k.host == h.id {
			c.finish(s, cmd.Call, 0)
		}
	}
	c.answerReads(s, h)
}

func (c *clientCalls) readsReady(s *sim, h *host, reads []ReadState) {
	for _, r := range reads {
		k := c.waiting[r.Ctx]
		if k == nil || k.host != h.id {
			continue
		}
		if r.Lost {
			c.abandon(r.Ctx)
			continue
		}
		k.index, k.indexKnown = r.Index, true
	}
	c.answerReads(s, h)
}

func (c *clientCalls) answerReads(s *sim, h *host) {
	c.each(func(id uint64, k *call) {
		if k.indexKnown && k.host == h.id && h.app.index >= k.index {
			c.finish(s, id, h.app.Values[k.key])
		}
	})
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, simKeys)
		for _, op := range history {
			k := op.Input.(input).key
			parts[k] = append(parts[k], op)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op := in.(input)
		if op.write {
			return true, op.value
		}
		return out.(int) == state.(int), state
	},
}
