package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simOptions configures one simulation run. Faults are given as probabilities per
// tick or per message.
type simOptions struct {
	voters                            int
	loss, duplicate, crash, partition float64
	delay, saveDelay                  int // maximum ticks in transit, and for a save
	changes, compact, transfers       float64
	maxCalls                          int // no call starts once this many are in the history
	electionTicks, batch, window      int // Config's ElectionTicks, MaxBatchBytes and MaxInflight
	early                             bool
}

type link struct{ from, to MemberID }

// host is the process and the disk of one member.
type host struct {
	id           MemberID
	disk         Restored
	node         *Node  // nil while down
	rd           *Ready // batch being saved, nil if none
	saveDoneTick int    // tick at which that save is done
	app          *registers
}

// sim simulates a group of members on an unreliable network in virtual time. All
// randomness is derived from the seed.
type sim struct {
	t            testing.TB
	name         string
	rng          *rand.Rand
	opt          simOptions
	now          int
	hosts        map[MemberID]*host
	order        []MemberID        // keys of hosts in order of addition, so that runs repeat
	inTransit    map[int][]Message // by tick of delivery
	blockedLinks map[link]bool
	invariants   invariants
	calls        *clientCalls
}

func newSim(t testing.TB, seed uint64, opt simOptions) *sim {
	s := &sim{
		t: t, name: fmt.Sprintf("seed %d", seed), rng: rand.New(rand.NewPCG(seed, 0xa1)), opt: opt,
		hosts: map[MemberID]*host{}, inTransit: map[int][]Message{}, blockedLinks: map[link]bool{}, invariants: newInvariants(),
	}
	s.calls = &clientCalls{waiting: map[uint64]*call{}}
	var m Membership
	for i := 1; i <= opt.voters; i++ {
		m.Voters = append(m.Voters, Member{ID: MemberID(i), Addr: fmt.Sprint("m", i)})
	}
	first, err := Bootstrap(m, newRegisters().encode())
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= opt.voters; i++ {
		s.addHost(MemberID(i), first)
	}
	return s
}

func (s *sim) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s, tick %d: %s", s.name, s.now, fmt.Sprintf(format, args...))
}

func (s *sim) addHost(id MemberID, r Restored) *host {
	h := &host{id: id, disk: r}
	s.hosts[id] = h
	s.order = append(s.order, id)
	s.start(h)
	return h
}

func (s *sim) start(h *host) {
	n, err := New(Config{
		ID: h.id, ElectionTicks: s.opt.electionTicks, HeartbeatTicks: s.opt.electionTicks / 5, MaxBatchBytes: s.opt.batch,
		MaxInflight: s.opt.window, MaxUncommittedBytes: 20 * s.opt.batch, KeepEntries: 4, EarlySend: s.opt.early, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
	}, Restored{HardState: h.disk.HardState, Snapshot: h.disk.Snapshot, Entries: slices.Clone(h.disk.Entries)})
	if err != nil {
		s.fatalf("member %d: %v", h.id, err)
	}
	h.node, h.rd = n, nil
	h.app = decodeRegisters(h.disk.Snapshot.Data)
	h.app.index = h.disk.Snapshot.Index
}

// crash stops a member, which loses all unsaved state. The entries of a save in
// progress may have been written in part, without the hard state.
func (s *sim) crash(h *host) {
	if h.node == nil {
		return
	}
	if h.rd != nil && h.rd.Snapshot == nil && s.rng.IntN(2) == 0 {
		h.disk.save(HardState{}, h.rd.Entries[:s.rng.IntN(len(h.rd.Entries)+1)])
	}
	h.node, h.rd = nil, nil
	s.calls.hostCrashed(s, h.id)
}

func (r *Restored) save(hs HardState, entries []Entry) {
	if len(entries) > 0 {
		keep := entries[0].Index - r.Snapshot.Index - 1
		r.Entries = append(r.Entries[:keep:keep], entries...)
	}
	if hs.Term > 0 {
		r.HardState = hs
	}
}

