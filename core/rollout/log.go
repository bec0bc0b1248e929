package rollout

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

// DefaultDeltas is how many deltas a Log keeps: at 13,000 changes a day, those
// of almost two hours.
const DefaultDeltas = 1024

// Log is what a sender holds: the newest document and the deltas that led to
// it. It is used from one goroutine at a time.
type Log struct {
	current *fleetconfig.Document
	deltas  []*fleetconfig.Delta // without gaps, the newest last
	keep    int
}

// NewLog makes an empty log of keep deltas; zero means DefaultDeltas.
func NewLog(keep int) *Log {
	if keep <= 0 {
		keep = DefaultDeltas
	}
	return &Log{keep: keep}
}

// Current gives the newest document, nil before the first.
func (l *Log) Current() *fleetconfig.Document { return l.current }

// Latest gives the newest revision and its digest.
func (l *Log) Latest() Latest {
	if l.current == nil {
		return Latest{}
	}
	return Latest{Revision: l.current.Revision, Digest: l.current.Digest()}
}

// Append takes a document of a higher revision and gives the delta that leads
// to it; nil for a document that is not newer. After the first document the
// delta is nil too: nobody holds anything that it could follow.
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

// Answer gives what leads a process from what it holds to the newest revision:
// deltas, or the whole document when whole is true. Neither is given to one
// that needs nothing or while there is nothing.
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

// find gives the place of the delta that follows a revision of a content.
func (l *Log) find(have api.Revision, digest fleetconfig.Digest) int {
	for i := len(l.deltas) - 1; i >= 0; i-- {
		if l.deltas[i].From == have && l.deltas[i].Base == digest {
			return i
		}
	}
	return -1
}
