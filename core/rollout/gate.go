package rollout

import "almondseam.dev/core/api"

// Gate decides when a whole document may be put in force in a process that takes
// no deltas. Its rules are Node's: never a revision at or below the one held, and
// after a start none at all until a majority has said which is the lowest that may
// be served. Not safe for concurrent use.
type Gate struct {
	held      api.Revision
	document  []byte
	confirmed bool
	floor     api.Revision
	served    api.Revision
}

// Take holds a document, and gives it if it is to be put in force now.
func (g *Gate) Take(rev api.Revision, document []byte) ([]byte, bool) {
	if rev <= g.held {
		return nil, false
	}
	g.held, g.document = rev, document
	return g.release()
}

// Confirm takes a majority's word that nothing above rev had been accepted when
// this process started, and gives the document held if it is to be put in force.
func (g *Gate) Confirm(rev api.Revision) ([]byte, bool) {
	if g.confirmed {
		return nil, false
	}
	g.confirmed, g.floor = true, rev
	return g.release()
}

func (g *Gate) release() ([]byte, bool) {
	if !g.confirmed || g.held < g.floor || g.held <= g.served {
		return nil, false
	}
	g.served = g.held
	return g.document, true
}

// Served gives the revision in force, zero before the first.
func (g *Gate) Served() api.Revision { return g.served }
