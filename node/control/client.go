package control

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/order"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

const (
	defaultReportEvery = 2 * time.Second
	retryMin           = 20 * time.Millisecond
	retryMax           = 250 * time.Millisecond
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Seeds are addresses of control members, host:port. The client learns the
	// others from the members.
	Seeds []string
	// AvoidAddr is an address that is dialled only if no other is known.
	AvoidAddr string
	Link      link.Options
	// OnMembers is called with the link addresses of the whole group whenever a
	// member sends them; it may be nil.
	OnMembers func(addrs []string)
	// OnConfig is called with each newer revision, in ascending order. Like the other
	// callbacks, it is called while no other is, and must not block for long. Document is
	// read-only.
	OnConfig func(revision api.Revision, document []byte)
	// OnDrains is called with all targets that operators drain, whenever the list
	// changes. It may be nil.
	OnDrains func(targets []state.Drain)
	// OnEntries is called with all live entries, whenever they change. It may be nil.
	OnEntries func(list []wire.EntryInfo)
	// OnOrders is called with the targets that have an order waiting and none in
	// flight, whenever they change. It may be nil.
	OnOrders func(ready []api.TargetID)
	// OnEvacuated is called with all evacuated availability zones whenever they change, and
	// by HighestRevision, then on its caller's goroutine and beside other callbacks. A list
	// may be older than an earlier one, which its lower index shows. It may be nil.
	OnEvacuated func(state.Evacuated)
	// OnLimits is called with all limits that targets have stated whenever one changes. On a new link, limits known to the member come before the
	// first configuration. A list may be older than an earlier one, which its lower index
	// shows. It may be nil.
	OnLimits func(state.TargetLimits)
	// OnQuarantine is called with the list of quarantined requests whenever it changes, like
	// OnLimits. It may be nil.
	OnQuarantine func(quarantine.List)
	// Observer is notified of failed dials; it may be nil.
	Observer ClientObserver
	// Report returns the report that is sent about this process; it may be nil.
	Report      func() Report
	ReportEvery time.Duration
}

// ClientObserver is notified of dials and attempts that fail. Established links are reported
// to the observer in the link options.
type ClientObserver interface {
	// DialFailed is called for the first of several consecutive failures only,
	// because a client retries several times a second. It is called on one goroutine.
	DialFailed(addr string, err error)
	// AttemptLost is called when an attempt of a call got no reply after a time, so that its effect
	// is unknown. It may be called from several goroutines.
	AttemptLost(member, why string, after time.Duration)
}

type noClientObserver struct{}

func (noClientObserver) DialFailed(string, error) {}

func (noClientObserver) AttemptLost(string, string, time.Duration) {}

// Client connects a process, usually an entry, to the control group. It keeps one
// link, to the leader if one is known. Run drives it; the other methods may be
// called from several goroutines and retry until their context ends.
type Client struct {
	opt ClientOptions

	mu   sync.Mutex
	conn *link.Conn
	up   chan struct{} // closed while a link is up
	// left is closed when the link is left while attempts on it still wait for replies. It is
	// replaced with each link.
	left     chan struct{}
	nextAddr string   // address to dial next, empty for any known one
	lastAddr string   // address dialled last
	members  []string // addresses of the group, as told by a member
	// failedAt is the time at which each address last failed.
	failedAt map[string]time.Time
	// leaderTimer closes the link to a member that knows no leader, or that names one which
	// has just failed. It is nil on other links.
	leaderTimer *time.Timer
	seq         uint64
	waiting     map[uint64]waitingAttempt

	// handling is held while a message other than a Reply is handled. A link that was left may
	// still deliver some while the next link is up.
	handling sync.Mutex
	// leftLinks are the links that were left and wait for replies.
	leftLinks conc.WaitGroup

	// revision and document were delivered last. needWhole makes the next Watch
	// ask for a whole document instead of a patch. drainsIndex is the log index of
	// the last list of drains. They are guarded by handling.
	revision    api.Revision
	document    []byte
	needWhole   bool
	drainsIndex uint64
	// dialFailing is true if the last dial failed. Only the goroutine of Run uses it.
	dialFailing bool
	patience    *link.Dialer
	// probes is guarded by mu.
	probes probePatience
}

// NewClient returns a client. Run must be called to connect it.
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
	if opt.OnQuarantine == nil {
		opt.OnQuarantine = func(quarantine.List) {}
	}
	if opt.Observer == nil {
		opt.Observer = noClientObserver{}
	}
	if opt.ReportEvery == 0 {
		opt.ReportEvery = defaultReportEvery
	}
	return &Client{
		opt: opt, up: make(chan struct{}), waiting: make(map[uint64]waitingAttempt), failedAt: make(map[string]time.Time),
		patience: link.NewDialer(minDialTimeout, maxClientDialTimeout),
	}
}

