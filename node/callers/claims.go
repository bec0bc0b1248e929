package callers

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/node/entry"
	"github.com/fxamacker/cbor/v2"
)

// Claimer is the road to the control group for calls that must not be repeated;
// control.Client is one. Methods are called from several goroutines and retry
// within their context.
type Claimer interface {
	// Claim asks for the grant of one dispatch. An error means that there is no
	// grant.
	Claim(ctx context.Context, req claim.Request) (claim.Decision, error)
	// Abandon gives back a claim whose grant was never learnt.
	Abandon(ctx context.Context, key claim.Key, claimant string) error
	// Settle tells what became of a grant.
	Settle(ctx context.Context, rep claim.Report) error
}

// Bounds of the talk with the control group about one call.
const (
	claimWithin  = 5 * time.Second
	settleWithin = 30 * time.Second
	inProgress   = time.Second
)

// ticket is the claim of one call at this entry.
type ticket struct {
	server *Server
	key    claim.Key
	digest claim.Digest
	id     api.RequestID
	grant  uint64
	// kept is the answer of an earlier run, to be given in place of a new one.
	kept *kept
}

// kept is the answer of a settled call, as the control group holds it.
type kept struct {
	Status  int          `cbor:"1,keyasint"`
	Headers []keptHeader `cbor:"2,keyasint"`
	Body    []byte       `cbor:"3,keyasint"`
}

type keptHeader struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// dispatch asks for the grant just before a dispatch, when the place is known.
// An earlier attempt that is proved not to have run gives its grant back first;
// without that proof the entry makes no further attempt.
func (t *ticket) dispatch(target api.TargetID, inc api.Incarnation, n api.Attempt) error {
	ctx, cancel := context.WithTimeout(t.server.base, claimWithin)
	defer cancel()
	if t.grant != 0 {
		rep := claim.Report{Key: t.key, Grant: t.grant, Outcome: api.OutcomeNotRun}
		if err := t.server.claimer.Settle(ctx, rep); err != nil {
			return err
		}
		t.grant = 0
	}
	claimant := fmt.Sprintf("%s/%d", t.id, n)
	d, err := t.server.claimer.Claim(ctx, claim.Request{
		Key:      t.key,
		Digest:   t.digest,
		Place:    claim.Place{Target: target, Incarnation: inc},
		Claimant: claimant,
		Request:  t.id,
	})
	if err != nil {
		t.server.abandon(t.key, claimant)
		return err
	}
	return t.decided(d)
}

// abandon gives back, in the background, a claim that may have been recorded
// although its answer was lost: the caller's next try would otherwise be told
// that the call is in progress.
func (s *Server) abandon(key claim.Key, claimant string) {
	s.work.Go(func() {
		ctx, cancel := context.WithTimeout(s.base, settleWithin)
		defer cancel()
		_ = s.claimer.Abandon(ctx, key, claimant)
	})
}

func (t *ticket) decided(d claim.Decision) error {
	switch d.Verdict {
	case claim.Granted:
		t.grant = d.Record.Grant
		return nil
	case claim.Answered:
		return t.answered(d.Record)
	case claim.InProgress:
		err := t.refuse(api.OutcomeUnknown, d.Verdict.Reason(), "the call with this key is in progress; ask again for its answer")
		err.RetryAfter = inProgress
		return err
	case claim.Undecided:
		return t.refuse(api.OutcomeUnknown, d.Verdict.Reason(), "nothing proves whether the call with this key ran; it will not run again")
	case claim.Conflict:
		return t.refuse(api.OutcomeNotRun, d.Verdict.Reason(), "this key was used for another request")
	}
	return t.refuse(api.OutcomeNotRun, d.Verdict.Reason(), "too many keys are remembered for this customer")
}

func (t *ticket) refuse(o api.Outcome, reason api.Reason, text string) *api.Error {
	return &api.Error{Step: api.StepClaim, Outcome: o, Reason: reason, Err: errors.New(text)}
}

// answered takes the kept answer. Its error ends the request as completed, which
// it is: only no dispatch follows. Without one the caller is told the outcome.
func (t *ticket) answered(r claim.Record) error {
	if !r.Kept || r.Outcome != api.OutcomeCompleted {
		return t.refuse(r.Outcome, api.ReasonDuplicate, "the call with this key ended as "+string(r.Outcome)+" and its answer is not kept")
	}
	var k kept
	if err := cbor.Unmarshal(r.Answer, &k); err != nil {
		return t.refuse(r.Outcome, api.ReasonIntegrity, "the kept answer cannot be read")
	}
	t.kept = &k
	return t.refuse(api.OutcomeCompleted, api.ReasonDuplicate, "the kept answer is given")
}

// settle tells the control group how the call ended, in the background, so that
// the caller's answer does not wait for it. A report that gets lost leaves the
// claim undecided, which is safe: it is never granted again.
func (t *ticket) settle(end entry.End, k *kept) {
	if t.grant == 0 {
		return
	}
	rep := claim.Report{Key: t.key, Grant: t.grant, Outcome: end.Outcome}
	if k != nil {
		if b, err := cbor.Marshal(k); err == nil {
			rep.Status = k.Status
			rep.Answer = b
		}
	}
	t.server.work.Go(func() {
		ctx, cancel := context.WithTimeout(t.server.base, settleWithin)
		defer cancel()
		_ = t.server.claimer.Settle(ctx, rep)
	})
}
