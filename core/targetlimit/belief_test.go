package targetlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at gives a time so many seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// What is believed after statements that arrive in this order.
func TestHear(t *testing.T) {
	names := func(rate, sent, heard float64) Statement {
		return Statement{Limited: true, Rate: rate, Sent: at(sent), Heard: at(heard)}
	}
	nothing := func(sent, heard float64) Statement { return Statement{Sent: at(sent), Heard: at(heard)} }
	for _, tt := range []struct {
		name    string
		heard   []Statement
		limited bool
		rate    float64
	}{
		{"nothing named", []Statement{nothing(0, 1)}, false, 0},
		{"named", []Statement{names(3, 0, 1)}, true, 3},
		{"lowered", []Statement{names(3, 0, 1), names(2, 2, 3)}, true, 2},
		{"raised", []Statement{names(3, 0, 1), names(4, 2, 3)}, true, 4},
		{"named no more", []Statement{names(3, 0, 1), nothing(2, 3)}, false, 0},
		{"named again", []Statement{names(3, 0, 1), nothing(2, 3), names(5, 4, 5)}, true, 5},
		{"an answer that was overtaken names none", []Statement{names(3, 0.5, 1), nothing(0, 2)}, true, 3},
		{"an answer that was overtaken names more", []Statement{names(3, 0.5, 1), names(4, 0, 2)}, true, 3},
		{"an answer that may be older asks for less", []Statement{names(3, 0.5, 1), names(2, 0, 2)}, true, 2},
		{"an answer that may be older than the end of the limit names one", []Statement{names(3, 0, 1), nothing(2, 3), names(3, 1, 4)}, true, 3},
		{"a limit of nothing", []Statement{names(0, 0, 1)}, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var b Belief
			for _, s := range tt.heard {
				b = b.Hear(s)
			}
			c := qt.New(t)
			c.Assert(b.Limited, qt.Equals, tt.limited)
			c.Assert(b.Rate, qt.Equals, tt.rate)
		})
	}
}
