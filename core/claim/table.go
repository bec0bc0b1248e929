package claim

import (
	"container/heap"
	"time"

	"almondseam.dev/core/api"
)

// Table holds all claims. See the package comment.
type Table struct {
	limits      Limits
	claims      map[Key]*held
	perCustomer map[api.CustomerID]int
	oldest      byExpiry
	// answers holds the claims with a kept answer in the order of settlement.
	answers     []*held
	answerBytes int
}

// held is a record and its place in the expiry heap.
type held struct {
	Record
	slot int
}

// NewTable gives an empty table.
func NewTable(l Limits) *Table {
	return &Table{
		limits:      l,
		claims:      make(map[Key]*held),
		perCustomer: make(map[api.CustomerID]int),
	}
}

// Len is the number of claims remembered.
func (t *Table) Len() int { return len(t.claims) }

// Claim decides a request. index is its log index and now the replicated time.
func (t *Table) Claim(index uint64, now int64, r Request) Decision {
	t.Expire(now)
	h := t.claims[r.Key]
	if h == nil {
		return t.grantNew(index, now, r)
	}
	if h.Digest != r.Digest {
		return Decision{Verdict: Conflict}
	}
	if h.State == StateReleased && h.Claimant != r.Claimant {
		t.grant(h, index, now, r)
		return Decision{Verdict: Granted, Record: h.Record}
	}
	return Decision{Verdict: t.verdict(h, now, r.Claimant), Record: h.Record}
}

func (t *Table) grantNew(index uint64, now int64, r Request) Decision {
	if len(t.claims) >= t.limits.MaxClaims || t.perCustomer[r.Key.Customer] >= t.limits.MaxPerCustomer {
		return Decision{Verdict: Full}
	}
	h := &held{Record: Record{Key: r.Key, Digest: r.Digest}}
	t.claims[r.Key] = h
	t.perCustomer[r.Key.Customer]++
	heap.Push(&t.oldest, h)
	t.grant(h, index, now, r)
	return Decision{Verdict: Granted, Record: h.Record}
}

// grant gives h to r. The claim's age starts anew, so that a second grant is
// remembered for as long as a first one.
func (t *Table) grant(h *held, index uint64, now int64, r Request) {
	h.State = StateClaimed
	h.Grant = index
	h.Attempt++
	h.Place = r.Place
	h.Claimant = r.Claimant
	h.Request = r.Request
	h.Claimed = now
	heap.Fix(&t.oldest, h.slot)
}

// verdict answers a request for a claim that can't be granted.
//
// The first asker gets its own grant again only while the dispatch is not known
// to have started: after that an answer lost between control and entry must not
// make the entry dispatch, for it may have dispatched already. An asker that has
// given its grant back gets no other one: what arrives then is a late duplicate
// that nobody waits for, and its grant would block the key.
func (t *Table) verdict(h *held, now int64, claimant string) Verdict {
	switch {
	case h.State == StateSettled && h.Outcome == api.OutcomeUnknown:
		return Undecided
	case h.State == StateSettled:
		return Answered
	case h.State == StateClaimed && h.Claimant == claimant && now-h.Claimed <= millis(t.limits.Window.Dispatch):
		return Granted
	case now-h.Claimed > millis(t.limits.Window.Total()) && h.State == StateClaimed:
		return Undecided
	}
	return InProgress
}

// Report takes in what became of a grant. The same report again changes nothing
// and succeeds.
func (t *Table) Report(index uint64, now int64, r Report) (Record, error) {
	t.Expire(now)
	h := t.claims[r.Key]
	switch {
	case h == nil:
		return Record{}, ErrNoClaim
	case !r.about(h.Record):
		return h.Record, ErrOldGrant
	case r.Started:
		return t.start(h)
	case r.Outcome == api.OutcomeNotRun:
		return t.release(h)
	case r.Outcome == api.OutcomeCompleted, r.Outcome == api.OutcomeInterrupted, r.Outcome == api.OutcomeUnknown:
		return t.settle(h, index, now, r)
	}
	return h.Record, ErrBadOutcome
}

