package origin

import "time"

// Opening is when a connection to a target was opened: the target accepted it between the two times.
type Opening struct{ Began, Ended time.Time }

// Proof determines which connections to a target lead to one run of it. It reads no clock, and goes by
// no clock of the target. It is not safe for concurrent use.
//
// Only one run at a time accepts connections at the address of a target. So all connections that were
// opened after the run had started, and before it has answered on a connection opened later, lead to
// that run.
type Proof struct {
	known   time.Time
	through time.Time
}

// NewProof returns the proof for a run that is known to have started before the given time.
func NewProof(known time.Time) Proof { return Proof{known: known} }

// Answered records that the run has answered a question on a connection. The run still accepted
// connections when that one was opened.
func (p *Proof) Answered(o Opening) {
	if !o.Began.Before(p.known) && o.Ended.After(p.through) {
		p.through = o.Ended
	}
}

// Covers reports whether a connection leads to the run.
func (p *Proof) Covers(o Opening) bool {
	return !o.Began.Before(p.known) && !o.Ended.After(p.through)
}
