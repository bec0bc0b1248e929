package control

import (
	"crypto/subtle"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control/opapi"
	"almondseam.dev/node/inbound"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

const (
	operatorBodyLimit = 2 << 20
	bearerPrefix      = "Bearer "
)

// Operator serves the operator interface of one member over HTTP. Requests that only
// the leader can execute are forwarded to it.
type Operator struct {
	member *Member
	exec   *executor
	token  []byte
}

// NewOperator returns the interface. With an empty token it rejects every request.
func NewOperator(x *executor, token string) *Operator {
	return &Operator{member: x.member, exec: x, token: []byte(token)}
}

// App returns the fiber application that serves the interface.
func (o *Operator) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: operatorBodyLimit, ErrorHandler: o.handleError})
	app.Use(o.authenticate)
	app.Get(opapi.PathStatus, o.getStatus)
	app.Get(opapi.PathTargets, o.listTargets)
	app.Post(opapi.PathDrain, o.putDrain)
	app.Get(opapi.PathConfig, o.getConfig)
	app.Post(opapi.PathConfig, o.putConfig)
	app.Get(opapi.PathHistory, o.listHistory)
	app.Get(opapi.PathOrders, o.listOrders)
	app.Post(opapi.PathOrders, o.putOrder)
	app.Get(opapi.PathZones, o.listZones)
	app.Post(opapi.PathZones, o.putZone)
	app.Get(opapi.PathQuarantine, o.listQuarantine)
	app.Post(opapi.PathQuarantine, o.liftQuarantine)
	app.Get(opapi.PathMembers, o.listMembers)
	app.Post(opapi.PathMembers, o.putMember)
	app.Get(opapi.PathClaims, o.findClaim)
	return app
}

// authenticate compares the token in constant time and counts rejected requests. If
// the member's own token is empty, every request is rejected.
func (o *Operator) authenticate(c fiber.Ctx) error {
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok || len(o.token) == 0 || subtle.ConstantTimeCompare([]byte(given), o.token) != 1 {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonUnauthenticated, "operator token is missing or wrong")
	}
	return c.Next()
}

func (o *Operator) handleError(c fiber.Ctx, err error) error {
	return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
}

// refuseOperator responds to a request that was refused before it was looked at.
func refuseOperator(ctx *fasthttp.RequestCtx, r inbound.Refusal) {
	body, err := json.Marshal(opapi.Error{Outcome: api.OutcomeNotRun, Reason: r.Reason, Message: r.Err.Error()})
	if err != nil {
		body = nil // the status says enough
	}
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType(fiber.MIMEApplicationJSON)
	ctx.SetBody(body)
}

// refuse rejects a request with a reason, which it counts.
func (o *Operator) refuse(c fiber.Ctx, outcome api.Outcome, reason api.Reason, message string) error {
	o.member.opt.Observer.Refused(reason)
	return c.Status(api.Reasons[reason].Status).JSON(opapi.Error{Outcome: outcome, Reason: reason, Message: message})
}

func (o *Operator) getStatus(c fiber.Ctx) error {
	r := o.exec.run(Request{Status: true})
	if r.Outcome == api.OutcomeCompleted {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(r.Status)
	}
	// Without a leader the member's own view is still useful; its Majority field is
	// false.
	st := o.member.Status()
	return c.JSON(o.member.view(&st, time.Now()))
}

func (o *Operator) listTargets(c fiber.Ctx) error {
	r := o.exec.run(Request{Status: true})
	if r.Outcome != api.OutcomeCompleted {
		return o.refuse(c, r.Outcome, r.Reason, r.Message)
	}
	var s opapi.Status
	if err := json.Unmarshal(r.Status, &s); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonInternal, err.Error())
	}
	return c.JSON(s.Targets)
}

func (o *Operator) putConfig(c fiber.Ctx) error {
	var in opapi.ConfigPut
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	put := state.ConfigPut{ChangeID: in.ChangeID, Author: in.Author, Base: in.Base, Document: in.Document}
	r := o.exec.run(Request{Command: &state.Command{Config: &put}})
	if r.Outcome != api.OutcomeCompleted {
		return o.refuse(c, r.Outcome, r.Reason, r.Message)
	}
	if r.Result.Config == nil {
		return o.refuse(c, api.OutcomeNotRun, r.Result.Reason, r.Result.Message)
	}
	return o.configResult(c, r.Result.Config)
}

