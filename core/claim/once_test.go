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
	// A fixed seed: every run reaches the same verdict.
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// world is one target's agent, entries that crash, and links that delay and
// repeat. Real time runs ahead of the replicated clock, as it does without a
// leader.
type world struct {
	table   *Table
	limits  Limits
	index   uint64
	real    time.Duration
	rep     int64
	inc     api.Incarnation
	barred  map[uint64]bool
	inAir   []dispatch
	reports []Report
	starts  map[string]int
	calls   int
}

type dispatch struct {
	key   Key
	grant uint64
	inc   api.Incarnation
	echo  time.Duration
}

func (w *world) claim(t *rapid.T) {
	asked := w.real
	key := Key{"c", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key")}
	w.calls++
	req := Request{Key: key, Place: Place{"t", w.inc}, Claimant: string(rune('a' + w.calls%1000))}
	w.index++
	d := w.table.Claim(w.index, w.rep, req)
	if d.Verdict != Granted {
		return
	}
	w.pass(t)
	echo := w.real
	w.pass(t)
	if w.real-asked > w.limits.Window.Dispatch {
		return
	}
	copies := rapid.IntRange(0, 2).Draw(t, "copies")
	for range copies {
		w.inAir = append(w.inAir, dispatch{key, d.Record.Grant, d.Record.Place.Incarnation, echo})
	}
}

// arrive hands one dispatch to the agent, which keeps no state over a restart.
func (w *world) arrive(t *rapid.T) {
	if len(w.inAir) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inAir)-1).Draw(t, "which")
	d := w.inAir[i]
	if d.inc != w.inc || w.barred[d.grant] || !w.limits.Window.MayStart(d.echo, w.real) {
		return
	}
	w.barred[d.grant] = true
	w.starts[d.key.Name]++
	if w.starts[d.key.Name] > 1 {
		t.Fatalf("key %s started twice", d.key.Name)
	}
	if rapid.Bool().Draw(t, "reported") {
		w.reports = append(w.reports, Report{Key: d.key, Grant: d.grant, Outcome: api.OutcomeCompleted})
	}
}

// resolve asks the agent for proof that a claim's dispatch did not start.
func (w *world) resolve(t *rapid.T) {
	rec, ok := w.table.Find(Key{"c", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key")})
	if !ok || rec.Place.Incarnation != w.inc || w.barred[rec.Grant] {
		return
	}
	w.barred[rec.Grant] = true
	w.reports = append(w.reports, Report{Key: rec.Key, Grant: rec.Grant, Outcome: api.OutcomeNotRun})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.reports) == 0 {
		return
	}
	w.index++
	r := w.reports[rapid.IntRange(0, len(w.reports)-1).Draw(t, "report")]
	_, _ = w.table.Report(w.index, w.rep, r)
}

func (w *world) pass(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{0, 1, 20, 31, 61, 101}).Draw(t, "seconds")) * time.Second
	w.real += d
	if rapid.Bool().Draw(t, "led") {
		w.rep += d.Milliseconds()
	}
}

func (w *world) restart(*rapid.T) {
	w.inc++
	w.barred = make(map[uint64]bool)
}

func (w *world) snapshot(t *rapid.T) {
	before := w.table.Snapshot()
	w.table = Restore(w.limits, before)
	after := w.table.Snapshot()
	if len(before) != len(after) {
		t.Fatalf("snapshot lost claims: %d became %d", len(before), len(after))
	}
}

// A caller sends one booking over and over, from any entry. Entries crash with a
// grant in hand, links hold dispatches back and deliver them twice, the agent
// restarts without memory, and reports come late, twice, or never. The booking
// starts at most once for as long as its claim is remembered.
func TestStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits()
		w := &world{table: NewTable(l), limits: l, inc: 1, barred: map[uint64]bool{}, starts: map[string]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"claim":    w.claim,
			"arrive":   w.arrive,
			"resolve":  w.resolve,
			"deliver":  w.deliver,
			"pass":     w.pass,
			"restart":  w.restart,
			"snapshot": w.snapshot,
		})
	})
}

// With Retain shortened below the window the key is forgotten while its dispatch
// is still in a link, and a second call runs it again. The test shows that the
// model can see the fault that Limits.Validate refuses.
func TestForgettingTooEarlyRunsTwice(t *testing.T) {
	l := DefaultLimits()
	l.Retain = time.Second
	table := NewTable(l)
	key := Key{"c", "1"}
	first := table.Claim(1, 0, Request{Key: key, Claimant: "a"})
	second := table.Claim(2, 2000, Request{Key: key, Claimant: "b"})
	bothMayStart := l.Window.MayStart(0, 2*time.Second)
	if first.Verdict != Granted || second.Verdict != Granted || !bothMayStart || l.Validate() == nil {
		t.Fatalf("a claim forgotten early was not granted again: %v, %v", first.Verdict, second.Verdict)
	}
}
