package claim

import (
	"container/heap"
	"time"

	"almondseam.dev/core/api"
)

// Table holds all claims that are remembered. See the package comment.
type Table struct {
	limits      Limits
	claims      map[Key]*heapItem
	perCustomer map[api.CustomerID]int
	expiry      expiryHeap
	// keptAnswers holds the claims with a kept answer in the order of settlement,
	// and answerBytes is the total size of these answers.
	keptAnswers []*heapItem
	answerBytes int
}

// heapItem is a claim and its index in the expiry heap.
type heapItem struct {
	Record
	heapIndex int
}

// NewTable returns an empty table with the limits l.
func NewTable(l Limits) *Table {
	return &Table{
		limits:      l,
		claims:      make(map[Key]*heapItem),
		perCustomer: make(map[api.CustomerID]int),
	}
}

// Len returns the number of claims remembered.
func (t *Table) Len() int { return len(t.claims) }

// Claim applies a request for a grant. index is its log index and now the time of
// the replicated clock.
func (t *Table) Claim(index uint64, now int64, r Request) Decision {
	t.Expire(now)
	item := t.claims[r.Key]
	if item == nil {
		return t.grantNew(index, now, r)
	}
	if item.Digest != r.Digest {
		return Decision{Verdict: Conflict}
	}
	if item.State == StateReleased && item.Claimant != r.Claimant {
		t.grant(item, index, now, r)
		return Decision{Verdict: Granted, Record: item.Record}
	}
	return Decision{Verdict: t.verdict(item, now, r.Claimant), Record: item.Record}
}

// grantNew adds a claim for a new key and grants it, unless a limit is reached.
func (t *Table) grantNew(index uint64, now int64, r Request) Decision {
	if len(t.claims) >= t.limits.MaxClaims || t.perCustomer[r.Key.Customer] >= t.limits.MaxPerCustomer {
		return Decision{Verdict: Full}
	}
	item := &heapItem{Record: Record{Key: r.Key, Digest: r.Digest}}
	t.claims[r.Key] = item
	t.perCustomer[r.Key.Customer]++
	heap.Push(&t.expiry, item)
	t.grant(item, index, now, r)
	return Decision{Verdict: Granted, Record: item.Record}
}

// grant grants the claim to the claimant of r. It resets the age of the claim, so
// that a second grant is remembered for as long as a first one.
func (t *Table) grant(item *heapItem, index uint64, now int64, r Request) {
	item.State = StateClaimed
	item.Grant = index
	item.Attempt++
	item.Place = r.Place
	item.Claimant = r.Claimant
	item.Request = r.Request
	item.Claimed = now
	heap.Fix(&t.expiry, item.heapIndex)
}

// verdict returns the verdict on a request for a claim that gets no new grant.
//
// The claimant that holds the grant gets the same grant again while no start or
// outcome is known and Window.Dispatch has not passed. Later a response that was
// lost between control and entry must not make the entry dispatch, since it may
// have dispatched already. A claimant that has released its grant gets no other
// one: its request is a late duplicate that nobody waits for, and a grant for it
// would block the key.
func (t *Table) verdict(item *heapItem, now int64, claimant string) Verdict {
	switch {
	case item.State == StateSettled && item.Outcome == api.OutcomeUnknown:
		return Undecided
	case item.State == StateSettled:
		return Answered
	case item.State == StateClaimed && item.Claimant == claimant && now-item.Claimed <= millis(t.limits.Window.Dispatch):
		return Granted
	case now-item.Claimed > millis(t.limits.Window.Total()) && item.State == StateClaimed:
		return Undecided
	}
	return InProgress
}

// Report applies a report and returns the claim as it is afterwards. Applying the
// same report twice in a row succeeds and changes nothing more, except that an
// unknown outcome reported again updates the time and index of the settlement.
func (t *Table) Report(index uint64, now int64, r Report) (Record, error) {
	t.Expire(now)
	item := t.claims[r.Key]
	switch {
	case item == nil:
		return Record{}, ErrNoClaim
	case !r.appliesTo(item.Record):
		return item.Record, ErrOldGrant
	case r.Started:
		return t.markStarted(item)
	case r.Outcome == api.OutcomeNotRun:
		return t.release(item)
	case r.Outcome == api.OutcomeCompleted, r.Outcome == api.OutcomeInterrupted, r.Outcome == api.OutcomeUnknown:
		return t.settle(item, index, now, r)
	}
	return item.Record, ErrBadOutcome
}

