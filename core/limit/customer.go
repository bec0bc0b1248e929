package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

const (
	// defaultSaved is the time over which unused rate is kept, if the limit
	// doesn't say.
	defaultSaved = 2 * time.Second
	// noLeaseRetry is the RetryAfter while the first lease is on its way: about
	// two journeys between zones.
	noLeaseRetry = 50 * time.Millisecond
	// minRetry and maxRetry bound the RetryAfter of a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
	// decay is the weight of what was seen before in averages.
	decay = 0.7
)

// share is what a customer may use at this entry; it is replaced as a whole.
type share struct {
	limit   Limit
	floor   floor
	lease   Share
	seq     uint64
	expires time.Time
}

// floor is what may be used without a lease. It shrinks at once and grows to
// next at from.
type floor struct {
	now, next Share
	from      time.Time
}

// at gives the floor in force.
func (f *floor) at(now time.Time) Share {
	if now.Before(f.from) {
		return f.now
	}
	return f.next
}

// to gives the floor that follows when next is due from the given time on.
func (f *floor) to(next Share, from, now time.Time) floor {
	cur := f.at(now)
	return floor{now: Share{min(cur.Slots, next.Slots), min(cur.Rate, next.Rate)}, next: next, from: from}
}

// at gives the part in force. The floor counts until floorEnds.
func (s *share) at(now, floorEnds time.Time) Share {
	var out Share
	if now.Before(s.expires) {
		out = s.lease
	}
	if now.Before(floorEnds) {
		f := s.floor.at(now)
		out.Slots = max(out.Slots, f.Slots)
		out.Rate = max(out.Rate, f.Rate)
	}
	return out
}

// customer is the state of one customer at one entry. inUse moves by
// compare-and-swap against the share; the bucket has a lock of its own, held
// for a few instructions.
type customer struct {
	id api.CustomerID
	// floorEnds is the holder's, in nanoseconds since the epoch.
	floorEnds *atomic.Int64
	share     atomic.Pointer[share]
	inUse     atomic.Int64
	waiting   atomic.Bool
	// notBefore is the first sequence number whose lease may be applied: in an
	// earlier request the grantor was told that nothing is held here.
	notBefore atomic.Uint64

	mu     sync.Mutex
	level  float64
	filled time.Time
	// primed tells that the first lease has given half of the bucket. A floor
	// gives nothing at once: many entries may have one.
	primed bool
	// what was wanted since the last want, and how long requests take.
	peak        int64
	refused     int64
	tokens      int64
	wantedSlots float64
	wantedRate  float64
	wantedAt    time.Time
	held        time.Duration
}

func (cu *customer) limit() Limit { return cu.share.Load().limit }

// setLimit is called under the holder's lock, as is apply.
func (cu *customer) setLimit(l Limit, f floor) {
	next := share{}
	if old := cu.share.Load(); old != nil {
		next = *old
	}
	next.limit, next.floor = l, f
	cu.share.Store(&next)
}

// part gives what may be used now.
func (cu *customer) part(now time.Time) Share {
	return cu.share.Load().at(now, time.Unix(0, cu.floorEnds.Load()))
}

func (cu *customer) apply(s Share, seq uint64, expires, now time.Time) {
	old := cu.share.Load()
	if seq <= old.seq || seq < cu.notBefore.Load() || !now.Before(expires) {
		return
	}
	next := *old
	next.lease, next.seq, next.expires = s, seq, expires
	cu.share.Store(&next)
}

func (cu *customer) acquire(est int64, now time.Time) *api.Error {
	s := cu.share.Load()
	part := cu.part(now)
	leased := now.Before(s.expires)
	if s.limit.Slots > 0 && !cu.take(part.Slots) {
		return cu.refuse(api.ReasonConcurrencyLimit, leased, cu.slotWait(), est)
	}
	if s.limit.Slots == 0 {
		cu.inUse.Add(1)
	}
	wait, ok := cu.charge(est, s.limit, part.Rate, leased, now)
	if !ok {
		cu.inUse.Add(-1)
		return cu.refuse(api.ReasonTokenRateLimit, leased, wait, est)
	}
	return nil
}

