package control

import (
	"context"
	"fmt"
	"time"

	"almondseam.dev/core/consensus"
)

// disturb brings about one disturbance and waits until no machine counts as lost.
func (h *history) disturb() {
	steps := []func(){
		h.burst, h.burst, h.replace, h.replace, h.loseDisk, h.loseDisk, h.shelve, h.restartOne, h.restartSome, h.restartAll,
		h.slowDisks, h.cutOne, h.cutOne, h.splitGroup, h.restartEntries,
	}
	steps[h.rng.IntN(len(steps))]()
	if h.rng.IntN(3) == 0 {
		h.pause(0, h.apart)
		h.withoutLoss()
	}
	h.net.healAll()
	for _, m := range h.inService() {
		m.start()
	}
	h.pause(h.apart, 2*time.Second)
}

// withoutLoss brings about a disturbance that loses no disk.
func (h *history) withoutLoss() {
	steps := []func(){h.restartOne, h.restartSome, h.restartAll, h.slowDisks, h.cutOne, h.splitGroup, h.restartEntries}
	steps[h.rng.IntN(len(steps))]()
}

func (h *history) inService() []*simMachine {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*simMachine
	for _, m := range h.machines {
		if !m.retired {
			out = append(out, m)
		}
	}
	return out
}

// anyInService returns a machine, in half of the cases the leader's.
func (h *history) anyInService() *simMachine {
	if h.rng.IntN(2) == 0 {
		if m := h.machineThatLeads(true); m != nil {
			return m
		}
	}
	list := h.inService()
	return list[h.rng.IntN(len(list))]
}

// machineThatLeads returns the first machine whose member leads, or the first whose member does not.
func (h *history) machineThatLeads(leads bool) *simMachine {
	for _, m := range h.inService() {
		if _, role := m.role(); role != nil && (role.Member().Status().Role == consensus.RoleLeader) == leads {
			return m
		}
	}
	return nil
}

func (h *history) anyStop() stopMode {
	return []stopMode{stopTerm, stopKill, stopPower}[h.rng.IntN(3)]
}

// exchange puts another machine's address in the place of one in the seeds.
func (h *history) exchange(old, next string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seeds := make([]string, 0, len(h.seeds))
	for _, s := range h.seeds {
		if s == old {
			s = next
		}
		seeds = append(seeds, s)
	}
	h.seeds = seeds
}

// replace takes a machine away for good and adds an empty one at another address.
func (h *history) replace() {
	m := h.anyInService()
	h.takeAway(m)
	h.mu.Lock()
	m.left = time.Now()
	h.mu.Unlock()
}

// reuseAfter is the time after which the address of a machine that was taken away may be used again.
const reuseAfter = 2 * time.Second

// successor adds a machine, at times at an address that another machine has left.
func (h *history) successor() *simMachine {
	reuse := h.rng.IntN(2) == 0
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.machines {
		if reuse && !m.left.IsZero() && time.Since(m.left) > reuseAfter {
			m.left = time.Time{}
			return h.addMachineAt(m.name, false)
		}
	}
	return h.addMachineAt(fmt.Sprint("control-", len(h.machines)+1), false)
}

func (h *history) takeAway(m *simMachine) *simMachine {
	m.stop(h.anyStop())
	h.mu.Lock()
	m.retired = true
	h.mu.Unlock()
	if h.rng.IntN(2) == 0 {
		h.pause(0, 2*time.Second)
	}
	next := h.successor()
	if h.rng.IntN(2) == 0 {
		h.exchange(m.addr, next.addr)
		next.start()
		return next
	}
	next.start()
	h.pause(0, 3*time.Second)
	h.exchange(m.addr, next.addr)
	return next
}

// loseDisk restarts a machine at its address with an empty disk.
func (h *history) loseDisk() {
	m := h.anyInService()
	m.stop([]stopMode{stopKill, stopPower}[h.rng.IntN(2)])
	m.wipe()
	h.pause(0, 3*time.Second)
	if h.rng.IntN(3) == 0 {
		h.restartAll()
	}
	m.start()
}

// shelve takes a machine out, replaces the others in turn and brings it back with its disk.
func (h *history) shelve() {
	old := h.anyInService()
	others := h.inService()
	h.takeAway(old)
	h.pause(h.apart, 2*time.Second)
	for _, m := range others {
		if m != old && h.rng.IntN(4) > 0 {
			h.takeAway(m)
			h.pause(h.apart, 2*time.Second)
		}
	}
	h.note("%s is back", old.name)
	old.start()
	h.pause(h.apart, 4*time.Second)
	old.stop(stopKill)
}