// Run dials members, and dials again whenever the link ends, until ctx is done.
func (c *Client) Run(ctx context.Context) {
	link.RunWithBackoff(ctx, retryMin, retryMax, func() bool { return c.runLink(ctx) })
	c.leftLinks.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// runLink dials one member and serves the link until it ends or is left. It reports whether
// the dial succeeded.
func (c *Client) runLink(ctx context.Context) bool {
	addr := c.nextAddress()
	conn, err := c.patience.Dial(ctx, addr, c.opt.Link)
	if err != nil {
		c.markFailed(addr)
		c.reportDialFailure(ctx, addr, err)
		return false
	}
	c.dialFailing = false
	left := c.attach(conn)
	c.handling.Lock()
	watch := &Watch{From: c.revision, Whole: c.needWhole}
	c.handling.Unlock()
	_ = conn.Send(watch)
	reporting, stopReports := context.WithCancel(ctx)
	defer stopReports()
	c.leftLinks.Go(func() { c.reportLoop(reporting, conn) })
	ended := make(chan struct{})
	c.leftLinks.Go(func() {
		defer close(ended)
		conn.Run(ctx, func(m wire.Message) { c.handle(conn, m) })
		c.detach(conn)
	})
	select {
	case <-ended:
	case <-left:
		return true
	}
	if conn.CloseReason() == link.CloseSilence {
		c.markSilent(addr)
	}
	return true
}

// reportDialFailure reports the first of several consecutive failures. It does not
// report a dial that failed because ctx was done.
func (c *Client) reportDialFailure(ctx context.Context, addr string, err error) {
	if c.dialFailing || ctx.Err() != nil {
		return
	}
	c.dialFailing = true
	c.opt.Observer.DialFailed(addr, err)
}

// attach makes conn the current link. It returns a channel that is closed when it is left.
func (c *Client) attach(conn *link.Conn) (left <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.left = conn, make(chan struct{})
	close(c.up)
	return c.left
}

// detach fails every attempt that waits for a reply on the link.
func (c *Client) detach(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(conn)
	for id, w := range c.waiting {
		if w.conn == conn {
			delete(c.waiting, id)
			close(w.replies)
		}
	}
}

// release ends the use of a link for further attempts. c.mu must be held.
func (c *Client) release(conn *link.Conn) {
	if c.conn != conn {
		return
	}
	c.stopLeaderTimer() // it was for this link
	c.conn = nil
	c.up = make(chan struct{})
}

func (c *Client) isCurrent(conn *link.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn == conn
}

func (c *Client) handle(conn *link.Conn, m wire.Message) {
	if r, ok := m.(*Reply); ok {
		c.handleReply(conn, r)
		return
	}
	c.handling.Lock()
	defer c.handling.Unlock()
	if !c.isCurrent(conn) {
		return
	}
	switch m := m.(type) {
	case *Update:
		c.handleUpdate(conn, m)
	case *Drains:
		c.handleDrains(m)
	case *Entries:
		c.opt.OnEntries(m.List)
	case *Orders:
		c.opt.OnOrders(m.Ready)
	case *Evacuated:
		c.opt.OnEvacuated(m.Evacuated)
	case *Limits:
		c.opt.OnLimits(m.TargetLimits)
	case *Quarantine:
		c.opt.OnQuarantine(m.List)
	case *Leader:
		c.handleLeader(conn, m)
	}
}

func (c *Client) handleReply(conn *link.Conn, r *Reply) {
	c.mu.Lock()
	w, ok := c.waiting[r.ID]
	delete(c.waiting, r.ID)
	c.probes.reset()
	c.mu.Unlock()
	if ok {
		w.replies <- r
	}
	if r.Leader != "" {
		c.redirect(conn, r.Leader)
	}
}

// handleUpdate delivers a newer configuration. If a patch does not apply to the
// document that the client holds, the link is closed and the next link starts with
// a whole document. The revision is kept, so a member that lags cannot make this
// process return to an older configuration.
func (c *Client) handleUpdate(conn *link.Conn, u *Update) {
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
			c.needWhole = true
			conn.Close()
			return
		}
	}
	c.revision, c.document, c.needWhole = u.Revision, document, false
	c.opt.OnConfig(u.Revision, document)
}

// handleDrains delivers a list unless a newer one was delivered before. Otherwise a
// member that lags could send new work to a target that is being drained.
func (c *Client) handleDrains(m *Drains) {
	if m.Index < c.drainsIndex {
		return
	}
	c.drainsIndex = m.Index
	c.opt.OnDrains(m.Targets)
}

