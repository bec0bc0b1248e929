package callers

import (
	"strings"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/wire"
)

// answerRecorder passes on the body of a plain call and records the response for the
// claim, unless the body is larger than maxBytes.
type answerRecorder struct {
	callClaim    *callClaim // nil if the call has no claim
	storedAnswer storedAnswer
	maxBytes     int
	overflowed   bool
	settled      bool
}

func newAnswerRecorder(claim *callClaim, maxBytes int) *answerRecorder {
	return &answerRecorder{callClaim: claim, maxBytes: maxBytes}
}

func (r *answerRecorder) recordHead(h *wire.Head) {
	r.storedAnswer.Status = h.Status
	for _, line := range h.Headers {
		if !hopByHop[strings.ToLower(line.Name)] {
			r.storedAnswer.Headers = append(r.storedAnswer.Headers, storedHeader{line.Name, line.Value})
		}
	}
}

// render implements renderer.
func (r *answerRecorder) render(dst []byte, e entry.Event) ([]byte, error) {
	packed := e.Packed
	if e.Kind != entry.EventItems {
		return dst, nil
	}
	for len(packed) > 0 {
		item, rest, err := stream.Next(packed)
		if err != nil {
			return dst, err
		}
		packed = rest
		dst = append(dst, item...)
		r.appendBody(item)
	}
	return dst, nil
}

func (r *answerRecorder) appendBody(item []byte) {
	if r.callClaim == nil || r.overflowed {
		return
	}
	if len(r.storedAnswer.Body)+len(item) > r.maxBytes {
		r.overflowed = true
		r.storedAnswer.Body = nil
		return
	}
	r.storedAnswer.Body = append(r.storedAnswer.Body, item...)
}

// end implements renderer. It requests that the connection be closed if the body is
// incomplete.
func (r *answerRecorder) end(dst []byte, e entry.End) ([]byte, entry.End, bool) {
	r.settle(e)
	return dst, e, e.Outcome != api.OutcomeCompleted
}

// settle reports the outcome of the call, and its recorded response if complete, to the
// claim. Only the first call has an effect.
func (r *answerRecorder) settle(e entry.End) {
	if r.callClaim == nil || r.settled {
		return
	}
	r.settled = true
	if r.overflowed || e.Outcome != api.OutcomeCompleted {
		r.callClaim.settle(e, nil)
		return
	}
	r.callClaim.settle(e, &r.storedAnswer)
}