// markStarted records that the dispatch started. It changes nothing if an outcome is
// already known.
func (t *Table) markStarted(item *heapItem) (Record, error) {
	if item.State == StateReleased {
		return item.Record, ErrSettled
	}
	if item.State == StateClaimed {
		item.State = StateStarted
	}
	return item.Record, nil
}

// release makes the key available for another grant. A claim that is known to have
// started or that has an outcome other than unknown is never released: the proof
// contradicts what is known, and accepting it could run the call twice.
func (t *Table) release(item *heapItem) (Record, error) {
	unknown := item.State == StateSettled && item.Outcome == api.OutcomeUnknown
	switch {
	case item.State == StateReleased:
		return item.Record, nil
	case item.State != StateClaimed && !unknown:
		return item.Record, ErrSettled
	}
	item.State = StateReleased
	item.Outcome = ""
	item.Settled, item.SettledAt = 0, 0
	return item.Record, nil
}

// settle records the outcome. An unknown outcome may be replaced by a later report;
// any other outcome is final.
func (t *Table) settle(item *heapItem, index uint64, now int64, r Report) (Record, error) {
	if item.State == StateReleased {
		return item.Record, ErrSettled
	}
	if item.State == StateSettled && item.Outcome != api.OutcomeUnknown {
		if item.Outcome != r.Outcome {
			return item.Record, ErrSettled
		}
		return item.Record, nil
	}
	item.State = StateSettled
	item.Outcome = r.Outcome
	item.Status = r.Status
	item.Settled = now
	item.SettledAt = index
	if r.Outcome == api.OutcomeCompleted && len(r.Answer) <= t.limits.MaxAnswerBytes {
		t.keepAnswer(item, r.Answer)
	}
	return item.Record, nil
}

// keepAnswer stores an answer and drops the oldest ones until all kept answers fit
// into the limit.
func (t *Table) keepAnswer(item *heapItem, answer []byte) {
	item.Answer = answer
	item.Kept = true
	t.answerBytes += len(answer)
	t.keptAnswers = append(t.keptAnswers, item)
	for t.answerBytes > t.limits.MaxTotalAnswerBytes {
		t.dropAnswer()
	}
}

// dropAnswer drops the oldest kept answer. Its claim stays, so that the key still
// can't run again.
func (t *Table) dropAnswer() {
	item := t.keptAnswers[0]
	t.keptAnswers[0] = nil
	t.keptAnswers = t.keptAnswers[1:]
	t.answerBytes -= len(item.Answer)
	item.Answer = nil
	item.Kept = false
}

// Expire drops the answers and removes the claims that are older than the limits
// allow. Claim and Report call it first, so that the contents of the table depend
// on the log alone.
func (t *Table) Expire(now int64) {
	for len(t.keptAnswers) > 0 && now-t.keptAnswers[0].Settled > millis(t.limits.AnswerRetention) {
		t.dropAnswer()
	}
	for len(t.expiry) > 0 && now-t.expiry[0].Claimed > millis(t.limits.ClaimRetention) {
		t.remove(t.expiry[0])
	}
}

// remove removes a claim and its answer.
func (t *Table) remove(item *heapItem) {
	if item.Kept {
		t.removeAnswer(item)
	}
	heap.Remove(&t.expiry, item.heapIndex)
	delete(t.claims, item.Key)
	t.perCustomer[item.Key.Customer]--
	if t.perCustomer[item.Key.Customer] == 0 {
		delete(t.perCustomer, item.Key.Customer)
	}
}

// removeAnswer removes the answer of a claim that expires before its answer does.
// That happens only if the call took nearly as long as claims are remembered, so
// the linear search is rare.
func (t *Table) removeAnswer(item *heapItem) {
	t.answerBytes -= len(item.Answer)
	for i, other := range t.keptAnswers {
		if other == item {
			t.keptAnswers = append(t.keptAnswers[:i], t.keptAnswers[i+1:]...)
			return
		}
	}
}

// Find returns the claim of a key and reports whether there is one.
func (t *Table) Find(k Key) (Record, bool) {
	item := t.claims[k]
	if item == nil {
		return Record{}, false
	}
	return item.Record, true
}

// FindRequest returns the claim whose latest grant went to the request id. It scans
// all claims and is meant for queries by operators.
func (t *Table) FindRequest(id api.RequestID) (Record, bool) {
	for _, item := range t.claims {
		if item.Request == id {
			return item.Record, true
		}
	}
	return Record{}, false
}

// Undecided reports whether r is undecided: its dispatch can no longer start, and
// neither a start nor an outcome has been reported. A late report can still settle
// or release the claim.
func (t *Table) Undecided(r Record, now int64) bool {
	return r.State == StateClaimed && now-r.Claimed > millis(t.limits.Window.Total())
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
