package control

import (
	"fmt"
	"testing"
	"time"
)

// replaceNow takes a machine away for good, and starts its successor at once at another address.
func (h *history) replaceNow(m *simMachine, how stopMode) *simMachine {
	m.stop(how)
	m.retired = true
	next := h.addMachine(false)
	h.exchange(m.addr, next.addr)
	next.start()
	return next
}

// loseDiskNow restarts a machine with an empty disk at once.
func (h *history) loseDiskNow(m *simMachine) {
	m.stop(stopPower)
	m.wipe()
	m.start()
}

// inTurn loses machines that lead, or that do not, as soon as the one before no longer counts as lost.
func (h *history) inTurn(t *testing.T, leads bool, lose func(*simMachine)) {
	t.Helper()
	for range 2 * founders {
		m := h.machineThatLeads(leads)
		if m == nil {
			t.Error("the group has no leader")
			return
		}
		lose(m)
		time.Sleep(catchUp)
	}
	h.checkWhole(t)
}

// Each machine in turn is lost as soon as the successor before no longer counts as lost: the group loses
// its majority on the way.
func TestGroupOutlivesReplacementsInSeries(t *testing.T) {
	for _, leads := range []bool{true, false} {
		for _, how := range []stopMode{stopTerm, stopKill, stopPower} {
			playWith(t, fmt.Sprintf("elsewhere, leader %v, %s", leads, how), func(t *testing.T, h *history) {
				h.inTurn(t, leads, func(m *simMachine) { h.replaceNow(m, how) })
			})
		}
		playWith(t, fmt.Sprintf("same address, leader %v", leads), func(t *testing.T, h *history) {
			h.inTurn(t, leads, h.loseDiskNow)
		})
	}
}

// Power fails everywhere while a successor joins: the new leader, which did not see how the lost voter
// fell silent, lets it count until the next loss.
func TestGroupOutlivesPowerLossDuringReplacement(t *testing.T) {
	const step, last = 250 * time.Millisecond, 3 * time.Second
	for after := time.Duration(0); after <= last; after += step {
		for _, leads := range []bool{true, false} {
			playWith(t, fmt.Sprintf("%v after, leader %v", after, leads), func(t *testing.T, h *history) {
				h.replaceNow(h.machineThatLeads(leads), stopPower)
				time.Sleep(after)
				for _, m := range h.inService() {
					m.stop(stopPower)
				}
				for _, m := range h.inService() {
					m.start()
				}
				time.Sleep(catchUp)
				h.loseDiskNow(h.inService()[0])
				time.Sleep(catchUp)
				h.checkWhole(t)
			})
		}
	}
}
