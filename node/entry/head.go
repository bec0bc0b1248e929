package entry

import (
	"fmt"

	"almondseam.dev/core/api"
	"almondseam.dev/node/fieldline"
	"almondseam.dev/node/statusline"
	"almondseam.dev/node/wire"
)

// onHead processes the head of a response. It runs on the link's reading goroutine.
//
// An agent of another version may report any head. One that is no final response's is kept from the caller, with
// the items that follow: they would make the attempt look as if it had brought a part of an answer.
func (d *dispatch) onHead(m *wire.Head) {
	if checkHead(m) == nil {
		d.answer.setHead(m)
		return
	}
	d.badHead.Store(true)
	d.deliver(m)
}

// checkHead returns an error unless m is the head of a final response.
func checkHead(m *wire.Head) error {
	if !statusline.IsFinal(m.Status) {
		return fmt.Errorf("%w: status %d", statusline.ErrInvalid, m.Status)
	}
	for _, h := range m.Headers {
		if err := fieldline.CheckName(h.Name); err != nil {
			return err
		}
	}
	return nil
}

// badHead ends a dispatch whose target has sent no final response.
func (f *follower) badHead(m *wire.Head) error {
	f.cancel(&wire.Cancel{Key: f.d.key})
	return f.e.newError(f.d, api.StepEngine, api.OutcomeUnknown, api.ReasonEngineDied, checkHead(m))
}
