// Package targetlimit keeps what is known of the limits that targets name: how many
// requests a second a target takes from all instances together. It is pure.
package targetlimit

import "time"

// Statement is what one answer of a target says of its limit. The target made it after the
// request was sent and before the answer's head arrived.
type Statement struct {
	// Limited is set when the answer names a limit.
	Limited bool
	// Rate is the limit in requests a second.
	Rate float64
	// Sent is when the request was sent, Heard when its answer's head arrived.
	Sent, Heard time.Time
}

// Belief is the statement that an instance goes by. The zero value is no limit.
type Belief struct{ Statement }

// Hear gives the belief after a statement. Answers on different connections overtake each
// other, and what other instances have heard comes later than what is heard here: of two
// statements that may have been made in either order, the one that asks for less counts.
func (b Belief) Hear(s Statement) Belief {
	switch {
	case s.Heard.Before(b.Sent):
		return b
	case s.Sent.After(b.Heard):
		return Belief{s}
	case s.same(b.Statement):
		b.Sent, b.Heard = later(s.Sent, b.Sent), later(s.Heard, b.Heard)
		return b
	case s.stricter(b.Statement):
		return Belief{s}
	}
	return b
}

// Same tells whether two beliefs allow the same.
func (b Belief) Same(other Belief) bool { return b.same(other.Statement) }

func (s Statement) same(other Statement) bool {
	return s.Limited == other.Limited && s.Rate == other.Rate
}

func (s Statement) stricter(than Statement) bool {
	return s.Limited && (!than.Limited || s.Rate < than.Rate)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
