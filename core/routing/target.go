package routing

import (
	"sync/atomic"
	"time"
)

const (
	// ringSlots and slotWidth bound the period for which sent and ended requests
	// are remembered to correct a report; an older report is discounted anyway.
	ringSlots = 16
	slotWidth = 250 * time.Millisecond
)

// target is one incarnation of a target. info and hash are fixed; the rest is atomic.
type target struct {
	info    Target
	hash    uint64
	leaving atomic.Bool
	report  atomic.Pointer[Load]
	// groups are the sums of the groups that the target belongs to; nil once it is
	// unlisted. contribution is what the target adds to each of them: its last
	// report, corrected by the requests sent and ended.
	groups       atomic.Pointer[[]*groupLoad]
	contribution atomic.Int64
	// sent and ended count sequences per time slot; tokensIn and tokensOut count
	// their tokens.
	sent, ended         ring
	tokensIn, tokensOut ring
	// ejectedUntil is the end of the ejection in Unix nanoseconds; failures is the
	// number of consecutive failures.
	ejectedUntil atomic.Int64
	failures     atomic.Int32
}

func newTarget(a Target) *target {
	t := &target{info: a, hash: hashID(a.ID)}
	t.leaving.Store(a.Leaving)
	l := a.load()
	t.report.Store(&l)
	t.contribution.Store(int64(l.Running + l.Waiting))
	return t
}

// inherit copies the state of old when the same incarnation has changed its zone,
// models or services. A new incarnation starts without it, as its engine does.
func (t *target) inherit(old *target) {
	if old.info.Incarnation != t.info.Incarnation {
		return
	}
	t.sent.copy(&old.sent)
	t.ended.copy(&old.ended)
	t.tokensIn.copy(&old.tokensIn)
	t.tokensOut.copy(&old.tokensOut)
	t.ejectedUntil.Store(old.ejectedUntil.Load())
	t.failures.Store(old.failures.Load())
	if r := old.report.Load(); r.Reported.After(t.info.Reported) {
		t.report.Store(r)
	}
	t.contribution.Store(old.contribution.Load())
}

// apply stores a report, unless it is not later than the last one.
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
	t.addToGroups(n - t.contribution.Swap(n))
	return true
}

// begin counts a request that was sent.
func (t *target) begin(tokens int, now time.Time) {
	t.sent.add(1, now)
	t.tokensIn.add(int64(tokens), now)
	t.contribution.Add(1)
	t.addToGroups(1)
}

// end counts a request that has ended.
func (t *target) end(tokens int, now time.Time) {
	t.ended.add(1, now)
	t.tokensOut.add(int64(tokens), now)
	t.contribution.Add(-1)
	t.addToGroups(-1)
}

func (t *target) addToGroups(n int64) {
	gs := t.groups.Load()
	if gs == nil {
		return
	}
	for _, g := range *gs {
		g.sum.Add(n)
	}
}

// pending returns the sequences and tokens sent, less those ended, since the given
// time of the report. The slot of the report itself is included for sent requests
// but not for ended ones: counting a request twice for a quarter of a second does
// less harm than missing it, which can send a burst to one target.
func (t *target) pending(reported time.Time) (sequences, tokens int64) {
	first := epoch(reported)
	sequences = t.sent.since(first) - t.ended.since(first+1)
	tokens = t.tokensIn.since(first) - t.tokensOut.since(first+1)
	return sequences, tokens
}

// eject marks the target as unhealthy until the given time, unless it is already
// ejected for longer.
func (t *target) eject(until time.Time) {
	ns := until.UnixNano()
	for {
		old := t.ejectedUntil.Load()
		if old >= ns || t.ejectedUntil.CompareAndSwap(old, ns) {
			return
		}
	}
}

// ejected reports whether the target is ejected at the given time.
func (t *target) ejected(now time.Time) bool { return now.UnixNano() < t.ejectedUntil.Load() }

// ring holds sums per time slot. Each element packs the number of its time slot
// (high 32 bits) and the sum (low 32 bits), so that both change atomically.
type ring [ringSlots]atomic.Uint64

// epoch returns the number of the time slot of t.
func epoch(t time.Time) uint32 { return uint32(t.UnixNano() / int64(slotWidth)) }

// add adds n to the sum of now's time slot, overwriting the sum of an earlier time
// slot in the same element.
func (r *ring) add(n int64, now time.Time) {
	e := epoch(now)
	s := &r[e%ringSlots]
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

// since returns the total of the time slots numbered first and later.
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
