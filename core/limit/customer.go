package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

const (
	// defaultBurstWindow is the time over which unused rate accumulates if the
	// limit doesn't set Burst.
	defaultBurstWindow = 2 * time.Second
	// noLeaseRetry is the RetryAfter of a refusal for lack of a lease: a request
	// and its grant take about two network trips between availability zones.
	noLeaseRetry = 50 * time.Millisecond
	// minRetry and maxRetry bound the RetryAfter of a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
	// decay is the weight of the earlier value in a moving average, and the factor
	// by which recorded demand decays per Timing.Renew.
	decay = 0.7
)

// share is what a customer may use at this entry. It is immutable once stored and
// is replaced as a whole.
type share struct {
	limit   Limit
	floor   floor
	lease   Share
	seq     uint64
	expires time.Time
}

// floor is what may be used without a lease. A decrease takes effect at once, an
// increase to next only at from.
type floor struct {
	now, next Share
	from      time.Time
}

// at returns the floor in force at a time.
func (f *floor) at(now time.Time) Share {
	if now.Before(f.from) {
		return f.now
	}
	return f.next
}

// changed returns the floor that results when next takes effect at from.
func (f *floor) changed(next Share, from, now time.Time) floor {
	cur := f.at(now)
	return floor{now: Share{min(cur.Slots, next.Slots), min(cur.Rate, next.Rate)}, next: next, from: from}
}

// at returns what may be used at a time: the larger of the lease in force and the
// floor, which is in force until floorEnds.
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

// customer is the state of one customer at one entry. Slots are taken by
// compare-and-swap on inUse, without a lock; mu guards the token bucket and the
// demand statistics and is held only briefly.
type customer struct {
	id api.CustomerID
	// floorEnds points to Holder.floorEnds, in Unix nanoseconds.
	floorEnds *atomic.Int64
	share     atomic.Pointer[share]
	inUse     atomic.Int64
	waiting   atomic.Bool
	// notBefore is the Seq of the last request that didn't list this customer,
	// which told the grantor that nothing is held here. Leases that answer earlier
	// requests must not be applied any more.
	notBefore atomic.Uint64

	mu     sync.Mutex
	level  float64
	filled time.Time
	// primed is set once the first lease has filled the bucket to at least half.
	// Under a floor alone the bucket starts empty, because many entries may have
	// a floor at the same time.
	primed bool
	// peak, refused and tokens are the demand since demand was last called,
	// wantedSlots and wantedRate the decaying demand as of wantedAt.
	peak        int64
	refused     int64
	tokens      int64
	wantedSlots float64
	wantedRate  float64
	wantedAt    time.Time
	// duration is the moving average of how long requests take.
	duration time.Duration
}

func (cu *customer) limit() Limit { return cu.share.Load().limit }

// setLimit replaces the limit and the floor. The caller holds the holder's lock,
// as for apply.
func (cu *customer) setLimit(l Limit, f floor) {
	next := share{}
	if old := cu.share.Load(); old != nil {
		next = *old
	}
	next.limit, next.floor = l, f
	cu.share.Store(&next)
}

// allowance returns what may be used at this entry now.
func (cu *customer) allowance(now time.Time) Share {
	return cu.share.Load().at(now, time.Unix(0, cu.floorEnds.Load()))
}

// apply puts a lease in force unless it has expired, is no newer than the present
// one, or answers a request before notBefore. seq is the Seq of that request.
func (cu *customer) apply(s Share, seq uint64, expires, now time.Time) {
	old := cu.share.Load()
	if seq <= old.seq || seq < cu.notBefore.Load() || !now.Before(expires) {
		return
	}
	next := *old
	next.lease, next.seq, next.expires = s, seq, expires
	cu.share.Store(&next)
}

// acquire takes a slot and est tokens for one request, or returns a refusal.
func (cu *customer) acquire(est int64, now time.Time) *api.Error {
	s := cu.share.Load()
	allowance := cu.allowance(now)
	leased := now.Before(s.expires)
	if s.limit.Slots > 0 && !cu.takeSlot(allowance.Slots) {
		return cu.refuse(api.ReasonConcurrencyLimit, leased, cu.slotWait(), est)
	}
	if s.limit.Slots == 0 {
		cu.inUse.Add(1)
	}
	wait, ok := cu.takeTokens(est, s.limit, allowance.Rate, leased, now)
	if !ok {
		cu.inUse.Add(-1)
		return cu.refuse(api.ReasonTokenRateLimit, leased, wait, est)
	}
	return nil
}

