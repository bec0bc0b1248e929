package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// faultAgain is a time in which a target fails the requests of one entry, or of all for a negative
// one.
type faultAgain struct {
	target, entry int
	from, to      time.Time
}

// failInTurn lets random targets fail, one after the other, each for all entries or for one.
func (w *faultWorld) failInTurn(times int) []faultAgain {
	var list []faultAgain
	for range times {
		f := faultAgain{target: w.rng.IntN(len(w.targets)), entry: -1, from: time.Now()}
		if w.rng.IntN(3) == 0 {
			f.entry = w.rng.IntN(len(w.entries))
		}
		kind := []faultKind{faultReset, faultError}[w.rng.IntN(2)]
		w.setFault(func(target int, entry, _ string) faultKind {
			if target == f.target && (f.entry < 0 || entry == fmt.Sprint("entry-", f.entry)) {
				return kind
			}
			return faultNone
		})
		time.Sleep(2*time.Second + time.Duration(w.rng.Int64N(int64(2*time.Second))))
		w.setFault(nil)
		f.to = time.Now()
		list = append(list, f)
		time.Sleep(5*time.Second + time.Duration(w.rng.ExpFloat64()*float64(time.Second)))
	}
	return list
}

// Guards against an entry that goes on sending at-most-once requests to a target that fails, because
// of what it has seen of earlier faults of this target or of others.
func TestTargetsThatFailInTurnGetNoCallsAfterFiveLosses(t *testing.T) {
	t.Parallel()
	// The entries have all news of the losses by then, also after a lost report.
	const latitude = 500 * time.Millisecond
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			w := newFaultWorld(t, 100+seed, 3, 3)
			var list []faultAgain
			w.play(callRate/2, 0.5, "/pair/x", nil, func() {
				time.Sleep(warmUp)
				list = w.failInTurn(6)
			})
			for _, f := range list {
				failed := w.selectArrivals(func(a *faultArrival) bool {
					return a.failed && a.target == f.target && a.at.After(f.from) && a.at.Before(f.to)
				})
				if f.entry >= 0 || len(failed) < 5 {
					continue
				}
				c.Check(lateCalls(failed, failed[4].done.Add(latitude)), qt.Equals, 0, qt.Commentf("seed %d, %+v", seed, f))
			}
		})
	}
}
