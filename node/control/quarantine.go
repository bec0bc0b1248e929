package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control/opapi"
	"github.com/gofiber/fiber/v3"
)

// answerKnownQuarantine answers a report about requests that crash targets which would change
// nothing, and reports whether it did: every entry that serves a suspected request reports it, and
// the first report suffices. Only the leader answers.
func (m *Member) answerKnownQuarantine(c *call) bool {
	q := c.req.Command.Quarantine
	if q == nil || m.role != consensus.RoleLeader || m.state.ChangesQuarantine(*q) {
		return false
	}
	c.answer(&Reply{Outcome: api.OutcomeCompleted, Result: &state.Result{}})
	return true
}

// Quarantine returns the requests that are refused because they crash targets, and those that may
// soon be, as far as this member has applied the log.
func (m *Member) Quarantine() quarantine.List {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Quarantine()
}

// ReportQuarantine reports a crash of a target, or runs that ended well, to the group. It may be
// repeated. An error with the reason bad_request says that the group refuses the report; after any
// other it is unknown whether the group has recorded it.
func (c *Client) ReportQuarantine(ctx context.Context, q quarantine.Command) error {
	r, _ := c.call(ctx, Request{Command: &state.Command{Quarantine: &q}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil {
		return unavailable(api.StepQuarantine, r, api.OutcomeUnknown)
	}
	if r.Result.Reason != "" {
		return api.NotRun(api.StepQuarantine, "", r.Result.Reason, errors.New(r.Result.Message))
	}
	return nil
}

// listQuarantine lists what this member knows of requests that crash targets.
func (o *Operator) listQuarantine(c fiber.Ctx) error {
	known := o.member.Quarantine()
	list := []opapi.QuarantinedRequest{}
	for _, r := range known.Records {
		q := opapi.QuarantinedRequest{Fingerprint: r.Fingerprint.String(), Customer: r.Customer, URI: r.URI, BodyBytes: r.BodyBytes, Part: r.Part}
		for _, with := range r.With {
			q.With = append(q.With, with.String())
		}
		if r.Quarantined() {
			q.Left.Duration = time.Duration(max(r.Until-known.Now, 0)) * time.Millisecond
		}
		for _, run := range r.Runs {
			q.Crashed = append(q.Crashed, string(run.Target))
		}
		list = append(list, q)
	}
	return c.JSON(list)
}

// liftQuarantine allows a request again. It is no error if the request is not quarantined.
func (o *Operator) liftQuarantine(c fiber.Ctx) error {
	var in opapi.QuarantineLift
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	f, err := quarantine.ParseFingerprint(in.Fingerprint)
	if err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	r := o.exec.run(Request{Command: &state.Command{Quarantine: &quarantine.Command{Lift: &f, Author: in.Author}}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Reason != "" {
		return o.refuse(c, r.Outcome, api.ReasonControlUnavailable, r.Message)
	}
	return c.JSON(in)
}
