package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

var (
	bookingKey   = Key{Customer: "sur-sangat", Name: "seat-14"}
	bookingPlace = Place{Target: "booking-1", Incarnation: 3}
)

func request(claimant string) Request {
	return Request{Key: bookingKey, Digest: Digest{1}, Place: bookingPlace, Claimant: claimant, Request: api.RequestID("r-" + claimant)}
}

func testLimits() Limits {
	l := DefaultLimits()
	l.MaxAnswerBytes = 8
	l.MaxTotalAnswerBytes = 12
	l.MaxClaims = 4
	l.MaxPerCustomer = 3
	return l
}

// Each case gives the verdict on a second request for a key, depending on what
// happened after the first grant.
func TestSecondAsker(t *testing.T) {
	afterWindow := testLimits().Window.Total().Milliseconds() + 1
	for _, tc := range []struct {
		name    string
		report  *Report
		request Request
		at      int64
		want    Verdict
	}{
		{"while claimed", nil, request("b"), 1, InProgress},
		{"while started", &Report{Started: true}, request("b"), afterWindow, InProgress},
		{"after completion", &Report{Outcome: api.OutcomeCompleted, Answer: []byte("ok")}, request("b"), 1, Answered},
		{"after interruption", &Report{Outcome: api.OutcomeInterrupted}, request("b"), 1, Answered},
		{"after unknown", &Report{Outcome: api.OutcomeUnknown}, request("b"), 1, Undecided},
		{"after proof of not run", &Report{Outcome: api.OutcomeNotRun}, request("b"), 1, Granted},
		{"once nothing can start", nil, request("b"), afterWindow, Undecided},
		{"other digest", nil, Request{Key: bookingKey, Digest: Digest{2}, Place: bookingPlace, Claimant: "b"}, 1, Conflict},
		{"other digest after release", &Report{Outcome: api.OutcomeNotRun}, Request{Key: bookingKey, Digest: Digest{2}, Claimant: "b"}, 1, Conflict},
		{"same call resent", nil, request("a"), 1, Granted},
		{"same call resent after start", &Report{Started: true}, request("a"), 1, InProgress},
		{"same call resent too late to dispatch", nil, request("a"), 31_000, InProgress},
		{"late duplicate of a call given back", &Report{Outcome: api.OutcomeNotRun}, request("a"), 1, InProgress},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable(testLimits())
			first := table.Claim(5, 0, request("a"))
			c.Assert(first.Verdict, qt.Equals, Granted)
			if tc.report != nil {
				r := *tc.report
				r.Key, r.Grant = bookingKey, 5
				_, err := table.Report(6, 0, r)
				c.Assert(err, qt.IsNil)
			}
			got := table.Claim(7, tc.at, tc.request)
			c.Assert(got.Verdict, qt.Equals, tc.want)
			if tc.want == Conflict {
				c.Assert(got.Record, qt.DeepEquals, Record{})
			}
		})
	}
}

// Each case is a report that must be rejected without changing the claim.
func TestRefusedReports(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before []Report
		report Report
		want   error
	}{
		{"no claim", nil, Report{Key: Key{Name: "other"}, Grant: 5, Outcome: api.OutcomeCompleted}, ErrNoClaim},
		{"earlier grant", nil, Report{Key: bookingKey, Grant: 4, Outcome: api.OutcomeNotRun}, ErrOldGrant},
		{"not run after a start", []Report{{Started: true}}, Report{Key: bookingKey, Grant: 5, Outcome: api.OutcomeNotRun}, ErrSettled},
		{"not run after completion", []Report{{Outcome: api.OutcomeCompleted}}, Report{Key: bookingKey, Grant: 5, Outcome: api.OutcomeNotRun}, ErrSettled},
		{"completed after interrupted", []Report{{Outcome: api.OutcomeInterrupted}}, Report{Key: bookingKey, Grant: 5, Outcome: api.OutcomeCompleted}, ErrSettled},
		{"started after release", []Report{{Outcome: api.OutcomeNotRun}}, Report{Key: bookingKey, Grant: 5, Started: true}, ErrSettled},
		{"no outcome", nil, Report{Key: bookingKey, Grant: 5}, ErrBadOutcome},
		{"given up by another claimant", nil, Report{Key: bookingKey, Claimant: "b", Outcome: api.OutcomeNotRun}, ErrOldGrant},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable(testLimits())
			table.Claim(5, 0, request("a"))
			for _, r := range tc.before {
				r.Key, r.Grant = bookingKey, 5
				_, err := table.Report(6, 0, r)
				c.Assert(err, qt.IsNil)
			}
			recordBefore, _ := table.Find(bookingKey)
			_, err := table.Report(7, 0, tc.report)
			c.Assert(err, qt.ErrorIs, tc.want)
			recordAfter, _ := table.Find(bookingKey)
			c.Assert(recordAfter, qt.DeepEquals, recordBefore)
		})
	}
}

