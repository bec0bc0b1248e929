package rollout

import "almondseam.dev/core/api"

// Gate decides when a document may be put in force. D is how the process holds
// documents. Not safe for concurrent use.
//
// Two rules keep a configuration from going back. While the process runs, it takes
// no revision at or below the one it holds. A process that starts holds none, so
// whatever comes first would do: a sender that was cut off from the majority, or a
// delayed message, could put an old revision in force again. So a new Gate gives out
// nothing until a majority, asked after the start, has told the highest revision
// accepted, and it holds at least that one.
type Gate[D any] struct {
	held      api.Revision
	document  D
	confirmed bool
	floor     api.Revision // lowest revision that may be served, once confirmed
	served    api.Revision
}

// Take holds a document, and gives it if it is to be put in force now.
func (g *Gate[D]) Take(rev api.Revision, document D) (D, bool) {
	if rev <= g.held {
		var none D
		return none, false
	}
	g.held, g.document = rev, document
	return g.release()
}

// Confirm takes a majority's word that nothing above rev had been accepted when
// this process started, and gives the document held if it is to be put in force.
func (g *Gate[D]) Confirm(rev api.Revision) (D, bool) {
	if g.confirmed {
		var none D
		return none, false
	}
	g.confirmed, g.floor = true, rev
	return g.release()
}

func (g *Gate[D]) release() (D, bool) {
	if !g.confirmed || g.held < g.floor || g.held <= g.served {
		var none D
		return none, false
	}
	g.served = g.held
	return g.document, true
}

// Confirmed tells whether the majority has been heard.
func (g *Gate[D]) Confirmed() bool { return g.confirmed }

// Held gives the document held, in force or not, and its revision, zero for none.
func (g *Gate[D]) Held() (D, api.Revision) { return g.document, g.held }

// Served gives the revision in force, zero before the first.
func (g *Gate[D]) Served() api.Revision { return g.served }