// takeSlot counts one more request in progress, or returns false if all slots are
// in use.
func (cu *customer) takeSlot(slots int64) bool {
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

// takeTokens takes est tokens from the bucket, or returns false and the time until
// they are available. An estimate above the bucket's capacity is admitted when the
// bucket is full, since it could never run otherwise; the level then goes below
// zero.
func (cu *customer) takeTokens(est int64, l Limit, rate int64, leased bool, now time.Time) (time.Duration, bool) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.peak = max(cu.peak, cu.inUse.Load())
	if l.Rate == 0 {
		return 0, true
	}
	capacity := float64(rate) * l.burstWindow().Seconds()
	cu.refill(float64(rate), capacity, now)
	if leased && !cu.primed {
		cu.primed = true
		cu.level = max(cu.level, capacity/2)
	}
	need := min(float64(est), capacity)
	if cu.level < need || rate == 0 {
		return cu.tokenWait(need, float64(rate)), false
	}
	cu.level -= float64(est)
	cu.tokens += est
	return 0, true
}

// refill adds the tokens that have accrued since the last call.
func (cu *customer) refill(rate, capacity float64, now time.Time) {
	if d := now.Sub(cu.filled); d > 0 && !cu.filled.IsZero() {
		cu.level += rate * d.Seconds()
	}
	cu.level = min(cu.level, capacity)
	cu.filled = now
}

// tokenWait returns the time until the bucket holds need tokens.
func (cu *customer) tokenWait(need, rate float64) time.Duration {
	if rate == 0 {
		return maxRetry
	}
	return time.Duration((need - cu.level) / rate * float64(time.Second))
}

// slotWait estimates the time until a slot becomes free: inUse requests end within
// about one mean duration.
func (cu *customer) slotWait() time.Duration {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.duration / time.Duration(max(1, cu.inUse.Load()))
}

// refuse counts a refused request as demand and returns its refusal.
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

// release frees the request's slot and replaces its estimate by the tokens used:
// the excess of the estimate is returned to the bucket, a shortfall is taken from
// it and may leave it below zero.
func (cu *customer) release(est, tokens int64, took time.Duration, now time.Time) {
	cu.inUse.Add(-1)
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.level += float64(est - tokens)
	cu.tokens += tokens - est
	cu.duration = time.Duration(decay*float64(cu.duration) + (1-decay)*float64(took))
}

// want returns the customer's state for the request numbered seq to its owner, and
// false if the customer is idle and holds nothing. The request then doesn't list
// it, and leases that answer earlier requests are not applied any more.
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

// demand returns the customer's demand: the peak of concurrent requests plus the
// refused ones, and the tokens per second including those of refused requests.
// Both decay at a rate that doesn't depend on how often demand is called. If they
// were reset with each call, a second call before the first grant arrives would
// report to the grantor that nothing is wanted.
func (cu *customer) demand(inUse int64, now time.Time, t Timing) (slots, rate int64) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	elapsed := t.Renew
	if !cu.wantedAt.IsZero() {
		elapsed = max(0, now.Sub(cu.wantedAt))
	}
	factor := math.Pow(decay, float64(elapsed)/float64(t.Renew))
	seen := float64(max(0, cu.tokens)) / max(elapsed, t.Renew/8).Seconds()
	cu.wantedRate = decayed(cu.wantedRate*factor, seen)
	cu.wantedSlots = decayed(cu.wantedSlots*factor, float64(max(cu.peak, inUse)+cu.refused))
	cu.peak, cu.refused, cu.tokens, cu.wantedAt = inUse, 0, 0, now
	return int64(math.Ceil(cu.wantedSlots)), int64(math.Ceil(cu.wantedRate))
}

// decayed returns the larger of left, the decayed earlier value, and seen, the new
// one; values below 0.5 become zero.
func decayed(left, seen float64) float64 {
	if v := max(left, seen); v >= 0.5 {
		return v
	}
	return 0
}
