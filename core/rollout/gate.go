package rollout

import "almondseam.dev/core/api"

// Gate decides when a document may be put in force. D is the type in which the
// process holds documents. A Gate is not safe for concurrent use.
//
// Two rules prevent a configuration from going back. A running process accepts no
// revision at or below the one that it holds. A process that has just started
// holds none and would accept any revision, so a sender that is partitioned from the
// majority, or a delayed message, could put an old revision in force again. A new
// Gate therefore releases nothing until a majority, queried after the start, has
// reported the highest accepted revision and the Gate holds at least that revision.
type Gate[D any] struct {
	held        api.Revision
	document    D
	confirmed   bool
	minRevision api.Revision // lowest revision that may be served, once confirmed
	served      api.Revision
}

// Take stores a document if its revision is above the one held. It returns the
// document and true if it is to be put in force now.
func (g *Gate[D]) Take(rev api.Revision, document D) (D, bool) {
	if rev <= g.held {
		var none D
		return none, false
	}
	g.held, g.document = rev, document
	return g.release()
}

// Confirm records that a majority, queried after this process started, reported rev
// as the highest accepted revision. It returns the document held and true if the
// document is to be put in force now. Only the first call has an effect.
func (g *Gate[D]) Confirm(rev api.Revision) (D, bool) {
	if g.confirmed {
		var none D
		return none, false
	}
	g.confirmed, g.minRevision = true, rev
	return g.release()
}

// release returns the document held and true if it may be served and is not in force
// yet.
func (g *Gate[D]) release() (D, bool) {
	if !g.confirmed || g.held < g.minRevision || g.held <= g.served {
		var none D
		return none, false
	}
	g.served = g.held
	return g.document, true
}

// Confirmed reports whether a majority has reported the highest accepted revision.
func (g *Gate[D]) Confirmed() bool { return g.confirmed }

// Held returns the document held, whether in force or not, and its revision, zero
// if there is none.
func (g *Gate[D]) Held() (D, api.Revision) { return g.document, g.held }

// Served returns the revision in force, zero before the first.
func (g *Gate[D]) Served() api.Revision { return g.served }
