package routing

import (
	"sync/atomic"
	"time"
)

const (
	// slots and slotWidth bound how far back a correction reaches: a report
	// older than their product is discounted anyway.
	slots     = 16
	slotWidth = 250 * time.Millisecond
)

// target is one incarnation of a target. info is fixed; the rest is atomic.
type target struct {
	info    Target
	hash    uint64
	leaving atomic.Bool
	report  atomic.Pointer[Load]
	// groups are the sums that counted is part of; nil once unlisted.
	groups  atomic.Pointer[[]*groupLoad]
	counted atomic.Int64
	// sent and ended count sequences by slot of time; tokensIn and tokensOut
	// count their tokens.
	sent, ended         ring
	tokensIn, tokensOut ring
	// asideUntil is in nanoseconds since the epoch; fails counts failures in
	// a row.
	asideUntil atomic.Int64
	fails      atomic.Int32
}

func newTarget(a Target) *target {
	t := &target{info: a, hash: hashID(a.ID)}
	t.leaving.Store(a.Leaving)
	l := a.load()
	t.report.Store(&l)
	t.counted.Store(int64(l.Running + l.Waiting))
	return t
}

// inherit keeps the corrections when the same incarnation changes what it
// answers for; a new incarnation starts clean, as its engine does.
func (t *target) inherit(old *target) {
	if old.info.Incarnation != t.info.Incarnation {
		return
	}
	t.sent.copy(&old.sent)
	t.ended.copy(&old.ended)
	t.tokensIn.copy(&old.tokensIn)
	t.tokensOut.copy(&old.tokensOut)
	t.asideUntil.Store(old.asideUntil.Load())
	t.fails.Store(old.fails.Load())
	if r := old.report.Load(); r.Reported.After(t.info.Reported) {
		t.report.Store(r)
	}
	t.counted.Store(old.counted.Load())
}

// apply takes a report unless a later one is here.
func (t *target) apply(l Load) bool {
	for {
		old := t.report.Load()
		if !l.Reported.After(old.Reported) {
			return false
		}
		if t.report.CompareAndSwap(old, &l) {
			break
		}
	}
	sequences, _ := t.pending(l.Reported)
	n := int64(l.Running+l.Waiting) + sequences
	t.addGroups(n - t.counted.Swap(n))
	return true
}

// begin counts a request sent.
func (t *target) begin(tokens int, now time.Time) {
	t.sent.add(1, now)
	t.tokensIn.add(int64(tokens), now)
	t.counted.Add(1)
	t.addGroups(1)
}

// end counts a request ended.
func (t *target) end(tokens int, now time.Time) {
	t.ended.add(1, now)
	t.tokensOut.add(int64(tokens), now)
	t.counted.Add(-1)
	t.addGroups(-1)
}

func (t *target) addGroups(n int64) {
	gs := t.groups.Load()
	if gs == nil {
		return
	}
	for _, g := range *gs {
		g.sum.Add(n)
	}
}

// pending gives the sequences and tokens sent, less those ended, since the
// report was taken. The slot in which the report falls counts for what was sent
// and not for what ended: a request counted twice for a quarter of a second
// does less harm than one missed, which sends a burst to one target.
func (t *target) pending(reported time.Time) (sequences, tokens int64) {
	first := epoch(reported)
	sequences = t.sent.since(first) - t.ended.since(first+1)
	tokens = t.tokensIn.since(first) - t.tokensOut.since(first+1)
	return sequences, tokens
}

// setAside keeps the target out of choices until the given time.
func (t *target) setAside(until time.Time) {
	ns := until.UnixNano()
	for {
		old := t.asideUntil.Load()
		if old >= ns || t.asideUntil.CompareAndSwap(old, ns) {
			return
		}
	}
}

// aside tells whether the target is set aside at the given time.
func (t *target) aside(now time.Time) bool { return now.UnixNano() < t.asideUntil.Load() }

// ring sums over slots of time. Each slot packs its number (high 32 bits) and
// its sum (low 32 bits), so that both change in one step.
type ring [slots]atomic.Uint64

// epoch numbers the slots of time.
func epoch(t time.Time) uint32 { return uint32(t.UnixNano() / int64(slotWidth)) }

// add counts n in now's slot; the sum of an earlier round is overwritten.
func (r *ring) add(n int64, now time.Time) {
	e := epoch(now)
	s := &r[e%slots]
	for {
		old := s.Load()
		have := int64(0)
		if uint32(old>>32) == e {
			have = int64(uint32(old))
		}
		if s.CompareAndSwap(old, uint64(e)<<32|uint64(uint32(have+n))) {
			return
		}
	}
}

// since sums the slots numbered first and later.
func (r *ring) since(first uint32) int64 {
	var n int64
	for i := range r {
		v := r[i].Load()
		if int32(uint32(v>>32)-first) >= 0 {
			n += int64(uint32(v))
		}
	}
	return n
}

func (r *ring) copy(from *ring) {
	for i := range r {
		r[i].Store(from[i].Load())
	}
}
