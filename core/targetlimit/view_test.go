package targetlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func rate(r float64) Limit { return Limit{Limited: true, Rate: r} }

var none Limit

// The limit that an instance applies after statements that arrive in the given order.
func TestAnswers(t *testing.T) {
	statement := func(l Limit, sent, received float64) Statement {
		return Statement{Limit: l, Sent: at(sent), Received: at(received)}
	}
	for _, tt := range []struct {
		name     string
		received []Statement
		want     Limit
	}{
		{"no limit stated", []Statement{statement(none, 0, 1)}, none},
		{"named", []Statement{statement(rate(3), 0, 1)}, rate(3)},
		{"lowered", []Statement{statement(rate(3), 0, 1), statement(rate(2), 2, 3)}, rate(2)},
		{"raised", []Statement{statement(rate(3), 0, 1), statement(rate(4), 2, 3)}, rate(4)},
		{"ended", []Statement{statement(rate(3), 0, 1), statement(none, 2, 3)}, none},
		{"stated again", []Statement{statement(rate(3), 0, 1), statement(none, 2, 3), statement(rate(5), 4, 5)}, rate(5)},
		{"an overtaken answer states no limit", []Statement{statement(rate(3), 0.5, 1), statement(none, 0, 2)}, rate(3)},
		{"an overtaken answer states a higher limit", []Statement{statement(rate(3), 0.5, 1), statement(rate(4), 0, 2)}, rate(3)},
		{"an answer that may be older states a stricter limit", []Statement{statement(rate(3), 0.5, 1), statement(rate(2), 0, 2)}, rate(2)},
		{"an answer that may be older than the end of the limit states one", []Statement{statement(rate(3), 0, 1), statement(none, 2, 3), statement(rate(3), 1, 4)}, rate(3)},
		{"an older answer arrives last and states a stricter limit", []Statement{statement(none, 2, 3), statement(rate(3), 0, 1)}, none},
		{"a limit of zero", []Statement{statement(rate(0), 0, 1)}, rate(0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			for _, s := range tt.received {
				v = v.ApplyStatement(s)
			}
			qt.New(t).Assert(v.Current.Limit, qt.Equals, tt.want)
		})
	}
}

// The limit that an instance applies after it has received limits from the control group and from
// the target in turn, and whether it must report that limit to the group.
func TestTold(t *testing.T) {
	type step func(View) View
	fromTarget := func(l Limit, sent, received float64) step {
		return func(v View) View {
			return v.ApplyStatement(Statement{Limit: l, Sent: at(sent), Received: at(received), Seen: v.Group.Index})
		}
	}
	fromGroup := func(l Limit, index uint64, when float64) step {
		return func(v View) View { return v.ApplyGroup(Known{Limit: l, Index: index}, at(when)) }
	}
	for _, tt := range []struct {
		name  string
		steps []step
		want  Limit
		due   bool
	}{
		{"another instance received a limit", []step{fromGroup(rate(3), 1, 1)}, rate(3), false},
		{"and received its end", []step{fromGroup(rate(3), 1, 1), fromGroup(none, 2, 2)}, none, false},
		{"a group member that lags behind", []step{fromGroup(rate(3), 1, 1), fromGroup(none, 2, 2), fromGroup(rate(3), 1, 3)}, none, false},
		{"the limit is received here first", []step{fromTarget(rate(3), 0, 1)}, rate(3), true},
		{"and the group has recorded it", []step{fromTarget(rate(3), 0, 1), fromGroup(rate(3), 1, 1.1)}, rate(3), false},
		{"the group has not recorded it yet", []step{fromGroup(rate(9), 1, 0), fromGroup(none, 2, 0.5), fromTarget(rate(3), 0.6, 1), fromGroup(none, 4, 2)}, rate(3), true},
		{"the group states a stricter limit than the one received here", []step{fromTarget(rate(3), 0, 1), fromGroup(rate(2), 1, 1.1)}, rate(2), false},
		{"the end is received here first", []step{fromGroup(rate(3), 1, 1), fromTarget(none, 2, 3)}, none, true},
		{"the end was received for a request sent before the limit was known", []step{fromGroup(rate(3), 1, 1), fromTarget(none, 0, 2)}, rate(3), false},
		{"the same record again changes nothing", []step{fromGroup(rate(3), 1, 1), fromTarget(none, 2, 3), fromGroup(rate(3), 1, 4)}, none, true},
		{"stated again in the meantime", []step{fromGroup(rate(3), 1, 1), fromTarget(none, 2, 3), fromGroup(rate(4), 3, 4)}, rate(4), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			for _, s := range tt.steps {
				v = s(v)
			}
			c := qt.New(t)
			c.Assert(v.Current.Limit, qt.Equals, tt.want)
			c.Assert(v.ReportDue(v.GroupAt, time.Minute), qt.Equals, tt.due)
		})
	}
}

// A limit that stays in force is reported to the group again after a while; the end of a limit is
// not.
func TestStatedAgain(t *testing.T) {
	c := qt.New(t)
	var v View
	v = v.ApplyGroup(Known{Limit: rate(3), Index: 1}, at(0))
	c.Assert(v.ReportDue(at(20), 20*time.Second), qt.IsFalse)
	c.Assert(v.ReportDue(at(21), 20*time.Second), qt.IsTrue)
	v = v.ApplyGroup(Known{Limit: none, Index: 2}, at(30))
	c.Assert(v.ReportDue(at(90), 20*time.Second), qt.IsFalse)
}

// The limits that the group adopts.
func TestAccepts(t *testing.T) {
	for _, tt := range []struct {
		name string
		k    Known
		l    Limit
		seen uint64
		want bool
	}{
		{"the same", Known{rate(3), 5}, rate(3), 5, false},
		{"stricter, from an instance that knows nothing", Known{rate(3), 5}, rate(2), 0, true},
		{"stated again, from an instance that knows nothing", Known{none, 5}, rate(3), 0, true},
		{"less strict, from an instance that knows the limit", Known{rate(3), 5}, rate(4), 5, true},
		{"none, from an instance that knows the limit", Known{rate(3), 5}, none, 5, true},
		{"less strict, from an instance that knew an earlier limit", Known{rate(3), 5}, rate(4), 4, false},
		{"none, from an instance that knew an earlier limit", Known{rate(3), 5}, none, 4, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Assert(tt.k.Accepts(tt.l, tt.seen), qt.Equals, tt.want)
		})
	}
}
