// Package targetlimit keeps what is known of the limits that targets name: how many
// requests a second a target takes from all instances together. It is pure.
package targetlimit

import "time"

// Statement is what one answer of a target says of its limit.
type Statement struct {
	// Limited is set when the answer names a limit.
	Limited bool
	// Rate is the limit in requests a second.
	Rate float64
	// Sent is when the request was sent, Heard when its answer's head arrived. The target
	// made the statement in between.
	Sent, Heard time.Time
}

// Belief is what an instance takes for a target's limit. The zero value is no limit.
type Belief struct {
	Limited bool
	// Rate is the limit in requests a second.
	Rate float64
	// Heard is when the statement arrived that it rests on.
	Heard time.Time
}

// Hear gives the belief after a statement. Answers on different connections overtake each
// other: one that asks for less counts at once, one that asks for more, or names no limit,
// only if its request was sent after the last statement had arrived.
func (b Belief) Hear(s Statement) Belief {
	next := Belief{Limited: s.Limited, Rate: s.Rate, Heard: s.Heard}
	if next.stricter(b) || s.Sent.After(b.Heard) {
		return next
	}
	return b
}

// Same tells whether two beliefs allow the same.
func (b Belief) Same(other Belief) bool { return b.Limited == other.Limited && b.Rate == other.Rate }

func (b Belief) stricter(than Belief) bool {
	return b.Limited && (!than.Limited || b.Rate < than.Rate)
}