func (r *Restored) saveSnapshot(sn Snapshot) {
	last := r.Snapshot.Index + uint64(len(r.Entries))
	if sn.Index <= last && sn.Index > r.Snapshot.Index && r.Entries[sn.Index-r.Snapshot.Index-1].Term == sn.Term {
		r.Entries = slices.Clone(r.Entries[sn.Index-r.Snapshot.Index:])
	} else {
		r.Entries = nil
	}
	r.Snapshot = sn
	r.HardState.Commit = max(r.HardState.Commit, sn.Index)
}

// processReady processes Ready batches in the order that the package comment
// requires. It returns while a save is in progress.
func (s *sim) processReady(h *host) {
	for h.node != nil {
		if h.rd == nil {
			if !h.node.HasReady() {
				return
			}
			rd := h.node.Ready()
			h.rd, h.saveDoneTick = &rd, s.now+s.rng.IntN(s.opt.saveDelay+1)
			s.invariants.checkReady(s, h, rd)
			for _, m := range rd.Early {
				s.sendMessage(m)
			}
		}
		if h.saveDoneTick > s.now {
			return
		}
		s.finishReady(h)
	}
}

// finishReady completes the save of a batch and carries out the steps after it.
func (s *sim) finishReady(h *host) {
	rd := h.rd
	if rd.Snapshot != nil {
		h.disk.saveSnapshot(*rd.Snapshot)
		h.app = decodeRegisters(rd.Snapshot.Data)
		h.app.index = rd.Snapshot.Index
		s.invariants.checkDigest(s, h)
	}
	h.disk.save(rd.HardState, rd.Entries)
	h.rd = nil
	if s.rng.Float64() < s.opt.crash {
		s.crash(h)
		return
	}
	for _, m := range rd.Messages {
		s.sendMessage(m)
	}
	for _, e := range rd.Committed {
		s.invariants.checkCommitted(s, h, e, rd.HardState.Term)
		h.app.apply(e)
		s.invariants.checkDigest(s, h)
		s.calls.applied(s, h, e)
	}
	s.calls.readsReady(s, h, rd.Reads)
	h.node.Advance()
	if s.rng.Float64() < s.opt.compact && h.app.index > h.node.log.snap.Index {
		sn, err := h.node.Compact(h.app.index, h.app.encode())
		if err != nil {
			s.fatalf("compact: %v", err)
		}
		h.disk.saveSnapshot(sn)
	}
}

func (s *sim) sendMessage(m Message) {
	copies := 1
	if s.rng.Float64() < s.opt.duplicate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() >= s.opt.loss {
			at := s.now + 1 + s.rng.IntN(s.opt.delay)
			s.inTransit[at] = append(s.inTransit[at], m)
		}
	}
}

func (s *sim) deliver() {
	due := s.inTransit[s.now]
	delete(s.inTransit, s.now)
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		h := s.hosts[m.To]
		if h == nil || h.node == nil || s.blockedLinks[link{m.From, m.To}] {
			continue
		}
		if err := h.node.Step(m); err != nil {
			s.fatalf("step %+v: %v", m, err)
		}
		s.processReady(h)
	}
}

// tick advances virtual time by one tick. Each member's clock misses one tick in
// 20 at random, so that the clocks run at slightly different rates.
func (s *sim) tick() {
	s.now++
	s.deliver()
	for _, id := range s.order {
		h := s.hosts[id]
		if h.node != nil && s.rng.IntN(20) > 0 {
			h.node.Tick()
		}
		s.processReady(h)
	}
}

func (s *sim) run(ticks int) {
	for range ticks {
		s.tick()
	}
}

// isolate blocks all messages to id and, unless oneWay is set, all messages from id.
func (s *sim) isolate(id MemberID, oneWay bool) {
	for _, o := range s.order {
		s.blockedLinks[link{o, id}] = true
		s.blockedLinks[link{id, o}] = !oneWay
	}
}

