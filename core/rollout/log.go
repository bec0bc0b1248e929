package rollout

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

// DefaultDeltas is the default number of deltas that a Log keeps. At 13,000 changes
// a day they cover almost two hours.
const DefaultDeltas = 1024

// Log holds the newest document of a sender and the deltas that led to it. It is
// not safe for concurrent use.
type Log struct {
	current *fleetconfig.Document
	deltas  []*fleetconfig.Delta // consecutive, newest last
	keep    int
}

// NewLog returns an empty log that keeps the given number of deltas; zero means
// DefaultDeltas.
func NewLog(keep int) *Log {
	if keep <= 0 {
		keep = DefaultDeltas
	}
	return &Log{keep: keep}
}

// Current returns the newest document, nil before the first.
func (l *Log) Current() *fleetconfig.Document { return l.current }

// Latest returns the newest revision and its digest.
func (l *Log) Latest() Latest {
	if l.current == nil {
		return Latest{}
	}
	return Latest{Revision: l.current.Revision, Digest: l.current.Digest()}
}

// Append stores a document of a higher revision and returns the delta from the
// previous document. It ignores a document that is not newer and returns nil. It
// also returns nil for the first document, which has no predecessor.
func (l *Log) Append(doc *fleetconfig.Document) *fleetconfig.Delta {
	if l.current != nil && doc.Revision <= l.current.Revision {
		return nil
	}
	prev := l.current
	l.current = doc
	if prev == nil {
		return nil
	}
	d := fleetconfig.NewDelta(prev, doc)
	l.deltas = append(l.deltas, d)
	if len(l.deltas) > l.keep {
		l.deltas = append([]*fleetconfig.Delta(nil), l.deltas[1:]...)
	}
	return d
}

// Answer returns what a process needs to reach the newest revision: deltas, or
// whole set to true if it needs the whole document. It returns neither if the
// process needs nothing or the log is empty.
func (l *Log) Answer(f Fetch) (deltas []*fleetconfig.Delta, whole bool) {
	if l.current == nil || f.Have >= l.current.Revision && !f.Whole {
		return nil, false
	}
	if f.Whole {
		return nil, true
	}
	from := l.find(f.Have, f.Digest)
	if from < 0 {
		return nil, true
	}
	return l.deltas[from:], false
}

// find returns the index of the delta that starts from a revision with the given
// digest, -1 if there is none.
func (l *Log) find(have api.Revision, digest fleetconfig.Digest) int {
	for i := len(l.deltas) - 1; i >= 0; i-- {
		if l.deltas[i].From == have && l.deltas[i].Base == digest {
			return i
		}
	}
	return -1
}
