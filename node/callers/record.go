package callers

import (
	"strings"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/wire"
)

// record passes a plain call's body on and keeps it for the claim's answer, as
// long as it stays within its bound.
type record struct {
	ticket *ticket // nil when the call needs no claim
	kept   kept
	bound  int
	over   bool
	done   bool
}

func newRecord(t *ticket, bound int) *record { return &record{ticket: t, bound: bound} }

func (r *record) head(h *wire.Head) {
	r.kept.Status = h.Status
	for _, line := range h.Headers {
		if !hopByHop[strings.ToLower(line.Name)] {
			r.kept.Headers = append(r.kept.Headers, keptHeader{line.Name, line.Value})
		}
	}
}

// render implements renderer.
func (r *record) render(dst []byte, e entry.Event) ([]byte, error) {
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
		r.keep(item)
	}
	return dst, nil
}

func (r *record) keep(item []byte) {
	if r.ticket == nil || r.over {
		return
	}
	if len(r.kept.Body)+len(item) > r.bound {
		r.over = true
		r.kept.Body = nil
		return
	}
	r.kept.Body = append(r.kept.Body, item...)
}

// end implements renderer. A body cut short ends the connection.
func (r *record) end(dst []byte, e entry.End) ([]byte, entry.End, bool) {
	r.settle(e)
	return dst, e, e.Outcome != api.OutcomeCompleted
}

// settle tells the claim how the call ended, once.
func (r *record) settle(e entry.End) {
	if r.ticket == nil || r.done {
		return
	}
	r.done = true
	if r.over || e.Outcome != api.OutcomeCompleted {
		r.ticket.settle(e, nil)
		return
	}
	r.ticket.settle(e, &r.kept)
}
