package control

import (
	"context"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

const (
	// defaultHistories is the number of histories to play if historiesVariable sets no other.
	defaultHistories  = 2
	historiesVariable = "ALMONDSEAM_HISTORIES"
	// firstVariable sets the seed of the first history, and traceVariable prints the record of each.
	firstVariable = "ALMONDSEAM_FIRST_HISTORY"
	traceVariable = "ALMONDSEAM_TRACE"
)

func numberOf(variable string, other int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return other
}

// Confirmed versions are lost, read back older or not put in force while members are replaced and
// processes, machines and disks fail.
func TestConfirmedVersionsHoldInAllHistories(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts a goroutine that never ends, outside of the bubbles
	first := numberOf(firstVariable, 0)
	for seed := first; seed < first+numberOf(historiesVariable, defaultHistories); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newHistory(t, uint64(seed)).play() })
		})
	}
}

func (h *history) play() {
	ctx, cancel := context.WithCancel(context.Background())
	h.found()
	for i, operator := range []string{"ana", "ben"} {
		h.wg.Go(func() { h.operate(ctx, operator, uint64(i)) })
	}
	h.wg.Go(func() { h.read(ctx) })
	h.wg.Go(func() { h.watchEntries(ctx) })
	h.pause(5*time.Second, 0)
	for range 3 + h.rng.IntN(4) {
		h.disturb()
		if h.rng.IntN(4) == 0 {
			h.calmDown()
		}
	}
	h.finalFault()
	h.calmDown()
	h.mu.Lock()
	before := h.confirmed
	h.mu.Unlock()
	h.pause(3*time.Second, 0)
	cancel()
	time.Sleep(propagation + operatorTimeout)
	h.checkEnd(before)
	h.stopEverything()
	if h.t.Failed() || os.Getenv(traceVariable) != "" {
		for _, line := range h.log {
			h.t.Log(line)
		}
	}
}

const founders, entries = 3, 4

func (h *history) found() { h.foundWith(entries) }

// foundWith starts the founders and a number of entries.
func (h *history) foundWith(entries int) {
	for range founders {
		m := h.addMachine(true)
		h.seeds = append(h.seeds, m.addr)
	}
	for _, m := range h.machines {
		m.start()
	}
	for range entries {
		h.addEntry()
	}
	for _, e := range h.entries {
		e.start()
	}
}

// pause waits for least and at most most more.
func (h *history) pause(least, most time.Duration) {
	time.Sleep(least + time.Duration(h.rng.Int64N(int64(most)+1)))
}

// calmDown ends all disturbances and waits until everything that was confirmed has to be in force.
func (h *history) calmDown() {
	h.net.healAll()
	for _, m := range h.machines {
		m.slowDisk(0, 0)
		if !m.retired {
			m.start()
		}
	}
	for _, e := range h.entries {
		e.start()
	}
	h.note("calm")
	h.calm()
	h.pause(recovery+propagation+2*time.Second, 0)
	h.disturbed()
}

func (m *simMachine) slowDisk(maxSync, stall time.Duration) {
	m.h.mu.Lock()
	defer m.h.mu.Unlock()
	if m.process != nil {
		m.process.disk.slow(max(maxSync, 2*time.Millisecond), stall)
	}
}

// checkEnd checks that everything that was confirmed is read back and in force, and that the
// group accepts versions again.
func (h *history) checkEnd(before uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	for _, m := range h.inService() {
		qt.Check(h.t, h.readOnce(ctx, m), qt.IsTrue, qt.Commentf("seed %d: %s does not answer a read", h.seed, m.name))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed <= before {
		h.failLocked("no version was accepted after the end of all faults")
	}
	for _, e := range h.entries {
		if e.served < h.confirmed {
			h.failLocked("at the end %s serves version %d; version %d was confirmed", e.name, e.served, h.confirmed)
		}
	}
}

func (h *history) stopEverything() {
	for _, e := range h.entries {
		e.stop(false)
	}
	for _, m := range h.machines {
		m.stop(stopKill)
	}
	h.wg.Wait()
	// The HTTP servers end their last goroutines some time after they have been shut down.
	time.Sleep(time.Minute)
}
