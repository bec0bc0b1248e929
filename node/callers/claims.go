package callers

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/fieldline"
	"almondseam.dev/node/statusline"
	"github.com/fxamacker/cbor/v2"
)

// Claimer obtains claims from the control group for calls that must not be repeated;
// control.Client implements it. Its methods are called from several goroutines and
// retry until their context is done.
type Claimer interface {
	// Claim requests the grant for one dispatch. If it returns an error, the call must
	// not be dispatched.
	Claim(ctx context.Context, req claim.Request) (claim.Decision, error)
	// Abandon releases a claim whose grant may have been recorded although the entry
	// did not receive it.
	Abandon(ctx context.Context, key claim.Key, claimant string) error
	// Settle reports the outcome of the call that was dispatched under a grant.
	Settle(ctx context.Context, rep claim.Report) error
}

// Time limits of requests to the control group about one call, and the RetryAfter of a
// call that is in progress.
const (
	claimTimeout         = 5 * time.Second
	settleTimeout        = 30 * time.Second
	inProgressRetryAfter = time.Second
)

// callClaim is the claim of one call, held by this entry for the idempotency key of the
// call.
type callClaim struct {
	server *Server
	key    claim.Key
	digest claim.Digest
	id     api.RequestID
	grant  uint64
	// storedAnswer is the answer of an earlier call with the same key. It is returned
	// instead of running the call again.
	storedAnswer *storedAnswer
}

// storedAnswer is the answer of a settled call as the control group stores it.
type storedAnswer struct {
	Status  int            `cbor:"1,keyasint"`
	Headers []storedHeader `cbor:"2,keyasint"`
	Body    []byte         `cbor:"3,keyasint"`
}

// check returns an error unless the stored answer has the head of a final response.
func (a *storedAnswer) check() error {
	if !statusline.IsFinal(a.Status) {
		return fmt.Errorf("%w: status %d", statusline.ErrInvalid, a.Status)
	}
	for _, h := range a.Headers {
		if err := fieldline.CheckName(h.Name); err != nil {
			return err
		}
	}
	return nil
}

type storedHeader struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// dispatch requests the grant for one attempt, just before its dispatch and after its
// target was chosen. If an earlier attempt has been granted, dispatch first reports
// that it did not run; the entry only makes another attempt if that is proved.
func (cc *callClaim) dispatch(target api.TargetID, inc api.Incarnation, attempt api.Attempt) error {
	ctx, cancel := context.WithTimeout(cc.server.baseCtx, claimTimeout)
	defer cancel()
	if cc.grant != 0 {
		report := claim.Report{Key: cc.key, Grant: cc.grant, Outcome: api.OutcomeNotRun}
		if err := cc.server.claimer.Settle(ctx, report); err != nil {
			return err
		}
		cc.grant = 0
	}
	claimant := fmt.Sprintf("%s/%d", cc.id, attempt)
	d, err := cc.server.claimer.Claim(ctx, claim.Request{
		Key:      cc.key,
		Digest:   cc.digest,
		Place:    claim.Place{Target: target, Incarnation: inc},
		Claimant: claimant,
		Request:  cc.id,
	})
	if err != nil {
		cc.server.abandon(cc.key, claimant)
		return err
	}
	return cc.handleDecision(d)
}

// abandon releases, in the background, a claim that may have been recorded although its
// response was lost. Otherwise the caller's next try would be refused because the call
// seems to be in progress.
func (s *Server) abandon(key claim.Key, claimant string) {
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.baseCtx, settleTimeout)
		defer cancel()
		_ = s.claimer.Abandon(ctx, key, claimant)
	})
}

// handleDecision stores the grant, or returns the error that ends the request.
func (cc *callClaim) handleDecision(d claim.Decision) error {
	switch d.Verdict {
	case claim.Granted:
		cc.grant = d.Record.Grant
		return nil
	case claim.Answered:
		return cc.useStoredAnswer(d.Record)
	case claim.InProgress:
		err := cc.refuse(api.OutcomeUnknown, d.Verdict.Reason(), "the call with this key is in progress; ask again for its answer")
		err.RetryAfter = inProgressRetryAfter
		return err
	case claim.Undecided:
		return cc.refuse(api.OutcomeUnknown, d.Verdict.Reason(), "nothing proves whether the call with this key ran; it will not run again")
	case claim.Conflict:
		return cc.refuse(api.OutcomeNotRun, d.Verdict.Reason(), "this key was used for another request")
	}
	return cc.refuse(api.OutcomeNotRun, d.Verdict.Reason(), "too many keys are remembered for this customer")
}

func (cc *callClaim) refuse(o api.Outcome, reason api.Reason, text string) *api.Error {
	return &api.Error{Step: api.StepClaim, Outcome: o, Reason: reason, Err: errors.New(text)}
}

// useStoredAnswer takes the stored answer from the record of the claim. It always
// returns an error, so that no dispatch follows. If the stored answer can be used, the
// outcome of the error is completed and the caller receives the stored answer.
// Otherwise the error tells the caller the outcome of the earlier call.
func (cc *callClaim) useStoredAnswer(r claim.Record) error {
	if !r.Kept || r.Outcome != api.OutcomeCompleted {
		return cc.refuse(r.Outcome, api.ReasonDuplicate, "the call with this key ended as "+string(r.Outcome)+" and its answer is not kept")
	}
	var answer storedAnswer
	if err := cbor.Unmarshal(r.Answer, &answer); err != nil {
		return cc.refuse(r.Outcome, api.ReasonIntegrity, "the kept answer cannot be read")
	}
	if err := answer.check(); err != nil {
		// An entry of another version took it for an answer.
		return cc.refuse(api.OutcomeUnknown, api.ReasonIntegrity, "the kept answer is none: "+err.Error())
	}
	cc.storedAnswer = &answer
	return cc.refuse(api.OutcomeCompleted, api.ReasonDuplicate, "the kept answer is given")
}

// settle reports the outcome of the call to the control group, with the answer if it is
// not nil. It does so in the background, so that the caller does not wait for it. If
// the report is lost, the outcome of the claim stays unknown, which is safe: the key is
// never granted again.
func (cc *callClaim) settle(end entry.End, answer *storedAnswer) {
	if cc.grant == 0 {
		return
	}
	report := claim.Report{Key: cc.key, Grant: cc.grant, Outcome: end.Outcome}
	if answer != nil {
		if b, err := cbor.Marshal(answer); err == nil {
			report.Status = answer.Status
			report.Answer = b
		}
	}
	cc.server.background.Go(func() {
		ctx, cancel := context.WithTimeout(cc.server.baseCtx, settleTimeout)
		defer cancel()
		_ = cc.server.claimer.Settle(ctx, report)
	})
}