func (o *Operator) configResult(c fiber.Ctx, r *state.ConfigResult) error {
	out := opapi.ConfigResult{
		Accepted: r.Accepted,
		Repeated: r.Repeated,
		Current:  r.Revision,
		Author:   r.Author,
		ChangeID: r.ChangeID,
		Message:  r.Message,
	}
	if r.Accepted || r.Reason == api.ReasonStaleFence {
		return c.JSON(out)
	}
	return o.refuse(c, api.OutcomeNotRun, r.Reason, r.Message)
}

// getConfig returns one revision with its document. Without a revision number it
// returns the current one, which is at least the highest that a majority confirmed.
func (o *Operator) getConfig(c fiber.Ctx) error {
	revision, err := strconv.ParseUint(c.Query("revision", "0"), 10, 64)
	if err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	if err := o.catchUp(); err != nil {
		return o.refuse(c, err.Outcome, err.Reason, err.Error())
	}
	m := o.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	found, ok := m.state.Current(), true
	if revision != 0 {
		found, ok = m.state.Revision(api.Revision(revision))
	}
	if !ok || found.Revision == 0 {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonNoConfig, "no such revision is kept")
	}
	return c.JSON(revisionOf(found))
}

func (o *Operator) listHistory(c fiber.Ctx) error {
	if err := o.catchUp(); err != nil {
		return o.refuse(c, err.Outcome, err.Reason, err.Error())
	}
	m := o.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]opapi.Revision, 0, len(m.state.History()))
	for _, cfg := range m.state.History() {
		cfg.Document = nil
		out = append(out, revisionOf(cfg))
	}
	return c.JSON(out)
}

func revisionOf(c state.Config) opapi.Revision {
	return opapi.Revision{
		Revision: c.Revision,
		ChangeID: c.ChangeID,
		Author:   c.Author,
		Accepted: time.UnixMilli(c.Wall).UTC(),
		Size:     c.Size,
		Document: c.Document,
	}
}

// catchUp reads the highest revision, confirmed by a majority, and waits until this
// member has applied it, so that an operator never reads an older revision than was
// accepted before the request.
func (o *Operator) catchUp() *api.Error {
	r := o.exec.run(Request{Read: true})
	if r.Outcome != api.OutcomeCompleted {
		return &api.Error{Step: api.StepConfig, Outcome: api.OutcomeNotRun, Reason: r.Reason}
	}
	limit := time.After(operatorTimeout)
	for {
		view, changed := o.member.watcherView()
		if view.config.Revision >= r.Revision {
			return nil
		}
		select {
		case <-changed:
		case <-limit:
			return &api.Error{Step: api.StepConfig, Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable}
		}
	}
}

func (o *Operator) listOrders(c fiber.Ctx) error {
	m := o.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := m.state.Orders().List()
	out := make([]opapi.Order, 0, len(list))
	for _, x := range list {
		out = append(out, orderOf(x))
	}
	return c.JSON(out)
}

func orderOf(x order.Order) opapi.Order {
	return opapi.Order{
		ID: x.ID, Fence: x.Fence, State: string(x.State), Message: x.Message, Author: x.Author,
		Target: x.Spec.Target, Action: string(x.Spec.Action), Model: x.Spec.Model,
		Adapter: x.Spec.Adapter, Version: x.Spec.Version, Role: x.Spec.Role, Bytes: x.Spec.Bytes,
	}
}

func (o *Operator) putOrder(c fiber.Ctx) error {
	var in opapi.Order
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	cmd := order.Command{Op: order.OpSubmit, ID: in.ID, Author: in.Author, Spec: order.Spec{
		Target: in.Target, Action: order.Action(in.Action), Model: in.Model,
		Adapter: in.Adapter, Version: in.Version, Role: in.Role, Bytes: in.Bytes,
	}}
	r := o.exec.run(Request{Command: &state.Command{Order: &cmd}})
	if r.Outcome != api.OutcomeCompleted {
		return o.refuse(c, r.Outcome, r.Reason, r.Message)
	}
	if r.Result.Reason != "" {
		return o.refuse(c, api.OutcomeNotRun, r.Result.Reason, r.Result.Message)
	}
	return c.JSON(orderOf(*r.Result.Order))
}

