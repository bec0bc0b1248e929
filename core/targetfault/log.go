package targetfault

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// maxLog bounds the failures that are kept for a service; older ones are dropped first.
const maxLog = 256

// failureLog holds the failures that one instance has seen at the targets of a service within
// Window, oldest first.
type failureLog struct{ list []failure }

type failure struct {
	run      Run
	customer api.CustomerID
	at       time.Time
}

func (l *failureLog) add(f failure) {
	if len(l.list) == maxLog {
		l.list = l.list[1:]
	}
	l.list = append(l.list, f)
}

// remove removes one failure, if it is there.
func (l *failureLog) remove(f failure) {
	if i := slices.Index(l.list, f); i >= 0 {
		l.list = slices.Delete(l.list, i, i+1)
	}
}

// forget removes the failures of a run.
func (l *failureLog) forget(run Run) {
	kept := l.list[:0]
	for _, f := range l.list {
		if f.run != run {
			kept = append(kept, f)
		}
	}
	l.list = kept
}

// counted returns, by run, the failures that may be the target's. used is the number of targets
// from which the instance has had an answer within Window, and failing the number of those whose
// last answer was a failure.
//
// It leaves out two kinds. If the last answers of most of the targets used were failures, the
// instance itself is probably at fault: it is cut off, or was paused. What it has seen until then
// is forgotten, so that it does not count once the instance has recovered. A customer whose
// requests fail at most of the targets used, and at no one target more than twice as often as at
// the others together, probably sends requests that fail everywhere.
func (l *failureLog) counted(used, failing int, now time.Time) map[Run]int {
	for len(l.list) > 0 && now.Sub(l.list[0].at) > Window {
		l.list = l.list[1:]
	}
	if mostOf(failing, used) {
		l.list = nil
	}
	if len(l.list) == 0 {
		return nil
	}
	byCustomer := make(map[api.CustomerID]map[Run]int)
	for _, f := range l.list {
		if byCustomer[f.customer] == nil {
			byCustomer[f.customer] = make(map[Run]int)
		}
		byCustomer[f.customer][f.run]++
	}
	out := make(map[Run]int)
	for customer, runs := range byCustomer {
		total := 0
		for _, n := range runs {
			total += n
		}
		for run, n := range runs {
			if customer != "" && mostOf(len(runs), used) && n <= 2*(total-n) {
				continue
			}
			out[run] += n
		}
	}
	return out
}

// mostOf reports whether n targets, at least two, are more than half of those used.
func mostOf(n, used int) bool { return n >= 2 && 2*n > used }
