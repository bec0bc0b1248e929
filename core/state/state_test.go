package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/order"
	"almondseam.dev/core/retrybudget"
)

// log applies commands to a state under increasing log indexes.
type log struct {
	t     testing.TB
	s     *State
	index uint64
}

func newLog(t testing.TB) *log { return &log{t: t, s: New(DefaultLimits())} }

func (l *log) apply(c Command) Result {
	data, err := Encode(c)
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	return l.s.Apply(l.index, data)
}

func (l *log) put(id, author string, base api.Revision, doc string) ConfigResult {
	return *l.apply(Command{Config: &ConfigPut{ChangeID: id, Author: author, Base: base, Document: []byte(doc)}}).Config
}

// reload restores the state from its snapshot, as a new or lagging member does.
func (l *log) reload() {
	data, err := l.s.Snapshot()
	if err != nil {
		l.t.Fatal(err)
	}
	if l.s, err = Restore(DefaultLimits(), data); err != nil {
		l.t.Fatal(err)
	}
}

// Two operators send a change based on revision 1. Exactly one is accepted; the
// refusal of the other names the author and the ID of the accepted change.
func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	c.Assert(l.put("c0", "ana", 0, "one").Revision, qt.Equals, api.Revision(1))
	won := l.put("c1", "ana", 1, "two")
	lost := l.put("c2", "bilal", 1, "other")
	c.Assert(won.Accepted, qt.IsTrue)
	c.Assert(lost.Accepted, qt.IsFalse)
	c.Assert(lost.Reason, qt.Equals, api.ReasonStaleFence)
	c.Assert([]string{lost.Author, lost.ChangeID}, qt.DeepEquals, []string{"ana", "c1"})
	c.Assert(lost.Message, qt.Contains, "revision 2 by ana (change c1)")
	c.Assert(string(l.s.Current().Document), qt.Equals, "two")
}

// An operator repeats a change because its answer was lost. Meanwhile another
// change was accepted and the member was restored from a snapshot. An accepted and
// a refused change must both get their first answer.
func TestResentChangeGetsItsFirstAnswer(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	first := l.put("c0", "ana", 0, "one")
	lost := l.put("c9", "bilal", 0, "other")
	l.put("c1", "chloe", 1, "two")
	l.reload()
	again := l.put("c0", "ana", 0, "one")
	c.Assert(again.Repeated, qt.IsTrue)
	again.Repeated = false
	c.Assert(again, qt.DeepEquals, first)
	lostAgain := l.put("c9", "bilal", 0, "other")
	lostAgain.Repeated = false
	c.Assert(lostAgain, qt.DeepEquals, lost)
	c.Assert(l.s.Current().Revision, qt.Equals, api.Revision(2))
	// A repeated command may name the revision now in force as its base.
	rebased := l.put("c0", "ana", 2, "one")
	c.Assert(rebased.Repeated, qt.IsTrue)
	c.Assert(rebased.Revision, qt.Equals, first.Revision)
	c.Assert(l.s.Current().Revision, qt.Equals, api.Revision(2))
	reused := l.put("c0", "ana", 2, "three")
	c.Assert(reused.Accepted, qt.IsFalse)
	c.Assert(reused.Message, qt.Contains, "used for another change")
}

func TestRefusedDocuments(t *testing.T) {
	big := make([]byte, DefaultConfigLimits().MaxDocument+1)
	for _, tc := range []struct {
		name string
		put  ConfigPut
		want api.Reason
	}{
		{"no change ID", ConfigPut{Document: []byte("x")}, api.ReasonBadRequest},
		{"empty", ConfigPut{ChangeID: "a"}, api.ReasonBadRequest},
		{"too large", ConfigPut{ChangeID: "a", Document: big}, api.ReasonTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLog(t)
			r := l.apply(Command{Config: &tc.put})
			qt.Assert(t, r.Reason, qt.Equals, tc.want)
			qt.Assert(t, l.s.Current().Revision, qt.Equals, api.Revision(0))
		})
	}
}

func TestOldEntriesAndGarbageChangeNothing(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	data, err := Encode(Command{Config: &ConfigPut{ChangeID: "a", Document: []byte("x")}})
	c.Assert(err, qt.IsNil)
	c.Assert(l.s.Apply(7, data).Reason, qt.Equals, api.Reason(""))
	c.Assert(l.s.Apply(7, data).Reason, qt.Equals, api.ReasonInternal)
	c.Assert(l.s.Apply(8, []byte{0xff}).Reason, qt.Equals, api.ReasonBadRequest)
	c.Assert(l.s.Current().Revision, qt.Equals, api.Revision(1))
}