// heal unblocks all links and restarts all crashed members.
func (s *sim) heal() {
	s.blockedLinks = map[link]bool{}
	for _, id := range s.order {
		if h := s.hosts[id]; h.node == nil {
			s.start(h)
		}
	}
}

// leader returns the running leader with the highest term, or nil if there is none.
func (s *sim) leader() *host {
	var best *host
	for _, id := range s.order {
		h := s.hosts[id]
		if h.node != nil && h.node.role == RoleLeader && (best == nil || h.node.term > best.node.term) {
			best = h
		}
	}
	return best
}

// runUntil advances time until done returns true, and fails the test if that takes
// more than the given ticks.
func (s *sim) runUntil(what string, ticks int, done func() bool) {
	s.t.Helper()
	for range ticks {
		if done() {
			return
		}
		s.tick()
	}
	s.fatalf("not within %d ticks: %s", ticks, what)
}

// injectFaults injects the random faults of one tick.
func (s *sim) injectFaults() {
	for _, id := range s.order {
		h := s.hosts[id]
		switch {
		case h.node == nil && s.rng.Float64() < 0.1:
			s.start(h)
		case h.node != nil && s.rng.Float64() < s.opt.crash:
			s.crash(h)
		}
	}
	if s.rng.Float64() < s.opt.partition {
		s.isolate(s.order[s.rng.IntN(len(s.order))], s.rng.IntN(2) == 0)
	}
	if s.rng.Float64() < s.opt.partition {
		a, b := s.order[s.rng.IntN(len(s.order))], s.order[s.rng.IntN(len(s.order))]
		s.blockedLinks[link{a, b}] = true
	}
	if s.rng.Float64() < 2*s.opt.partition {
		s.blockedLinks = map[link]bool{}
	}
	if h := s.leader(); h != nil {
		s.randomOperatorAction(h)
	}
}

// randomOperatorAction simulates an operator who transfers leadership and changes
// the membership. The leader may reject either, which is part of the run.
func (s *sim) randomOperatorAction(h *host) {
	m := h.node.members()
	if s.rng.Float64() < s.opt.transfers {
		_ = h.node.TransferLeadership(m.Voters[s.rng.IntN(len(m.Voters))].ID)
	}
	if s.rng.Float64() >= s.opt.changes {
		return
	}
	all := slices.Concat(m.Voters, m.Learners)
	switch {
	case len(m.Learners) > 0 && s.rng.IntN(4) > 0:
		_ = h.node.ProposeChange(Change{Type: ChangePromote, ID: m.Learners[0].ID})
	case len(all) <= s.opt.voters:
		id := MemberID(len(s.order) + 1)
		if h.node.ProposeChange(Change{Type: ChangeAddLearner, ID: id, Addr: fmt.Sprint("m", id)}) == nil {
			s.addHost(id, Restored{})
		}
	case len(m.Voters) > s.opt.voters-1:
		_ = h.node.ProposeChange(Change{Type: ChangeRemove, ID: all[s.rng.IntN(len(all))].ID})
	}
}

// healAndConverge ends all faults and requires that the group recovers: a leader
// accepts a command, and all members apply the whole log and reach the same state.
func (s *sim) healAndConverge() {
	s.t.Helper()
	s.heal()
	s.opt.loss, s.opt.duplicate, s.opt.crash, s.opt.compact = 0, 0, 0, 0
	s.runUntil("a write commits after healing", 100*s.opt.electionTicks, func() bool {
		h := s.leader()
		return h != nil && h.node.log.commit >= h.node.lead.termStart && h.node.Propose([]byte("no register command")) == nil
	})
	s.runUntil("all members apply the same log", 100*s.opt.electionTicks, func() bool {
		h := s.leader()
		if h == nil || h.node.log.applied != h.node.log.last() {
			return false
		}
		m := h.node.members()
		for _, x := range slices.Concat(m.Voters, m.Learners) {
			o := s.hosts[x.ID]
			if o.app.index != h.app.index || o.app.Digest != h.app.Digest {
				return false
			}
		}
		return true
	})
}
