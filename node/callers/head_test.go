package callers

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// TestStoredHeadThatIsNoAnswerIsNotGiven guards against an answer, stored by an entry of another version, whose
// status is no final answer, or which has a field without a valid name, and reaches a caller.
func TestStoredHeadThatIsNoAnswerIsNotGiven(t *testing.T) {
	var answers []storedAnswer
	for _, status := range []int{-1, 0, 99, 100, 101, 199, 600, 999} {
		answers = append(answers, storedAnswer{Status: status, Body: []byte("old")})
	}
	for _, name := range []string{"", " ", "X Bad", "X-Bad ", "X\tBad", "X\x00Bad", "Content-Length "} {
		answers = append(answers, storedAnswer{Status: 200, Headers: []storedHeader{{"X", "v"}, {name, "v"}}, Body: []byte("old")})
	}
	for _, answer := range answers {
		t.Run(fmt.Sprintf("%d %q", answer.Status, answer.Headers), func(t *testing.T) {
			stored, err := cbor.Marshal(answer)
			qt.Assert(t, err, qt.IsNil)
			group := &fakeClaimer{decide: decided(claim.Answered, claim.Record{Outcome: api.OutcomeCompleted, Kept: true, Answer: stored})}
			f := newTestServer(t, Config{}, group, func(*fakeAgent, *wire.Offer) { panic("offered") })
			c := f.dial()
			resp := c.request("POST", "/bookings", "{}", "Idempotency-Key: k\r\n")
			c.readBody(resp)
			f.c.Assert(resp.StatusCode, qt.Equals, 502)
			f.c.Assert(resp.Header.Get(HeaderOutcome), qt.Equals, string(api.OutcomeUnknown))
		})
	}
}