// A new leader's clock starts at the last time applied, but the log may still hold a
// later command stamped by the old leader. The clock must not go back, or a claim
// would count as younger than it is.
func TestClockNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	l.apply(Command{Now: 500})
	l.apply(Command{Now: 300})
	c.Assert(l.s.Now(), qt.Equals, int64(500))
}

func TestHistoryKeepsNewestDocuments(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	limits := DefaultConfigLimits()
	total := limits.History + 10
	for i := range total {
		r := l.put(fmt.Sprint("c", i), "ana", api.Revision(i), fmt.Sprint("doc", i))
		c.Assert(r.Accepted, qt.IsTrue)
	}
	c.Assert(l.s.History(), qt.HasLen, limits.History)
	_, kept := l.s.Revision(api.Revision(total - limits.Documents + 1))
	c.Assert(kept, qt.IsTrue)
	_, kept = l.s.Revision(api.Revision(total - limits.Documents))
	c.Assert(kept, qt.IsFalse)
}

// Many large documents are kept, and fill the memory of a member and its snapshot; or the one that
// entries are sent patches from is not.
func TestHistoryBoundsDocumentBytes(t *testing.T) {
	c := qt.New(t)
	limits := DefaultLimits()
	limits.Config.OlderBytes = 250
	s := New(limits)
	for i := range 6 {
		b, err := Encode(Command{Config: &ConfigPut{Version: uint64(i + 1), Document: make([]byte, 100)}})
		c.Assert(err, qt.IsNil)
		r := s.Apply(uint64(i+1), b)
		c.Assert(r.Config.Accepted, qt.IsTrue)
	}
	for revision, kept := range map[api.Revision]bool{1: false, 2: false, 3: true, 4: true, 5: true, 6: true} {
		_, ok := s.Revision(revision)
		c.Assert(ok, qt.Equals, kept, qt.Commentf("revision %d", revision))
	}
}

func TestPatch(t *testing.T) {
	for _, tc := range []struct{ name, from, to string }{
		{"same", "abc", "abc"},
		{"from nothing", "", "abc"},
		{"to nothing", "abc", ""},
		{"middle", "limit: 10\n", "limit: 20\n"},
		{"repeated byte added", "aaa", "aaaa"},
		{"repeated byte removed", "aaaa", "aaa"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			p := MakePatch([]byte(tc.from), []byte(tc.to))
			got, ok := p.Apply([]byte(tc.from))
			c.Assert(ok, qt.IsTrue)
			c.Assert(string(got), qt.Equals, tc.to)
			// On another document the patch gives the right result or fails.
			got, ok = p.Apply([]byte("x" + tc.from + "y"))
			c.Assert(!ok || string(got) == tc.to, qt.IsTrue)
			c.Assert(ok, qt.Equals, p.Prefix+p.Suffix == 0)
		})
	}
}

// Applies random commands to two members, one of which is sometimes restored from a
// snapshot. Their results and final snapshots must be equal, the revision must
// never decrease, and no key may have two grants in force.
func TestMembersAgree(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		a, b := newLog(t), newLog(t)
		revision := api.Revision(0)
		grants := map[string]uint64{}
		for step := range 200 {
			cmd := randomCommand(r, step, revision, grants)
			ra, rb := a.apply(cmd), b.apply(cmd)
			if fmt.Sprintf("%+v", ra.Config) != fmt.Sprintf("%+v", rb.Config) || ra.Reason != rb.Reason {
				t.Fatalf("seed %d step %d: %+v and %+v", seed, step, ra, rb)
			}
			if now := a.s.Current().Revision; now < revision {
				t.Fatalf("seed %d step %d: revision went from %d to %d", seed, step, revision, now)
			}
			revision = a.s.Current().Revision
			checkGrant(t, seed, cmd, ra, grants)
			if r.IntN(20) == 0 {
				b.reload()
			}
		}
		sa, _ := a.s.Snapshot()
		sb, _ := b.s.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatalf("seed %d: snapshots differ", seed)
		}
	}
}

