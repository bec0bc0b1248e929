package crash

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
	qt "github.com/frankban/quicktest"
)

// fakeGroup is a control group that can be without a leader.
type fakeGroup struct {
	mu         sync.Mutex
	leaderless bool
	reports    []quarantine.Command
}

// ReportQuarantine implements Reporter.
func (g *fakeGroup) ReportQuarantine(_ context.Context, c quarantine.Command) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderless {
		return errors.New("no leader")
	}
	if c.Crash != nil && c.Crash.Target == "" {
		return api.NotRun(api.StepQuarantine, "", api.ReasonBadRequest, errors.New("no target"))
	}
	g.reports = append(g.reports, c)
	return nil
}

func (g *fakeGroup) received() []quarantine.Command {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.reports)
}

func (g *fakeGroup) setLeaderless(l bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderless = l
}

// lostReports counts the reports that are lost.
type lostReports struct {
	noObserver
	n int
}

func (l *lostReports) QuarantineNotReported(quarantine.Command, error) { l.n++ }

func identity(body string) *Identity {
	return &Identity{Customer: "a", Host: "h", Method: "POST", URI: "/x", Body: []byte(body)}
}

// crashThrice lets a request crash three targets of twelve.
func crashThrice(q *Quarantine, id *Identity) {
	for i := range 3 {
		time.Sleep(300 * time.Millisecond)
		q.Crashed(quarantine.Crash{Target: api.TargetID(fmt.Sprint(i)), Service: "s", Targets: 12}, []Lost{{Identity: id, InProgress: 60 * time.Millisecond}})
	}
}

// TestOwnReportsApplyUntilTheGroupHasThem guards against an entry that sends a crashing request on
// while there is no leader, and against one that overrules the group afterwards.
func TestOwnReportsApplyUntilTheGroupHasThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &fakeGroup{leaderless: true}
		q := NewQuarantine(g, nil)
		bad := identity("bad")
		crashThrice(q, bad)
		c.Assert(q.Refuses(bad) > 0, qt.IsTrue)
		c.Assert(q.Refuses(identity("other")), qt.Equals, time.Duration(0))
		time.Sleep(time.Minute)
		c.Assert(q.Refuses(bad) > 0, qt.IsTrue)
		g.setLeaderless(false)
		time.Sleep(time.Second)
		c.Assert(g.received(), qt.HasLen, 3)
		c.Assert(q.Refuses(bad), qt.Equals, time.Duration(0)) // the group does not list it

		record := quarantine.Record{Fingerprint: bad.Fingerprint(), Customer: "a", BodyBytes: 3, Until: 61_000}
		q.Update(quarantine.List{Index: 5, Now: 1000, Records: []quarantine.Record{record}})
		c.Assert(q.Refuses(identity("bad")), qt.Equals, time.Minute)
		q.Update(quarantine.List{Index: 4}) // of a member that lags
		c.Assert(q.Refuses(bad) > 0, qt.IsTrue)
		q.Update(quarantine.List{Index: 6})
		c.Assert(q.Refuses(bad), qt.Equals, time.Duration(0))
		q.Stop()
	})
}

// TestLaggingMemberDoesNotExtendTheQuarantine guards against a request that is refused for longer than the control group
// has decided, because a member that lags states the same list by a clock that is behind.
func TestLaggingMemberDoesNotExtendTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQuarantine(&fakeGroup{}, nil)
		bad := identity("bad")
		list := listOf(5, bad)
		list.Now = 10_000
		q.Update(list)
		time.Sleep(40 * time.Second)
		list.Now = 15_000 // of a member that was cut off after 5 s
		q.Update(list)
		c.Assert(q.Refuses(bad), qt.Equals, 10*time.Second)
		list.Now = 52_000
		q.Update(list)
		c.Assert(q.Refuses(bad), qt.Equals, 8*time.Second)
		q.Stop()
	})
}

// listOf returns a list in which a request is refused for a minute.
func listOf(index uint64, id *Identity) quarantine.List {
	r := quarantine.Record{Fingerprint: id.Fingerprint(), Customer: id.Customer, BodyBytes: len(id.Body), Until: 60_000}
	return quarantine.List{Index: index, Records: []quarantine.Record{r}}
}

// TestRequestsInProgressAreEnded guards against runs of a crashing request that go on, or that wait
// and are started, after the request is quarantined.
func TestRequestsInProgressAreEnded(t *testing.T) {
	c := qt.New(t)
	q := NewQuarantine(nil, nil)
	begin := func(body string) (context.Context, func()) {
		ctx, cancel := context.WithCancelCause(context.Background())
		return ctx, q.Begin(identity(body), cancel)
	}
	bad, _ := begin("bad")
	other, _ := begin("other")
	left, remove := begin("bad")
	remove()
	q.Update(listOf(1, identity("bad")))
	later, _ := begin("bad")
	c.Assert(context.Cause(bad), qt.Equals, ErrQuarantined)
	c.Assert(context.Cause(later), qt.Equals, ErrQuarantined)
	c.Assert(other.Err(), qt.IsNil)
	c.Assert(left.Err(), qt.IsNil)
}

// TestWaitingReportsAreBounded guards against memory that grows while there is no leader.
func TestWaitingReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := &lostReports{}
		q := NewQuarantine(&fakeGroup{leaderless: true}, lost)
		for i := range maxPendingReports + 10 {
			q.Crashed(quarantine.Crash{Target: api.TargetID(fmt.Sprint(i))}, nil)
		}
		c.Assert(len(q.pending), qt.Equals, maxPendingReports)
		c.Assert(lost.n, qt.Equals, 10)
		q.Stop()
	})
}

// TestRefusedReportDoesNotHoldUpOthers guards against a report that the group refuses, and that is
// repeated for ever before all others.
func TestRefusedReportDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, lost := &fakeGroup{}, &lostReports{}
		q := NewQuarantine(g, lost)
		q.Crashed(quarantine.Crash{}, nil)
		q.Crashed(quarantine.Crash{Target: "t"}, nil)
		time.Sleep(time.Second)
		c.Assert(g.received(), qt.HasLen, 1)
		c.Assert(lost.n, qt.Equals, 1)
		q.Stop()
	})
}

// TestServedRequestsAreNotReported guards against blaming a request that is served all the time, and
// against one that is shielded for ever by a run long ago.
func TestServedRequestsAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &fakeGroup{}
		q := NewQuarantine(g, nil)
		often := identity("often")
		q.Ended(often)
		q.Crashed(quarantine.Crash{Target: "t"}, []Lost{{Identity: often}, {Identity: identity("other")}})
		time.Sleep(time.Second)
		c.Assert(g.received()[0].Crash.Lost, qt.HasLen, 1)
		time.Sleep(2 * servedTime)
		q.Crashed(quarantine.Crash{Target: "u"}, []Lost{{Identity: often}})
		time.Sleep(time.Second)
		c.Assert(g.received()[1].Crash.Lost, qt.HasLen, 1)
		q.Stop()
	})
}

// BenchmarkEnded measures what a served request costs, by the length of its body.
func BenchmarkEnded(b *testing.B) {
	for _, n := range []int{0, 1 << 10, 16 << 10, 1 << 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := NewQuarantine(nil, nil)
			id := identity(string(make([]byte, n)))
			for b.Loop() {
				q.Ended(id)
			}
		})
	}
}