// take counts one more request under way unless that would pass the share.
func (cu *customer) take(slots int64) bool {
	for {
		n := cu.inUse.Load()
		if n >= slots {
			return false
		}
		if cu.inUse.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// charge takes est tokens from the bucket. An estimate above what the bucket
// can ever hold passes when the bucket is full: else it would never run.
func (cu *customer) charge(est int64, l Limit, rate int64, leased bool, now time.Time) (time.Duration, bool) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.peak = max(cu.peak, cu.inUse.Load())
	if l.Rate == 0 {
		return 0, true
	}
	most := float64(rate) * l.saved().Seconds()
	cu.fill(float64(rate), most, now)
	if leased && !cu.primed {
		cu.primed = true
		cu.level = max(cu.level, most/2)
	}
	need := min(float64(est), most)
	if cu.level < need || rate == 0 {
		return cu.tokenWait(need, float64(rate)), false
	}
	cu.level -= float64(est)
	cu.tokens += est
	return 0, true
}

// fill adds what has accrued.
func (cu *customer) fill(rate, most float64, now time.Time) {
	if d := now.Sub(cu.filled); d > 0 && !cu.filled.IsZero() {
		cu.level += rate * d.Seconds()
	}
	cu.level = min(cu.level, most)
	cu.filled = now
}

func (cu *customer) tokenWait(need, rate float64) time.Duration {
	if rate == 0 {
		return maxRetry
	}
	return time.Duration((need - cu.level) / rate * float64(time.Second))
}

// slotWait estimates when a slot frees: requests last held on average, and
// inUse of them end over that time.
func (cu *customer) slotWait() time.Duration {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.held / time.Duration(max(1, cu.inUse.Load()))
}

func (cu *customer) refuse(r api.Reason, leased bool, wait time.Duration, est int64) *api.Error {
	cu.mu.Lock()
	cu.refused++
	cu.tokens += est
	cu.mu.Unlock()
	e := api.NotRun(api.StepLimit, string(cu.id), r, nil)
	e.RetryAfter = min(max(wait, minRetry), maxRetry)
	if !leased {
		cu.waiting.Store(true)
		e.RetryAfter = noLeaseRetry
		e.Err = ErrNoLease
	}
	return e
}

// release settles a request: what the estimate took too much goes back, what
// it took too little is owed.
func (cu *customer) release(est, tokens int64, took time.Duration, now time.Time) {
	cu.inUse.Add(-1)
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.level += float64(est - tokens)
	cu.tokens += tokens - est
	cu.held = time.Duration(decay*float64(cu.held) + (1-decay)*float64(took))
}

// want tells the owner of this customer's state; false when there is nothing
// to tell. seq is the number of the request that it goes into.
func (cu *customer) want(seq uint64, now time.Time, t Timing) (Want, bool) {
	s := cu.share.Load()
	cu.waiting.Store(false)
	inUse := cu.inUse.Load()
	slots, rate := cu.demand(inUse, now, t)
	remaining := max(0, s.expires.Sub(now))
	if slots == 0 && rate == 0 && inUse == 0 && remaining == 0 {
		cu.notBefore.Store(seq)
		return Want{}, false
	}
	return Want{
		Customer: cu.id, Slots: slots, Rate: rate, InUse: inUse,
		Held: s.lease, HeldSeq: s.seq, Remaining: remaining,
	}, true
}

// demand sums up what was wanted: the peak under way with what was refused,
// and the tokens a second, refused ones included. Both fade at a rate that
// doesn't depend on how often this is called: were they forgotten at once, a
// second call before the first grant arrives would tell the grantor that
// nothing is wanted.
func (cu *customer) demand(inUse int64, now time.Time, t Timing) (slots, rate int64) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	elapsed := t.Renew
	if !cu.wantedAt.IsZero() {
		elapsed = max(0, now.Sub(cu.wantedAt))
	}
	fade := math.Pow(decay, float64(elapsed)/float64(t.Renew))
	seen := float64(max(0, cu.tokens)) / max(elapsed, t.Renew/8).Seconds()
	cu.wantedRate = faded(cu.wantedRate*fade, seen)
	cu.wantedSlots = faded(cu.wantedSlots*fade, float64(max(cu.peak, inUse)+cu.refused))
	cu.peak, cu.refused, cu.tokens, cu.wantedAt = inUse, 0, 0, now
	return int64(math.Ceil(cu.wantedSlots)), int64(math.Ceil(cu.wantedRate))
}

// faded gives the larger of what is left of an earlier figure and a new one;
// less than a half is nothing.
func faded(left, seen float64) float64 {
	if v := max(left, seen); v >= 0.5 {
		return v
	}
	return 0
}