func randomCommand(r *rand.Rand, step int, revision api.Revision, grants map[string]uint64) Command {
	now := int64(step) * 2000
	key := fmt.Sprint("k", r.IntN(3))
	switch r.IntN(4) {
	case 0:
		return Command{Now: now, Config: &ConfigPut{ChangeID: fmt.Sprint("c", r.IntN(60)), Base: revision - api.Revision(r.IntN(2)), Document: []byte{1, byte(step)}}}
	case 1:
		return Command{Now: now, Claim: &claim.Request{Key: claim.Key{Customer: "c", Name: key}, Claimant: fmt.Sprint(step)}}
	case 2:
		outcome := []api.Outcome{api.OutcomeNotRun, api.OutcomeUnknown, api.OutcomeNotRun, api.OutcomeNotRun, api.OutcomeCompleted}[r.IntN(5)]
		return Command{Now: now, Report: &claim.Report{Key: claim.Key{Customer: "c", Name: key}, Grant: grants[key], Outcome: outcome}}
	}
	return Command{Now: now, Order: &order.Command{Op: order.OpSubmit, ID: fmt.Sprint("o", r.IntN(9)), Spec: order.Spec{Target: "t", Action: order.ActionChangeRole, Role: key}}}
}

// checkGrant tracks the grant in force of each key. A second grant is allowed only
// after the first was released.
func checkGrant(t *testing.T, seed uint64, cmd Command, r Result, grants map[string]uint64) {
	if cmd.Report != nil && r.Reason == "" && cmd.Report.Outcome == api.OutcomeNotRun {
		delete(grants, cmd.Report.Key.Name)
	}
	if cmd.Claim == nil || r.Claim.Verdict != claim.Granted {
		return
	}
	key := cmd.Claim.Key.Name
	if held := grants[key]; held != 0 {
		t.Fatalf("seed %d: key %s granted at %d while grant %d is in force", seed, key, r.Claim.Record.Grant, held)
	}
	grants[key] = r.Claim.Record.Grant
}

// An accepted configuration sets the pace of loads from that command on, also on a
// member restored from a snapshot. A refused change, or one repeated after a later
// change, must not alter the pace.
func TestConfigurationSetsThePaceOfLoads(t *testing.T) {
	l := newLog(t)
	now := int64(0)
	put := func(id string, base api.Revision, most int) ConfigResult {
		c := &ConfigPut{ChangeID: id, Base: base, Document: []byte(id), Pace: &order.Pace{MaxLoads: most, LoadBytesPerSecond: 1 << 30}}
		return *l.apply(Command{Now: now, Config: c}).Config
	}
	targets := 0
	load := func() api.Reason {
		targets++
		target := api.TargetID(fmt.Sprint("t", targets))
		l.apply(Command{Now: now, Order: &order.Command{Op: order.OpSubmit, ID: fmt.Sprint("o", targets), Spec: order.Spec{Target: target, Action: order.ActionLoadModel, Model: "m", Bytes: 1}}})
		return l.apply(Command{Now: now, Order: &order.Command{Op: order.OpTake, Target: target, Incarnation: 1}}).Reason
	}
	put("two", 0, 2)
	for i, want := range []api.Reason{"", "", api.ReasonQueueFull} {
		if got := load(); got != want {
			t.Fatalf("load %d: %q, want %q", i, got, want)
		}
	}
	if put("stale", 0, 9).Accepted || load() != api.ReasonQueueFull {
		t.Fatal("a refused change altered the pace")
	}
	put("three", 1, 3)
	l.reload()
	if load() != "" || load() != api.ReasonQueueFull {
		t.Fatal("the pace after the restore is not three loads")
	}
	if !put("two", 0, 2).Repeated {
		t.Fatal("the repeated change is not marked as repeated")
	}
	put("four", 2, 4)
	if load() != "" || load() != api.ReasonQueueFull {
		t.Fatal("the pace is not four loads")
	}
}

// TestRetriesSurviveASnapshot guards against a member that grants retries beyond the budget
// after it was restored from a snapshot.
func TestRetriesSurviveASnapshot(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	ask := func(id string) bool {
		a := retrybudget.Ask{ID: id, Service: "s", Purpose: retrybudget.PurposeResume, Limits: retrybudget.Limits{Slack: 2, Window: time.Second}}
		return l.apply(Command{Now: 1000, Retry: &a}).Retry.Granted
	}
	c.Assert(ask("1"), qt.IsTrue)
	l.reload()
	c.Assert(ask("1"), qt.IsTrue)
	c.Assert(ask("2"), qt.IsTrue)
	l.reload()
	c.Assert(ask("3"), qt.IsFalse)
}