func TestUnknownGivesWayToWhatIsLearntLater(t *testing.T) {
	c := qt.New(t)
	table := NewTable(testLimits())
	table.Claim(5, 0, request("a"))
	_, err := table.Report(6, 0, Report{Key: bookingKey, Grant: 5, Outcome: api.OutcomeUnknown})
	c.Assert(err, qt.IsNil)
	rec, err := table.Report(7, 0, Report{Key: bookingKey, Grant: 5, Outcome: api.OutcomeCompleted, Answer: []byte("ok")})
	c.Assert(err, qt.IsNil)
	c.Assert(string(rec.Answer), qt.Equals, "ok")
	c.Assert(table.Claim(8, 0, request("b")).Verdict, qt.Equals, Answered)
}

// Answers are bounded in bytes and age, claims in number and age. To free space the
// table drops answers, never claims, since a call could run twice after its claim
// was removed. A full table rejects new claims, and a claim is removed only after
// ClaimRetention has passed.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	l := testLimits()
	table := NewTable(l)
	newRequest := func(customer api.CustomerID, n string) Request {
		return Request{Key: Key{customer, n}, Claimant: "a" + n, Place: bookingPlace}
	}
	for i, name := range []string{"1", "2", "3"} {
		grant := uint64(i + 1)
		c.Assert(table.Claim(grant, 0, newRequest("x", name)).Verdict, qt.Equals, Granted)
		answer := []byte("12345")
		if name == "3" {
			answer = []byte("too long to be kept")
		}
		_, err := table.Report(10+grant, 0, Report{Key: Key{"x", name}, Grant: grant, Outcome: api.OutcomeCompleted, Answer: answer})
		c.Assert(err, qt.IsNil)
	}
	kept := func(name string) bool { r, _ := table.Find(Key{"x", name}); return r.Kept }
	c.Assert([]bool{kept("1"), kept("2"), kept("3")}, qt.DeepEquals, []bool{true, true, false})
	c.Assert(table.Claim(20, 0, newRequest("x", "4")).Verdict, qt.Equals, Full)
	c.Assert(table.Claim(21, 0, newRequest("y", "4")).Verdict, qt.Equals, Granted)
	c.Assert(table.Claim(22, 0, newRequest("z", "5")).Verdict, qt.Equals, Full)
	_, err := table.Report(23, 1, Report{Key: Key{"y", "4"}, Grant: 21, Outcome: api.OutcomeCompleted, Answer: []byte("12345")})
	c.Assert(err, qt.IsNil)
	c.Assert([]bool{kept("1"), kept("2")}, qt.DeepEquals, []bool{false, true})

	table.Expire(l.AnswerRetention.Milliseconds() + 1)
	c.Assert(kept("2"), qt.IsFalse)
	table.Expire(l.ClaimRetention.Milliseconds())
	c.Assert(table.Claim(30, l.ClaimRetention.Milliseconds(), newRequest("x", "1")).Verdict, qt.Equals, Answered)
	c.Assert(table.Claim(31, l.ClaimRetention.Milliseconds()+1, newRequest("x", "1")).Verdict, qt.Equals, Granted)
	c.Assert(table.Len(), qt.Equals, 1)
	c.Assert(table.answerBytes, qt.Equals, 0)
}

func TestLimitsThatForgetTooEarlyAreRefused(t *testing.T) {
	c := qt.New(t)
	l := DefaultLimits()
	c.Assert(l.Validate(), qt.IsNil)
	l.ClaimRetention = l.Window.Total()
	c.Assert(l.Validate(), qt.IsNotNil)
}

// Guards against a late start of a dispatch that was delayed, because its entry was
// suspended or its link stalled. The check of the entry or that of the agent must
// reject it.
func TestWindowRefusesWhatWasHeldUp(t *testing.T) {
	c := qt.New(t)
	w := DefaultWindow()
	start := time.Unix(1000, 0)
	c.Assert(w.MayDispatch(start, start.Add(w.Dispatch)), qt.IsTrue)
	c.Assert(w.MayDispatch(start, start.Add(w.Dispatch+1)), qt.IsFalse)
	c.Assert(w.MayStart(time.Hour, time.Hour+w.Start), qt.IsTrue)
	c.Assert(w.MayStart(time.Hour, time.Hour+w.Start+1), qt.IsFalse)
	c.Assert(w.MayStart(time.Hour, time.Hour-1), qt.IsFalse)
}