// burst ends all members while many versions wait for slow disks, and sends more as soon as they are
// back.
func (h *history) burst() {
	ctx, cancel := context.WithTimeout(context.Background(), catchUp)
	h.wg.Go(func() {
		<-ctx.Done()
		cancel()
	})
	for range 2 + h.rng.IntN(3) {
		for _, m := range h.inService() {
			m.slowDisk(time.Duration(1+h.rng.Int64N(int64(burstSync))), 0)
		}
		h.pause(200*time.Millisecond, time.Second)
		for i := range uint64(2 + h.rng.IntN(burstSize)) {
			h.mu.Lock()
			h.next++
			version := h.next
			h.mu.Unlock()
			h.wg.Go(func() { h.put(ctx, "carl", version, h.seed+i) })
		}
		h.pause(0, 300*time.Millisecond)
		how := []stopMode{stopKill, stopPower}[h.rng.IntN(2)]
		list := h.inService()
		for _, m := range list {
			m.stop(how)
		}
		for _, i := range h.rng.Perm(len(list)) {
			list[i].start()
			list[i].slowDisk(time.Duration(1+h.rng.Int64N(int64(burstSync))), 0)
		}
	}
	for _, m := range h.inService() {
		m.slowDisk(0, 0)
	}
}

const (
	// burstSize bounds the number of versions in a burst, and burstSync the time of a sync meanwhile.
	burstSize = 12
	burstSync = 300 * time.Millisecond
)

func (h *history) restartOne() {
	m := h.anyInService()
	m.stop(h.anyStop())
	h.pause(0, 4*time.Second)
	m.start()
}

// restartSome stops machines soon one after the other.
func (h *history) restartSome() {
	for range 2 + h.rng.IntN(3) {
		m := h.anyInService()
		m.stop(h.anyStop())
		if h.rng.IntN(2) == 0 {
			m.start()
		}
		h.pause(0, 1500*time.Millisecond)
	}
	for _, m := range h.inService() {
		h.pause(0, time.Second)
		m.start()
	}
}

// restartAll ends all processes, entries among them, and starts them again.
func (h *history) restartAll() {
	how := []stopMode{stopKill, stopPower}[h.rng.IntN(2)]
	list := h.inService()
	for _, m := range list {
		m.stop(how)
	}
	for _, e := range h.entries {
		if h.rng.IntN(4) > 0 {
			e.stop(how == stopPower)
		}
	}
	h.pause(0, 2*time.Second)
	for _, i := range h.rng.Perm(len(list)) {
		list[i].start()
		h.pause(0, 500*time.Millisecond)
	}
	for _, e := range h.entries {
		e.start()
		h.pause(0, 300*time.Millisecond)
	}
}

func (h *history) slowDisks() {
	all := h.rng.IntN(3) == 0
	for _, m := range h.inService() {
		if all || h.rng.IntN(3) == 0 {
			m.slowDisk(time.Duration(1+h.rng.Int64N(int64(200*time.Millisecond))), time.Duration(h.rng.Int64N(int64(4*time.Second))))
		}
	}
	h.pause(time.Second, 5*time.Second)
	for _, m := range h.inService() {
		m.slowDisk(0, 0)
	}
}

// names returns the names of all machines and entries.
func (h *history) names() []string {
	var out []string
	for _, m := range h.inService() {
		out = append(out, m.name)
	}
	for _, e := range h.entries {
		out = append(out, e.name)
	}
	return out
}

// cutOne cuts a machine off, in both directions or one, from all or from the other members.
func (h *history) cutOne() {
	m := h.anyInService()
	direction := h.rng.IntN(3)
	entriesToo := h.rng.IntN(2) == 0
	h.note("%s is cut off, direction %d, entries too: %v", m.name, direction, entriesToo)
	for _, other := range h.names()[:len(h.inService())] {
		h.cutBetween(m.name, other, direction)
	}
	for _, e := range h.entries {
		if entriesToo {
			h.cutBetween(m.name, e.name, direction)
		}
	}
	h.pause(500*time.Millisecond, 6*time.Second)
	if h.rng.IntN(2) == 0 {
		h.net.healAll()
	}
}

func (h *history) cutBetween(a, b string, direction int) {
	if a == b {
		return
	}
	if direction != 1 {
		h.net.setCut(a, b, true)
	}
	if direction != 2 {
		h.net.setCut(b, a, true)
	}
}

// splitGroup cuts members off from each other; entries reach them all.
func (h *history) splitGroup() {
	h.note("the members are split")
	side := make(map[string]bool)
	list := h.inService()
	for _, m := range list {
		side[m.name] = h.rng.IntN(2) == 0
	}
	for _, a := range list {
		for _, b := range list {
			if side[a.name] != side[b.name] {
				h.net.setCut(a.name, b.name, true)
			}
		}
	}
	h.pause(500*time.Millisecond, 5*time.Second)
	h.net.healAll()
}

func (h *history) restartEntries() {
	for _, e := range h.entries {
		if h.rng.IntN(2) == 0 {
			e.stop(h.rng.IntN(2) == 0)
			h.pause(0, time.Second)
			e.start()
		}
	}
}

// finalFault ends a history right after a version was acknowledged.
func (h *history) finalFault() {
	h.mu.Lock()
	before := h.confirmed
	h.mu.Unlock()
	for range 400 {
		time.Sleep(10 * time.Millisecond)
		h.mu.Lock()
		acknowledged := h.confirmed > before
		h.mu.Unlock()
		if acknowledged {
			break
		}
	}
	h.note("final fault")
	switch h.rng.IntN(4) {
	case 0:
		h.restartAll()
	case 1:
		h.loseDisk()
	default:
		m := h.anyInService()
		for _, other := range h.inService() {
			other.stop(stopPower)
		}
		m.wipe()
		h.restartAll()
	}
}
