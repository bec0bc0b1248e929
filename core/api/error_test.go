package api

import (
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An error from outside this project does not prove that the request did not
// run, so the caller must not be told so.
func TestAsErrorOfForeignErrorIsUnknown(t *testing.T) {
	c := qt.New(t)
	e := AsError(io.ErrUnexpectedEOF)
	c.Assert(e.Outcome, qt.Equals, OutcomeUnknown)
	c.Assert(errors.Is(e, io.ErrUnexpectedEOF), qt.IsTrue)
}

func TestErrorCarriesStepAndPeer(t *testing.T) {
	c := qt.New(t)
	e := &Error{Step: StepQueue, Peer: "lhr-a-1", Outcome: OutcomeNotRun, Reason: ReasonQueueFull, RetryAfter: 1500 * time.Millisecond}
	c.Assert(e.Error(), qt.Equals, "queue lhr-a-1: queue_full (retry after 1.5s)")
}

func TestEveryReasonHasAStatus(t *testing.T) {
	c := qt.New(t)
	for r, info := range Reasons {
		c.Assert(info.Status >= 400, qt.IsTrue, qt.Commentf("%s", r))
		c.Assert(info.Type, qt.Not(qt.Equals), "", qt.Commentf("%s", r))
	}
}
