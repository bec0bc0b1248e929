package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

const (
	// slowRate is 10 Mbit/s, in bytes per second.
	slowRate = 10_000_000 / 8
	// acknowledgement is the time in which a document is acknowledged, with routeTime for each of
	// its routes.
	acknowledgement = 4 * time.Second
	routeTime       = 3 * time.Millisecond
	// routeBytes is the size of a route in a document.
	routeBytes = 190
	largeBytes = 3 << 20
)

func largeDocument(version uint64, size int) []byte {
	head := document(version, "ana")
	return append(head, strings.Repeat(" ", size-len(head))...)
}

// A document of 3 MiB over links of 10 Mbit/s costs the leader its leadership, is acknowledged late, or
// is lost by restarts.
func TestLargeDocumentOverSlowLinks(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts a goroutine that never ends, outside of the bubble
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 1)
		h.limits.Config.MaxDocument = 4 << 20
		h.foundWith(1)
		time.Sleep(5 * time.Second)
		h.net.mu.Lock()
		h.net.rate = slowRate
		h.net.mu.Unlock()
		h.putLarge(h.machineThatLeads(false), 1)
		h.putLarge(h.machineThatLeads(true), 2)
		h.net.mu.Lock()
		h.net.rate = 0
		h.net.mu.Unlock()
		const last = 2 + snapshotBytes/largeBytes + 1
		for version := uint64(3); version <= last; version++ {
			h.putLarge(h.machineThatLeads(version%2 == 0), version)
		}
		for _, m := range h.machines {
			m.stop(stopPower)
		}
		for _, m := range h.machines {
			m.start()
		}
		time.Sleep(recovery)
		h.checkEnd(last - 1)
		_, role := h.machineThatLeads(true).role()
		qt.Check(t, role.Member().Status().SnapshotIndex > 1, qt.IsTrue)
		h.stopEverything()
		if t.Failed() {
			for _, line := range h.log {
				t.Log(line)
			}
		}
	})
}

// putLarge puts a version of 3 MiB at a machine and checks that it is acknowledged in time, by the leader
// that the group had before, and reaches the entries.
func (h *history) putLarge(m *simMachine, version uint64) {
	h.t.Helper()
	_, role := m.role()
	before := role.Member().Status()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), acknowledgement+largeBytes/routeBytes*routeTime)
	defer cancel()
	qt.Check(h.t, m.put(ctx, version, largeDocument(version, largeBytes)), qt.IsNil, qt.Commentf("version %d after %v", version, time.Since(began)))
	h.accepted(m.name, version)
	h.t.Logf("version %d is acknowledged after %v", version, time.Since(began))
	time.Sleep(operatorTimeout)
	after := role.Member().Status()
	qt.Check(h.t, after.Term, qt.Equals, before.Term)
	qt.Check(h.t, after.Leader, qt.Equals, before.Leader)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.entries {
		qt.Check(h.t, e.served, qt.Equals, version, qt.Commentf("%s", e.name))
	}
}

// What is above the limit is passed to the leader or appended to the log before it is refused.
func TestTooLargeDocumentIsRefusedAtOnce(t *testing.T) {
	g := newRoleGroup(t, 1)
	last := g.roles[1].Member().Status().Last
	size := state.DefaultConfigLimits().MaxDocument + 1
	r := g.roles[1].Exec(context.Background(), configRequest("large", 0, strings.Repeat("x", size)))
	qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeNotRun)
	qt.Assert(t, r.Reason, qt.Equals, api.ReasonTooLarge)
	qt.Assert(t, r.Message, qt.Equals, fmt.Sprintf("document has %d bytes; %d are allowed", size, size-1))
	qt.Assert(t, g.roles[1].Member().Status().Last <= last+1, qt.IsTrue)
}

// A part that does not follow the one before, or that exceeds what a member bears, becomes an entry.
func TestOnlyConsecutivePartsMakeAnEntry(t *testing.T) {
	m := func() consensus.Message { return consensus.Message{Entries: []consensus.Entry{{Index: 3}}} }
	first := Part{Message: m(), Total: 4, Data: []byte("ab")}
	for _, test := range []struct {
		name  string
		parts []Part
		whole string
		ok    bool
	}{
		{"whole", []Part{first, {Message: m(), Offset: 2, Total: 4, Data: []byte("cd")}}, "abcd", true},
		{"begun again", []Part{first, first, {Message: m(), Offset: 2, Total: 4, Data: []byte("cd")}}, "abcd", true},
		{"gap", []Part{first, {Message: m(), Offset: 3, Total: 4, Data: []byte("d")}}, "", false},
		{"too long", []Part{first, {Message: m(), Offset: 2, Total: 4, Data: []byte("cde")}}, "", false},
		{"empty", []Part{first, {Message: m(), Offset: 2, Total: 4}}, "", false},
		{"no beginning", []Part{{Message: m(), Offset: 2, Total: 4, Data: []byte("cd")}}, "", false},
		{"above the bound", []Part{{Message: m(), Total: maxPartedBytes + 1, Data: []byte("ab")}}, "", false},
		{"no entry", []Part{{Total: 4, Data: []byte("abcd")}}, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newParts(nil)
			var whole *consensus.Message
			ok := true
			for _, part := range test.parts {
				whole, ok = p.add(nil, &part)
			}
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, whole != nil, qt.Equals, test.whole != "")
			if whole != nil {
				qt.Assert(t, string(whole.Entries[0].Data), qt.Equals, test.whole)
			}
		})
	}
}
