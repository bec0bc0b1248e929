package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

const (
	defaultReportEvery = 2 * time.Second
	retryMin           = 20 * time.Millisecond
	retryMax           = 250 * time.Millisecond
	// tryFor bounds one attempt. A stopped member keeps its connections open,
	// so that without the bound a call would wait for the link's silence.
	tryFor = 2 * time.Second
)

// ClientOptions of a Client.
type ClientOptions struct {
	// Seeds are addresses of control members, host:port. More are learnt.
	Seeds []string
	// Not is an address that is never dialled unless it is the only one.
	Not  string
	Link link.Options
	// OnMembers is called with the link addresses of the whole group whenever a
	// member tells them; it may be nil.
	OnMembers func(addrs []string)
	// OnConfig is called with each newer revision, in rising order, on one
	// goroutine. It must not block for long. Document is read-only.
	OnConfig func(revision api.Revision, document []byte)
	// OnDrains is called with all targets that operators drain, whenever the
	// list changes; on the same goroutine as OnConfig. It may be nil.
	OnDrains func(targets []state.Drain)
	// OnEntries is called with all live entries, whenever they change, on one
	// goroutine.
	OnEntries func(list []wire.EntryInfo)
	// OnOrders is called with the targets that have an order waiting and none
	// in flight, like OnDrains.
	OnOrders func(ready []api.TargetID)
	// OnEvacuated is called with all evacuated availability zones whenever they change, on
	// the same goroutine as OnConfig, and by HighestRevision on its caller's. A list may be
	// older than one given before: its index tells. It may be nil.
	OnEvacuated func(state.Evacuated)
	// OnLimits is called with all limits that targets name whenever one changes, on the same
	// goroutine as OnConfig, and before the first configuration of a link. A list may be older
	// than one given before: its index tells. It may be nil.
	OnLimits func(state.TargetLimits)
	// Observer hears of failed dials; it may be nil.
	Observer ClientObserver
	// Report gives what is told of this process; it may be nil.
	Report      func() Report
	ReportEvery time.Duration
}

// ClientObserver hears of links that don't come up; of the others the observer of
// the link options hears. Its methods are called on one goroutine.
type ClientObserver interface {
	// DialFailed is told of the first failure in a row: a client tries again
	// several times a second.
	DialFailed(addr string, err error)
}

type noClientObserver struct{}

func (noClientObserver) DialFailed(string, error) {}

// Client is an entry's road to the control group. It keeps one link, to the
// leader if one is known. Run drives it; the other methods may be called from
// several goroutines and retry within their context.
type Client struct {
	opt ClientOptions

	mu      sync.Mutex
	conn    *link.Conn
	up      chan struct{} // closed while a link is up
	next    string        // address to dial next, empty for any known
	last    string        // address dialled last
	members []string      // learnt addresses of the group
	// failedAt is when each address last failed.
	failedAt map[string]time.Time
	// leaderless closes a link to a member that knows of no leader.
	leaderless *time.Timer
	seq        uint64
	waiting    map[uint64]chan *Reply

	// revision and document are what was last delivered, whole asks for no
	// patch next; Run's goroutine only.
	revision api.Revision
	document []byte
	whole    bool
	drained  uint64
	// failing tells that the last dial failed; Run's goroutine only.
	failing  bool
	patience *link.Patience
}

// NewClient makes a client.
func NewClient(opt ClientOptions) *Client {
	if opt.OnConfig == nil {
		opt.OnConfig = func(api.Revision, []byte) {}
	}
	if opt.OnMembers == nil {
		opt.OnMembers = func([]string) {}
	}
	if opt.OnEntries == nil {
		opt.OnEntries = func([]wire.EntryInfo) {}
	}
	if opt.OnDrains == nil {
		opt.OnDrains = func([]state.Drain) {}
	}
	if opt.OnOrders == nil {
		opt.OnOrders = func([]api.TargetID) {}
	}
	if opt.OnEvacuated == nil {
		opt.OnEvacuated = func(state.Evacuated) {}
	}
	if opt.OnLimits == nil {
		opt.OnLimits = func(state.TargetLimits) {}
	}
	if opt.Observer == nil {
		opt.Observer = noClientObserver{}
	}
	if opt.ReportEvery == 0 {
		opt.ReportEvery = defaultReportEvery
	}
	return &Client{
		opt: opt, up: make(chan struct{}), waiting: make(map[uint64]chan *Reply), failedAt: make(map[string]time.Time),
		patience: link.NewPatience(dialLeast, clientDialMost),
	}
}

