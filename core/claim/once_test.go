package claim

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondseam.dev/core/api"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The fixed seed makes every run check the same cases.
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// model simulates the agent of one target, entries that crash, and links that delay
// and duplicate messages. Real time runs ahead of the replicated clock, as it does
// while there is no leader.
type model struct {
	table            *Table
	limits           Limits
	index            uint64
	realTime         time.Duration
	replicatedMillis int64
	incarnation      api.Incarnation
	// closed holds the grants that the agent has started or has promised never to
	// start.
	closed   map[uint64]bool
	inFlight []dispatch
	reports  []Report
	starts   map[string]int
	requests int
}

type dispatch struct {
	key         Key
	grant       uint64
	incarnation api.Incarnation
	echo        time.Duration
}

func (m *model) requestGrant(t *rapid.T) {
	requested := m.realTime
	key := Key{"c", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key")}
	m.requests++
	req := Request{Key: key, Place: Place{"t", m.incarnation}, Claimant: string(rune('a' + m.requests%1000))}
	m.index++
	d := m.table.Claim(m.index, m.replicatedMillis, req)
	if d.Verdict != Granted {
		return
	}
	m.advanceTime(t)
	echo := m.realTime
	m.advanceTime(t)
	if m.realTime-requested > m.limits.Window.Dispatch {
		return
	}
	copies := rapid.IntRange(0, 2).Draw(t, "copies")
	for range copies {
		m.inFlight = append(m.inFlight, dispatch{key, d.Record.Grant, d.Record.Place.Incarnation, echo})
	}
}

// deliverDispatch delivers one dispatch to the agent, which keeps no state across a
// restart.
func (m *model) deliverDispatch(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
	d := m.inFlight[i]
	if d.incarnation != m.incarnation || m.closed[d.grant] || !m.limits.Window.MayStart(d.echo, m.realTime) {
		return
	}
	m.closed[d.grant] = true
	m.starts[d.key.Name]++
	if m.starts[d.key.Name] > 1 {
		t.Fatalf("key %s started twice", d.key.Name)
	}
	if rapid.Bool().Draw(t, "reported") {
		m.reports = append(m.reports, Report{Key: d.key, Grant: d.grant, Outcome: api.OutcomeCompleted})
	}
}

// proveNotRun requests proof from the agent that the dispatch of a claim did not
// start and never will.
func (m *model) proveNotRun(t *rapid.T) {
	rec, ok := m.table.Find(Key{"c", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key")})
	if !ok || rec.Place.Incarnation != m.incarnation || m.closed[rec.Grant] {
		return
	}
	m.closed[rec.Grant] = true
	m.reports = append(m.reports, Report{Key: rec.Key, Grant: rec.Grant, Outcome: api.OutcomeNotRun})
}

func (m *model) deliverReport(t *rapid.T) {
	if len(m.reports) == 0 {
		return
	}
	m.index++
	r := m.reports[rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")]
	_, _ = m.table.Report(m.index, m.replicatedMillis, r)
}

func (m *model) advanceTime(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{0, 1, 20, 31, 61, 101}).Draw(t, "seconds")) * time.Second
	m.realTime += d
	if rapid.Bool().Draw(t, "led") {
		m.replicatedMillis += d.Milliseconds()
	}
}

func (m *model) restart(*rapid.T) {
	m.incarnation++
	m.closed = make(map[uint64]bool)
}

func (m *model) snapshot(t *rapid.T) {
	before := m.table.Snapshot()
	m.table = Restore(m.limits, before)
	after := m.table.Snapshot()
	if len(before) != len(after) {
		t.Fatalf("snapshot lost claims: %d became %d", len(before), len(after))
	}
}

// Guards against a call that starts twice. Callers send the same two keys again and
// again, through any entry. Entries crash after they received a grant, links delay
// and duplicate dispatches, the agent loses its state when it restarts, and reports
// arrive late, twice or never. Each call must start at most once while its claim is
// remembered.
func TestStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits()
		m := &model{table: NewTable(l), limits: l, incarnation: 1, closed: map[uint64]bool{}, starts: map[string]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"claim":    m.requestGrant,
			"arrive":   m.deliverDispatch,
			"resolve":  m.proveNotRun,
			"deliver":  m.deliverReport,
			"pass":     m.advanceTime,
			"restart":  m.restart,
			"snapshot": m.snapshot,
		})
	})
}

// Shows the failure that Limits.Validate guards against. With ClaimRetention shorter
// than the window, the table forgets a claim while its dispatch may still start, and
// grants the key a second time.
func TestForgettingTooEarlyRunsTwice(t *testing.T) {
	l := DefaultLimits()
	l.ClaimRetention = time.Second
	table := NewTable(l)
	key := Key{"c", "1"}
	first := table.Claim(1, 0, Request{Key: key, Claimant: "a"})
	second := table.Claim(2, 2000, Request{Key: key, Claimant: "b"})
	bothMayStart := l.Window.MayStart(0, 2*time.Second)
	if first.Verdict != Granted || second.Verdict != Granted || !bothMayStart || l.Validate() == nil {
		t.Fatalf("a claim forgotten early was not granted again: %v, %v", first.Verdict, second.Verdict)
	}
}
