package targetlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at gives a time so many seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func rate(r float64) Limit { return Limit{Limited: true, Rate: r} }

var none Limit

// What an instance goes by after answers that arrive in this order.
func TestAnswers(t *testing.T) {
	says := func(l Limit, sent, heard float64) Statement {
		return Statement{Limit: l, Sent: at(sent), Received: at(heard)}
	}
	for _, tt := range []struct {
		name  string
		heard []Statement
		want  Limit
	}{
		{"nothing named", []Statement{says(none, 0, 1)}, none},
		{"named", []Statement{says(rate(3), 0, 1)}, rate(3)},
		{"lowered", []Statement{says(rate(3), 0, 1), says(rate(2), 2, 3)}, rate(2)},
		{"raised", []Statement{says(rate(3), 0, 1), says(rate(4), 2, 3)}, rate(4)},
		{"named no more", []Statement{says(rate(3), 0, 1), says(none, 2, 3)}, none},
		{"named again", []Statement{says(rate(3), 0, 1), says(none, 2, 3), says(rate(5), 4, 5)}, rate(5)},
		{"an answer that was overtaken names none", []Statement{says(rate(3), 0.5, 1), says(none, 0, 2)}, rate(3)},
		{"an answer that was overtaken names more", []Statement{says(rate(3), 0.5, 1), says(rate(4), 0, 2)}, rate(3)},
		{"an answer that may be older asks for less", []Statement{says(rate(3), 0.5, 1), says(rate(2), 0, 2)}, rate(2)},
		{"an answer that may be older than the end of the limit names one", []Statement{says(rate(3), 0, 1), says(none, 2, 3), says(rate(3), 1, 4)}, rate(3)},
		{"an older answer arrives last and asks for less", []Statement{says(none, 2, 3), says(rate(3), 0, 1)}, none},
		{"a limit of nothing", []Statement{says(rate(0), 0, 1)}, rate(0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			for _, s := range tt.heard {
				v = v.ApplyStatement(s)
			}
			qt.New(t).Assert(v.Current.Limit, qt.Equals, tt.want)
		})
	}
}

// What an instance goes by that hears the group and the target by turns, and whether it has
// to tell the group.
func TestTold(t *testing.T) {
	type step func(View) View
	hears := func(l Limit, sent, heard float64) step {
		return func(v View) View {
			return v.ApplyStatement(Statement{Limit: l, Sent: at(sent), Received: at(heard), Seen: v.Group.Index})
		}
	}
	told := func(l Limit, index uint64, when float64) step {
		return func(v View) View { return v.ApplyGroup(Known{Limit: l, Index: index}, at(when)) }
	}
	for _, tt := range []struct {
		name  string
		steps []step
		want  Limit
		due   bool
	}{
		{"another has heard of a limit", []step{told(rate(3), 1, 1)}, rate(3), false},
		{"and of its end", []step{told(rate(3), 1, 1), told(none, 2, 2)}, none, false},
		{"a member that lags", []step{told(rate(3), 1, 1), told(none, 2, 2), told(rate(3), 1, 3)}, none, false},
		{"the limit is heard here first", []step{hears(rate(3), 0, 1)}, rate(3), true},
		{"and the group has heard it", []step{hears(rate(3), 0, 1), told(rate(3), 1, 1.1)}, rate(3), false},
		{"the group does not know of it yet", []step{told(rate(9), 1, 0), told(none, 2, 0.5), hears(rate(3), 0.6, 1), told(none, 4, 2)}, rate(3), true},
		{"the group asks for less than what is heard here", []step{hears(rate(3), 0, 1), told(rate(2), 1, 1.1)}, rate(2), false},
		{"the end is heard here first", []step{told(rate(3), 1, 1), hears(none, 2, 3)}, none, true},
		{"the end was heard from a request sent before the limit was known", []step{told(rate(3), 1, 1), hears(none, 0, 2)}, rate(3), false},
		{"the same list again changes nothing", []step{told(rate(3), 1, 1), hears(none, 2, 3), told(rate(3), 1, 4)}, none, true},
		{"named again meanwhile", []step{told(rate(3), 1, 1), hears(none, 2, 3), told(rate(4), 3, 4)}, rate(4), false},
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

// The group is told again of a limit that the target goes on naming, and of no end.
func TestStatedAgain(t *testing.T) {
	c := qt.New(t)
	var v View
	v = v.ApplyGroup(Known{Limit: rate(3), Index: 1}, at(0))
	c.Assert(v.ReportDue(at(20), 20*time.Second), qt.IsFalse)
	c.Assert(v.ReportDue(at(21), 20*time.Second), qt.IsTrue)
	v = v.ApplyGroup(Known{Limit: none, Index: 2}, at(30))
	c.Assert(v.ReportDue(at(90), 20*time.Second), qt.IsFalse)
}

// What the group takes.
func TestAccepts(t *testing.T) {
	for _, tt := range []struct {
		name string
		k    Known
		l    Limit
		seen uint64
		want bool
	}{
		{"the same", Known{rate(3), 5}, rate(3), 5, false},
		{"less, from one who knows nothing", Known{rate(3), 5}, rate(2), 0, true},
		{"named again, from one who knows nothing", Known{none, 5}, rate(3), 0, true},
		{"more, from one who knows", Known{rate(3), 5}, rate(4), 5, true},
		{"none, from one who knows", Known{rate(3), 5}, none, 5, true},
		{"more, from one who knew an earlier limit", Known{rate(3), 5}, rate(4), 4, false},
		{"none, from one who knew an earlier limit", Known{rate(3), 5}, none, 4, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Assert(tt.k.Accepts(tt.l, tt.seen), qt.Equals, tt.want)
		})
	}
}