func (o *Operator) putDrain(c fiber.Ctx) error {
	var in opapi.Drain
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	if in.Target == "" {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, "target is empty")
	}
	cmd := state.Command{Drain: &state.Drain{Target: in.Target, Incarnation: in.Incarnation, Undo: in.Undo, Author: in.Author}}
	r := o.exec.run(Request{Command: &cmd})
	if r.Outcome != api.OutcomeCompleted {
		return o.refuse(c, r.Outcome, r.Reason, r.Message)
	}
	if r.Result.Reason != "" {
		return o.refuse(c, api.OutcomeNotRun, r.Result.Reason, r.Result.Message)
	}
	return c.JSON(in)
}

func (o *Operator) putZone(c fiber.Ctx) error {
	var in opapi.ZoneOrder
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	order := state.Evacuation{Zone: in.Zone, Finish: !in.Evacuated, Author: in.Author}
	err := EvacuationError(o.exec.run(Request{Command: &state.Command{Evacuation: &order}}))
	if err != nil {
		e := api.AsError(err)
		return o.refuse(c, e.Outcome, e.Reason, err.Error())
	}
	return c.JSON(in)
}

// listZones lists the last evacuation order for each availability zone. It first waits until
// this member has applied the orders up to the log index that the leader has confirmed, so that
// an operator sees every order that was confirmed before the request.
func (o *Operator) listZones(c fiber.Ctx) error {
	r := o.exec.run(Request{Read: true})
	if r.Outcome != api.OutcomeCompleted || r.Evacuated == nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonControlUnavailable, r.Message)
	}
	if !o.member.waitForEvacuations(r.Evacuated.Index) {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonControlUnavailable, "this member lags behind the leader")
	}
	list := []opapi.ZoneOrder{}
	for _, z := range o.member.ZoneOrders() {
		list = append(list, opapi.ZoneOrder{Zone: z.Zone, Evacuated: z.Evacuated, Author: z.Author, Index: z.Index})
	}
	return c.JSON(list)
}

func (o *Operator) listMembers(c fiber.Ctx) error {
	r := o.exec.run(Request{Status: true})
	if r.Outcome != api.OutcomeCompleted {
		return o.refuse(c, r.Outcome, r.Reason, r.Message)
	}
	var s opapi.Status
	if err := json.Unmarshal(r.Status, &s); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonInternal, err.Error())
	}
	return c.JSON(s.Members)
}

var memberChangeTypes = map[string]consensus.ChangeType{
	opapi.MemberAdd:     consensus.ChangeAddLearner,
	opapi.MemberPromote: consensus.ChangePromote,
	opapi.MemberRemove:  consensus.ChangeRemove,
}

func (o *Operator) putMember(c fiber.Ctx) error {
	var in opapi.MemberChange
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, err.Error())
	}
	changeType, ok := memberChangeTypes[in.Change]
	if !ok || in.ID == 0 {
		return o.refuse(c, api.OutcomeNotRun, api.ReasonBadRequest, "change or member ID is not valid")
	}
	r := o.exec.run(Request{Change: &MemberChange{Type: changeType, ID: consensus.MemberID(in.ID), Addr: in.Address}})
	if r.Outcome != api.OutcomeCompleted {
		return o.refuse(c, r.Outcome, r.Reason, r.Message)
	}
	return c.JSON(in)
}

func (o *Operator) findClaim(c fiber.Ctx) error {
	id := api.RequestID(strings.Clone(c.Query("request")))
	if err := o.catchUp(); err != nil {
		return o.refuse(c, err.Outcome, err.Reason, err.Error())
	}
	m := o.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	rec, ok := m.state.Claims().FindRequest(id)
	if !ok {
		return c.JSON(opapi.Claim{Request: id})
	}
	return c.JSON(opapi.Claim{
		Found: true, Request: id, Customer: rec.Key.Customer, Key: rec.Key.Name, State: rec.State.String(),
		Grant: rec.Grant, Attempt: rec.Attempt, Target: rec.Place.Target, Incarnation: rec.Place.Incarnation,
		Outcome: rec.Outcome, Kept: rec.Kept, Undecided: m.state.Claims().Undecided(rec, m.state.Now()),
	})
}