func (t *Table) start(h *held) (Record, error) {
	if h.State == StateReleased {
		return h.Record, ErrSettled
	}
	if h.State == StateClaimed {
		h.State = StateStarted
	}
	return h.Record, nil
}

// release frees the key for another grant. A claim known to have started, or to
// have an outcome, is never released: such a proof contradicts what is known, and
// believing it could run the call twice.
func (t *Table) release(h *held) (Record, error) {
	unknown := h.State == StateSettled && h.Outcome == api.OutcomeUnknown
	switch {
	case h.State == StateReleased:
		return h.Record, nil
	case h.State != StateClaimed && !unknown:
		return h.Record, ErrSettled
	}
	h.State = StateReleased
	h.Outcome = ""
	h.Settled, h.SettledAt = 0, 0
	return h.Record, nil
}

// settle records the outcome. Unknown may be replaced by what is learnt later;
// nothing else may.
func (t *Table) settle(h *held, index uint64, now int64, r Report) (Record, error) {
	if h.State == StateReleased {
		return h.Record, ErrSettled
	}
	if h.State == StateSettled && h.Outcome != api.OutcomeUnknown {
		if h.Outcome != r.Outcome {
			return h.Record, ErrSettled
		}
		return h.Record, nil
	}
	h.State = StateSettled
	h.Outcome = r.Outcome
	h.Status = r.Status
	h.Settled = now
	h.SettledAt = index
	if r.Outcome == api.OutcomeCompleted && len(r.Answer) <= t.limits.MaxAnswer {
		t.keep(h, r.Answer)
	}
	return h.Record, nil
}

func (t *Table) keep(h *held, answer []byte) {
	h.Answer = answer
	h.Kept = true
	t.answerBytes += len(answer)
	t.answers = append(t.answers, h)
	for t.answerBytes > t.limits.MaxAnswers {
		t.dropAnswer()
	}
}

// dropAnswer lets go of the oldest answer. Its claim stays, so the key still
// can't run again.
func (t *Table) dropAnswer() {
	h := t.answers[0]
	t.answers[0] = nil
	t.answers = t.answers[1:]
	t.answerBytes -= len(h.Answer)
	h.Answer = nil
	h.Kept = false
}

// Expire lets go of old answers and forgets old claims. Every operation calls
// it first, so that what is remembered depends on the log alone.
func (t *Table) Expire(now int64) {
	for len(t.answers) > 0 && now-t.answers[0].Settled > millis(t.limits.KeepAnswer) {
		t.dropAnswer()
	}
	for len(t.oldest) > 0 && now-t.oldest[0].Claimed > millis(t.limits.Retain) {
		t.forget(t.oldest[0])
	}
}

func (t *Table) forget(h *held) {
	if h.Kept {
		t.forgetAnswer(h)
	}
	heap.Remove(&t.oldest, h.slot)
	delete(t.claims, h.Key)
	t.perCustomer[h.Key.Customer]--
	if t.perCustomer[h.Key.Customer] == 0 {
		delete(t.perCustomer, h.Key.Customer)
	}
}

// forgetAnswer takes one answer out of the middle; that happens only to a call
// that took nearly as long as claims are remembered.
func (t *Table) forgetAnswer(h *held) {
	t.answerBytes -= len(h.Answer)
	for i, other := range t.answers {
		if other == h {
			t.answers = append(t.answers[:i], t.answers[i+1:]...)
			return
		}
	}
}

// Find gives the claim of a key.
func (t *Table) Find(k Key) (Record, bool) {
	h := t.claims[k]
	if h == nil {
		return Record{}, false
	}
	return h.Record, true
}

// FindRequest gives the claim that a request was granted. It looks at every
// claim and is meant for operators.
func (t *Table) FindRequest(id api.RequestID) (Record, bool) {
	for _, h := range t.claims {
		if h.Request == id {
			return h.Record, true
		}
	}
	return Record{}, false
}

// Undecided tells whether nothing will prove any more, by itself, what became
// of an unsettled claim.
func (t *Table) Undecided(r Record, now int64) bool {
	return r.State == StateClaimed && now-r.Claimed > millis(t.limits.Window.Total())
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