// reportLoop sends reports on one link: the first one whole, the others without the
// parts that have not changed. A report lists all linked targets; sent whole every
// second, it alone would exceed an entry's budget of 5 KB per second from 150 targets
// on.
func (c *Client) reportLoop(ctx context.Context, conn *link.Conn) {
	if c.opt.Report == nil {
		return
	}
	t := time.NewTicker(c.opt.ReportEvery)
	defer t.Stop()
	var lastSent *Report
	for {
		r := c.opt.Report()
		_ = conn.Send(reportDelta(lastSent, r))
		lastSent = &r
		select {
		case <-t.C:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// Claim asks for a grant to run a call. On an error the claimant holds no grant and
// must not dispatch the call; since nobody else may dispatch it on the claimant's
// behalf, the outcome of the call is not_run. The claim may still have been
// recorded, so the caller should then call Abandon.
func (c *Client) Claim(ctx context.Context, req claim.Request) (claim.Decision, error) {
	r, _ := c.call(ctx, Request{Command: &state.Command{Claim: &req}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil || r.Result.Claim == nil {
		return claim.Decision{}, unavailable(api.StepClaim, r, api.OutcomeNotRun)
	}
	return *r.Result.Claim, nil
}

// Abandon releases a claim that may have been granted although Claim failed, so that
// the key can be claimed again at once.
func (c *Client) Abandon(ctx context.Context, key claim.Key, claimant string) error {
	return c.Settle(ctx, claim.Report{Key: key, Claimant: claimant, Outcome: api.OutcomeNotRun})
}

// Settle reports the outcome of a granted call. It may be repeated.
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

// Order executes an order command on behalf of an agent.
func (c *Client) Order(ctx context.Context, cmd order.Command) (order.Order, error) {
	r, noEffect := c.call(ctx, Request{Command: &state.Command{Order: &cmd}})
	if r.Outcome != api.OutcomeCompleted || r.Result == nil {
		outcome := api.OutcomeUnknown
		if noEffect {
			outcome = api.OutcomeNotRun
		}
		return order.Order{}, unavailable(api.StepOrder, r, outcome)
	}
	if r.Result.Reason != "" {
		return order.Order{}, &api.Error{Step: api.StepOrder, Outcome: api.OutcomeNotRun, Reason: r.Result.Reason, RetryAfter: r.Result.RetryAfter, Err: errors.New(r.Result.Message)}
	}
	return *r.Result.Order, nil
}

// HighestRevision returns the highest accepted revision, confirmed by a majority. Before it
// returns, it delivers the evacuated availability zones to OnEvacuated. A restarted
// process must not serve requests before it has applied this revision, because it may
// have acted on a revision that it no longer knows.
func (c *Client) HighestRevision(ctx context.Context) (api.Revision, error) {
	confirmed, err := c.Confirm(ctx)
	if confirmed.Evacuated != nil {
		c.opt.OnEvacuated(*confirmed.Evacuated)
	}
	return confirmed.Revision, err
}

// Confirmed is the result of a read that a majority has confirmed.
type Confirmed struct {
	Revision api.Revision
	// Evacuated is nil if the leader runs a version without evacuations.
	Evacuated *state.Evacuated
}

// Confirm returns the highest accepted revision and the evacuated availability
// zones, confirmed by a majority. Unlike HighestRevision it does not call OnEvacuated.
func (c *Client) Confirm(ctx context.Context) (Confirmed, error) {
	r, _ := c.call(ctx, Request{Read: true})
	if r.Outcome != api.OutcomeCompleted {
		return Confirmed{}, unavailable(api.StepConfig, r, api.OutcomeNotRun)
	}
	return Confirmed{Revision: r.Revision, Evacuated: r.Evacuated}, nil
}

// Exec executes any request, for members that forward requests of operators.
// Outcome not_run in the reply means that no attempt had an effect.
func (c *Client) Exec(ctx context.Context, req Request) *Reply {
	return c.ExecWithin(ctx, ctx, req)
}

// ExecWithin is Exec with another context for the start of attempts: a request that was
// sent before start ended still gets its reply, which may prove that it had no effect.
func (c *Client) ExecWithin(start, ctx context.Context, req Request) *Reply {
	r, noEffect := c.callWithin(start, ctx, req)
	if r.Outcome != api.OutcomeCompleted && !noEffect {
		r.Outcome = api.OutcomeUnknown
	}
	return r
}

// reportDelta returns the message that is sent for report r if lastSent was the
// previous report on the same link. lastSent is nil for the first report.
func reportDelta(lastSent *Report, r Report) *Report {
	if lastSent == nil {
		return &r
	}
	if reflect.DeepEqual(*lastSent, r) {
		return &Report{Instance: r.Instance, Same: true}
	}
	if slices.Equal(lastSent.Targets, r.Targets) {
		r.Targets = nil
		r.SameTargets = true
	}
	return &r
}
