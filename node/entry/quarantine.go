package entry

import (
	"context"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/wire"
)

// SetQuarantine sets the requests to refuse because they crash targets. It must be called before the
// first request.
func (e *Entry) SetQuarantine(q *crash.Quarantine) { e.quarantine = q }

// refuseQuarantined returns an error if the request is quarantined.
func (e *Entry) refuseQuarantined(r *Request) error {
	left := e.quarantine.Refuses(r.identity)
	if left == 0 {
		return nil
	}
	err := api.NotRun(api.StepRoute, "", api.ReasonQuarantined, crash.ErrQuarantined)
	err.RetryAfter = max(left, time.Second)
	return err
}

// asCancelled returns err with the reason quarantined if ctx was cancelled for it, and otherwise
// with the reason cancelled. The outcome is kept, because not_run is proof that the request did not
// run.
func (e *Entry) asCancelled(ctx context.Context, r *Request, err *api.Error) *api.Error {
	cancelled := *err
	cancelled.Reason = api.ReasonCancelled
	if errors.Is(context.Cause(ctx), crash.ErrQuarantined) {
		cancelled.Reason = api.ReasonQuarantined
		if err.Outcome == api.OutcomeNotRun {
			cancelled.RetryAfter = e.quarantine.Refuses(r.identity)
		}
	}
	return &cancelled
}

// targetCrashed reports the crash of a target with which a dispatch ended.
func (e *Entry) targetCrashed(d *dispatch, c *wire.Crash) {
	if d.req.identity == nil {
		return // a caller that has returned sends no body to identify the request by
	}
	service := d.req.Service
	if service == "" {
		service = api.ServiceID(d.req.Query.Model)
	}
	e.quarantine.Crashed(
		quarantine.Crash{Target: d.target, Service: service, Born: c.At, Targets: e.placer.Size(d.req.Query)},
		[]crash.Lost{{Identity: d.req.identity, InProgress: c.InProgress}},
	)
}