// Run keeps the link up until ctx is done.
func (c *Client) Run(ctx context.Context) {
	link.Keep(ctx, retryMin, retryMax, func() bool { return c.once(ctx) })
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// once dials one member and stays until the link ends.
func (c *Client) once(ctx context.Context) bool {
	addr := c.address()
	conn, err := c.patience.Dial(ctx, addr, c.opt.Link)
	if err != nil {
		c.fail(addr)
		c.dialFailed(ctx, addr, err)
		return false
	}
	c.failing = false
	c.attach(conn)
	_ = conn.Send(&Watch{From: c.revision, Whole: c.whole})
	var wg conc.WaitGroup
	wg.Go(func() { c.reportLoop(ctx, conn) })
	conn.Run(ctx, func(m wire.Message) { c.handle(conn, m) })
	if conn.Why() == link.CloseSilence {
		c.fail(addr)
	}
	c.detach(conn)
	wg.Wait()
	return true
}

// dialFailed tells of a row of failures once, and not of a dial that the end of
// this process cut short.
func (c *Client) dialFailed(ctx context.Context, addr string, err error) {
	if c.failing || ctx.Err() != nil {
		return
	}
	c.failing = true
	c.opt.Observer.DialFailed(addr, err)
}

func (c *Client) attach(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	close(c.up)
}

// detach fails every call that waits for an answer on the link.
func (c *Client) detach(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	c.up = make(chan struct{})
	for id, ch := range c.waiting {
		delete(c.waiting, id)
		close(ch)
	}
}

func (c *Client) handle(conn *link.Conn, m wire.Message) {
	switch m := m.(type) {
	case *Reply:
		c.reply(conn, m)
	case *Update:
		c.update(conn, m)
	case *Drains:
		c.drains(m)
	case *Entries:
		c.opt.OnEntries(m.List)
	case *Orders:
		c.opt.OnOrders(m.Ready)
	case *Evacuated:
		c.opt.OnEvacuated(m.Evacuated)
	case *Limits:
		c.opt.OnLimits(m.TargetLimits)
	case *Leader:
		c.leader(conn, m)
	}
}

func (c *Client) reply(conn *link.Conn, r *Reply) {
	c.mu.Lock()
	ch := c.waiting[r.ID]
	delete(c.waiting, r.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- r
	}
	if r.Leader != "" {
		c.move(conn, r.Leader)
	}
}

// update delivers a newer configuration. A patch that doesn't fit what is held
// here ends the link; the next one begins with a whole document. The revision
// stays, so that a member which lags can't take this process back.
func (c *Client) update(conn *link.Conn, u *Update) {
	if u.Revision <= c.revision {
		return
	}
	document := u.Document
	if u.Patch != nil {
		var ok bool
		if u.Base == c.revision {
			document, ok = u.Patch.Apply(c.document)
		}
		if !ok {
			c.whole = true
			conn.Close()
			return
		}
	}
	c.revision, c.document, c.whole = u.Revision, document, false
	c.opt.OnConfig(u.Revision, document)
}

// drains delivers a list unless a newer one was: a member that lags must not
// give a target work again that is being drained.
func (c *Client) drains(m *Drains) {
	if m.Index < c.drained {
		return
	}
	c.drained = m.Index
	c.opt.OnDrains(m.Targets)
}

// reportLoop reports on one link: whole at first, then what has changed. A report
// lists all linked targets; sent whole every second it would by itself pass an
// entry's 5 KB a second from 150 targets on.
func (c *Client) reportLoop(ctx context.Context, conn *link.Conn) {
	if c.opt.Report == nil {
		return
	}
	t := time.NewTicker(c.opt.ReportEvery)
	defer t.Stop()
	var told *Report
	for {
		r := c.opt.Report()
		_ = conn.Send(difference(told, r))
		told = &r
		select {
		case <-t.C:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// call sends a request until a member gives an answer other than "not here",
// or ctx ends. Whatever may be repeated safely may be given to it, which is all
// that a Request can hold. sure tells whether every attempt is known to have
// had no effect.
func (c *Client) call(ctx context.Context, req Request) (reply *Reply, sure bool) {
	sure = true
	pause := retryMin
	last := &Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable, Message: "no member of the control group was reached"}
	for ctx.Err() == nil {
		r, sent := c.try(ctx, req)
		if r != nil && r.Reason != api.ReasonControlUnavailable && r.Reason != api.ReasonQueueFull {
			return r, sure
		}
		if r != nil {
			last = r
			sent = r.Outcome != api.OutcomeNotRun
		}
		if sent {
			sure = false
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMax)
	}
	return last, sure
}

// try makes one attempt. Without a reply, sent tells whether the request may
// have reached a member.
func (c *Client) try(ctx context.Context, req Request) (r *Reply, sent bool) {
	c.mu.Lock()
	up := c.up
	c.mu.Unlock()
	select {
	case <-up:
	case <-ctx.Done():
		return nil, false
	}
	ch := make(chan *Reply, 1)
	c.mu.Lock()
	conn := c.conn
	c.seq++
	req.ID = c.seq
	c.waiting[req.ID] = ch
	c.mu.Unlock()
	defer c.forget(req.ID)
	if conn == nil || conn.Send(&req) != nil {
		return nil, false
	}
	limit := time.NewTimer(tryFor)
	defer limit.Stop()
	select {
	case r = <-ch:
		return r, true
	case <-limit.C:
		conn.Close()
	case <-ctx.Done():
	}
	return nil, true
}

func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// unavailable builds the error of a request that got no answer.
func unavailable(step api.Step, r *Reply, outcome api.Outcome) error {
	return &api.Error{Step: step, Outcome: outcome, Reason: r.Reason, RetryAfter: r.RetryAfter, Err: errors.New(r.Message)}
}

// Claim asks for the grant of a call. An error means that this asker holds no
// grant and must not dispatch; as nobody else may dispatch on its behalf, the
// call's outcome is then not_run. The claim may have been recorded all the
// same, so Claim gives it back in the background of the next calls: see Abandon.
func (c *Client) Claim(ctx context.Context, req claim.Request) (claim.Decision, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Claim: &req}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Claim == nil {
		return claim.Decision{}, unavailable(api.StepClaim, r, api.OutcomeNotRun)
	}
	return *r.Result.Claim, nil
}

// Abandon gives back a claim whose grant was never learnt, so that the same key
// can be tried again at once. Call it when Claim has failed.
func (c *Client) Abandon(ctx context.Context, key claim.Key, claimant string) error {
	return c.Settle(ctx, claim.Report{Key: key, Claimant: claimant, Outcome: api.OutcomeNotRun})
}

// Settle reports what became of a grant. It may be repeated.
func (c *Client) Settle(ctx context.Context, rep claim.Report) error {
	r, _ := c.call(ctx, Request{Command: &state.Command{Report: &rep}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil {
		return unavailable(api.StepClaim, r, api.OutcomeUnknown)
	}
	if r.Result.Reason != "" {
		return &api.Error{Step: api.StepClaim, Outcome: api.OutcomeNotRun, Reason: r.Result.Reason, Err: errors.New(r.Result.Message)}
	}
	return nil
}

// Order carries out an agent's order command.
func (c *Client) Order(ctx context.Context, cmd order.Command) (order.Order, error) {
	r, sure := c.call(ctx, Request{Command: &state.Command{Order: &cmd}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil {
		outcome := api.OutcomeUnknown
		if sure {
			outcome = api.OutcomeNotRun
		}
		return order.Order{}, unavailable(api.StepOrder, r, outcome)
	}
	if r.Result.Reason != "" {
		return order.Order{}, &api.Error{Step: api.StepOrder, Outcome: api.OutcomeNotRun, Reason: r.Result.Reason, RetryAfter: r.Result.RetryAfter, Err: errors.New(r.Result.Message)}
	}
	return *r.Result.Order, nil
}

// HighestRevision asks a majority for the highest accepted revision, and delivers the evacuated
// availability zones first. A process
// that was restarted serves nobody before it has applied that one: it may have
// forgotten a revision that it had already acted on.
func (c *Client) HighestRevision(ctx context.Context) (api.Revision, error) {
	confirmed, err := c.Confirm(ctx)
	if confirmed.Evacuated != nil {
		c.opt.OnEvacuated(*confirmed.Evacuated)
	}
	return confirmed.Revision, err
}

// Confirmed is what a majority has confirmed to be accepted.
type Confirmed struct {
	Revision api.Revision
	// Evacuated is nil if the leader is of a version without evacuations.
	Evacuated *state.Evacuated
}

// Confirm is HighestRevision that gives the evacuated availability zones too.
func (c *Client) Confirm(ctx context.Context) (Confirmed, error) {
	r, _ := c.call(ctx, Request{Read: true})
	if r.Outcome != api.OutcomeCompleted {
		return Confirmed{}, unavailable(api.StepConfig, r, api.OutcomeNotRun)
	}
	return Confirmed{Revision: r.Revision, Evacuated: r.Evacuated}, nil
}

// Exec carries out any request, for members that pass on what operators ask.
// Outcome not_run in the reply means that no attempt had an effect.
func (c *Client) Exec(ctx context.Context, req Request) *Reply {
	r, sure := c.call(ctx, req)
	if r.Outcome != api.OutcomeCompleted && !sure {
		r.Outcome = api.OutcomeUnknown
	}
	return r
}

// difference gives what is sent of a report after told was sent on the same link,
// nil for the first one.
func difference(told *Report, r Report) *Report {
	if told == nil {
		return &r
	}
	if reflect.DeepEqual(*told, r) {
		return &Report{Instance: r.Instance, Same: true}
	}
	if slices.Equal(told.Targets, r.Targets) {
		r.Targets = nil
		r.SameTargets = true
	}
	return &r
}
